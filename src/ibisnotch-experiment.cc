// Drives the decision libraries with made-up arrivals and small models of backend servers, on a
// paused clock, to compare policies on the same arrivals.
//
//   ibisnotch-experiment [--weights rider|cylinder] [--load 1.0] [--lose-region] [--return-engines]
//                        [--seeds N]
//
// Three regions with four model engines and three entry instances each. Demand is uneven: the first
// region gets more than it can serve while the others have room. Engines have slots, a queue and a
// prompt prefix cache, and their load is reported late.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <popt.h>

#include "experiment/experiment.h"

using namespace ibisnotch;

namespace {

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

struct Spread
{
    double low = 1e18;
    double sum = 0;
    double high = -1e18;
    int count = 0;

    void add(double value)
    {
        low = std::min(low, value);
        high = std::max(high, value);
        sum += value;
        ++count;
    }
    std::string text() const
    {
        return fmt::format("{:.3f} ({:.3f}..{:.3f})", sum / count, low, high);
    }
};

void compare(Setup setup, int seeds)
{
    for (const Policy &policy : policies) {
        Spread p99;
        Spread p50;
        Spread cost;
        Spread away;
        Spread worth;
        Spread refused;
        for (int seed = 1; seed <= seeds; ++seed) {
            setup.policy = policy;
            setup.seed = static_cast<std::uint64_t>(seed);
            const Outcome outcome = runExperiment(setup);
            const double served = std::max(1, outcome.served);
            p50.add(quantile(outcome.latencies, 0.5));
            p99.add(quantile(outcome.latencies, 0.99));
            cost.add(outcome.cost / served);
            away.add(outcome.away / served);
            worth.add(outcome.worthInTime / outcome.worth);
            refused.add(static_cast<double>(outcome.refused) / outcome.arrived);
        }
        fmt::print("{:<20} | {} | {} | {} | {} | {} | {}\n", policy.name, p50.text(), p99.text(),
                   cost.text(), away.text(), worth.text(), refused.text());
    }
}

} // namespace

int main(int argc, const char **argv)
{
    char *weights = nullptr;
    double load = 1;
    int lose = 0;
    int back = 0;
    int seeds = 5;
    const poptOption options[]
        = {{"weights", 0, POPT_ARG_STRING, &weights, 0, "rider or cylinder", "NAME"},
           {"load", 0, POPT_ARG_DOUBLE, &load, 0, "demand over capacity", "X"},
           {"lose-region", 0, POPT_ARG_NONE, &lose, 0, "lose the first region", nullptr},
           {"return-engines", 0, POPT_ARG_NONE, &back, 0,
            "lose half the engines, then get them back", nullptr},
           {"seeds", 0, POPT_ARG_INT, &seeds, 0, "runs with other arrivals", "N"},
           POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    while (poptGetNextOpt(context) > 0) { }
    Setup setup;
    const bool cylinder = weights != nullptr && std::string(weights) == "cylinder";
    setup.weights = cylinder ? Weights{1, 2, 2, true} : Weights{2, 1, 1, false};
    setup.load = load;
    setup.loseRegion = lose != 0;
    setup.returnEngines = back != 0;
    free(weights);
    poptFreeContext(context);
    fmt::print("weights {}, load {}{}, seeds 1 to {}; mean (lowest..highest)\n",
               cylinder ? "cylinder" : "rider", load,
               setup.loseRegion          ? ", region lost"
                   : setup.returnEngines ? ", engines return"
                                         : "",
               seeds);
    fmt::print(
        "policy               | median s | 99% s | cost a request | share sent away | worth in "
        "time | share refused\n");
    compare(setup, seeds);
    return 0;
}
