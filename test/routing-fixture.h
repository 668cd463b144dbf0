// Servers and candidates for tests of routing decisions.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "ibisnotch/pick.h"

namespace ibisnotch {

struct RoutingFixture
{
    std::vector<ServerView> views;
    std::vector<Candidate> candidates;

    // Adds a server of model "m" with the given reported load.
    void add(const std::string &name, double load, double slots, double cost = 1)
    {
        ServerView view;
        view.server.name = name;
        view.server.models = {"m"};
        view.server.slots = static_cast<int>(slots);
        view.server.cost = cost;
        view.reportedLoad = load;
        view.counters = std::make_shared<ServerCounters>();
        views.push_back(view);
    }

    // Called after all servers are added, since candidates point to `views`.
    void makeCandidates()
    {
        for (const ServerView &view : views)
            candidates.push_back(
                {&view, view.reportedLoad, static_cast<double>(view.server.slots)});
    }

    // Returns the input for a request with a prefix hash.
    PickInput prefixInput(double sharedReadSeconds) const
    {
        PickInput input;
        input.candidates = candidates;
        input.prefixHash = 77;
        input.sharedReadSeconds = sharedReadSeconds;
        return input;
    }
};

} // namespace ibisnotch
