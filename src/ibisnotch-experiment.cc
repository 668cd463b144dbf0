// Compares policies of the decision libraries on the same random arrivals, with simple models of
// the backend servers and a simulated clock.
//
//   ibisnotch-experiment [--weights rider|cylinder] [--load 1.0] [--lose-region] [--return-engines]
//                        [--seeds N]
//
// Three regions with four model engines and three entry instances each. Demand is uneven: the first
// region gets more than it can serve while the others have room. Engines have slots, a queue and a
// prompt prefix cache, and their load reports arrive with a delay.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <popt.h>

#include "experiment/experiment.h"

using namespace ibisnotch;

namespace {

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

// A value over the runs of one policy.
struct RunStatistics
{
    double lowest = 1e18;
    double sum = 0;
    double highest = -1e18;
    int count = 0;

    void add(double value)
    {
        lowest = std::min(lowest, value);
        highest = std::max(highest, value);
        sum += value;
        ++count;
    }
    std::string text() const
    {
        return fmt::format("{:.3f} ({:.3f}..{:.3f})", sum / count, lowest, highest);
    }
};

void compare(Setup setup, int seeds)
{
    for (const Policy &policy : policies) {
        RunStatistics p99;
        RunStatistics p50;
        RunStatistics cost;
        RunStatistics remote;
        RunStatistics worth;
        RunStatistics rejected;
        for (int seed = 1; seed <= seeds; ++seed) {
            setup.policy = policy;
            setup.seed = static_cast<std::uint64_t>(seed);
            const Outcome outcome = runExperiment(setup);
            const double served = std::max(1, outcome.served);
            p50.add(quantile(outcome.latencies, 0.5));
            p99.add(quantile(outcome.latencies, 0.99));
            cost.add(outcome.cost / served);
            remote.add(outcome.servedRemotely / served);
            worth.add(outcome.worthInTime / outcome.worth);
            rejected.add(static_cast<double>(outcome.rejected) / outcome.arrived);
        }
        fmt::print("{:<20} | {} | {} | {} | {} | {} | {}\n", policy.name, p50.text(), p99.text(),
                   cost.text(), remote.text(), worth.text(), rejected.text());
    }
}

} // namespace

int main(int argc, const char **argv)
{
    char *weights = nullptr;
    double load = 1;
    int failRegion = 0;
    int restartEngines = 0;
    int seeds = 5;
    const poptOption options[]
        = {{"weights", 0, POPT_ARG_STRING, &weights, 0, "rider or cylinder", "NAME"},
           {"load", 0, POPT_ARG_DOUBLE, &load, 0, "demand over capacity", "X"},
           {"lose-region", 0, POPT_ARG_NONE, &failRegion, 0, "lose the first region", nullptr},
           {"return-engines", 0, POPT_ARG_NONE, &restartEngines, 0,
            "lose half the engines, then get them back", nullptr},
           {"seeds", 0, POPT_ARG_INT, &seeds, 0, "runs with other arrivals", "N"},
           POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    while (poptGetNextOpt(context) > 0) { }
    Setup setup;
    const bool isCylinder = weights != nullptr && std::string(weights) == "cylinder";
    setup.weights = isCylinder ? Weights{1, 2, 2, true} : Weights{2, 1, 1, false};
    setup.load = load;
    setup.failRegion = failRegion != 0;
    setup.restartEngines = restartEngines != 0;
    free(weights);
    poptFreeContext(context);
    fmt::print("weights {}, load {}{}, seeds 1 to {}; mean (lowest..highest)\n",
               isCylinder ? "cylinder" : "rider", load,
               setup.failRegion           ? ", region lost"
                   : setup.restartEngines ? ", engines return"
                                          : "",
               seeds);
    fmt::print(
        "policy               | median s | 99% s | cost a request | share sent away | worth in "
        "time | share refused\n");
    compare(setup, seeds);
    return 0;
}
