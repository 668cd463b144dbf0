// Traces of the latest requests, shown to operators.
#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace ibisnotch {

// One step of handling a request.
struct TraceStep
{
    long long atMs = 0; // milliseconds since the request arrived
    std::string description;
    bool operator==(const TraceStep &) const = default;
};

struct Trace
{
    std::string requestId;
    std::string customer;
    std::string service;
    int resultCode = 0;
    long long startedMs = 0; // wall time, milliseconds since the epoch
    std::vector<TraceStep> steps;
    bool operator==(const Trace &) const = default;
};

// Keeps the latest traces of this instance and drops the oldest first. Traces contain no request
// text. Thread safe.
class RecentTraces
{
public:
    explicit RecentTraces(std::size_t capacity) : m_capacity(capacity) { }

    void add(Trace trace)
    {
        const std::lock_guard lock(m_mutex);
        m_order.push_back(trace.requestId);
        m_traces[trace.requestId] = std::move(trace);
        if (m_order.size() > m_capacity) {
            m_traces.erase(m_order.front());
            m_order.pop_front();
        }
    }

    std::optional<Trace> find(const std::string &requestId) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_traces.find(requestId);
        return found == m_traces.end() ? std::nullopt : std::optional(found->second);
    }

private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_order;
    std::map<std::string, Trace> m_traces;
};

} // namespace ibisnotch
