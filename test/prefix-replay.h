// A loop that plays prompts with shared parts to model engines with little memory, for tests of the
// choice of the engine.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "ibisnotch/pick.h"
#include "ibisnotch/prefix-cache.h"
#include "ibisnotch/weighing-picker.h"

namespace ibisnotch {

// Keeps the parts of prompts beside the tokens of running requests; those used least recently
// yield.
class ReplayMemory
{
public:
    explicit ReplayMemory(double capacity) : m_capacity(capacity) { }

    bool has(std::uint64_t part) const { return m_found.count(part) > 0; }
    void use(std::uint64_t part, double tokens)
    {
        if (const auto found = m_found.find(part); found != m_found.end()) {
            m_parts.splice(m_parts.end(), m_parts, found->second);
        } else {
            m_found[part] = m_parts.insert(m_parts.end(), {part, tokens});
            m_kept += tokens;
        }
        yield();
    }
    void setRunning(double tokens)
    {
        m_running = tokens;
        yield();
    }
    double running() const { return m_running; }

private:
    void yield()
    {
        while (m_kept + m_running > m_capacity && !m_parts.empty()) {
            m_kept -= m_parts.front().second;
            m_found.erase(m_parts.front().first);
            m_parts.pop_front();
        }
    }

    double m_capacity;
    double m_kept = 0;
    double m_running = 0;
    std::list<std::pair<std::uint64_t, double>> m_parts;
    std::map<std::uint64_t, std::list<std::pair<std::uint64_t, double>>::iterator> m_found;
};

struct ReplayEngine
{
    explicit ReplayEngine(double capacity) : memory(capacity) { }

    ReplayMemory memory;
    double busyUntil = 0; // seconds; it reads prompts one after the other
    std::deque<std::pair<double, double>> running; // end and tokens
    // As it reported last.
    double reportedLoad = 0;
    double reportedBacklog = 0; // seconds
    double reportedUsed = 0;

    void advance(double now)
    {
        std::erase_if(running, [now](const auto &one) { return one.first <= now; });
        double tokens = 0;
        for (const auto &one : running)
            tokens += one.second;
        memory.setRunning(tokens);
    }
    void report(double now)
    {
        advance(now);
        reportedLoad = static_cast<double>(running.size());
        reportedBacklog = std::max(0.0, busyUntil - now);
        reportedUsed = memory.running();
    }
};

struct ReplayPrompt
{
    std::vector<PromptPart> parts; // the last one is its own
    std::span<const PromptPart> shared() const { return std::span(parts).first(parts.size() - 1); }
    double ownTokens() const { return static_cast<double>(parts.back().tokens); }
};

struct ReplayResult
{
    double readTokens = 0;
    double sharedReadAgain = 0; // of parts that another engine, or the same one, had read before
    double sharedReadFirst = 0;
    double sharedKept = 0;
    double meanFirstSeconds = 0;
    double slowFirstSeconds = 0; // exceeded by one in a hundred
};

struct ReplayLoad
{
    int engines = 40;
    int instances = 12;
    double capacity = 243000; // tokens
    double tokensPerMs = 44;
    double answerSeconds = 1.5;
    double slots = 32;
    double longPerSecond = 190;
    double shortPerSecond = 430;
    int longPrefixes = 748;
    int firstParts = 4;
    double playSeconds = 30;
    double reportSeconds = 0.2;
};

// Plays the load and lets the function choose an engine for each prompt.
class Replay : private ReplayLoad
{
public:
    using Choose = std::function<std::size_t(Replay &, std::size_t instance, const ReplayPrompt &)>;

    explicit Replay(const ReplayLoad &load = {}) : ReplayLoad(load), random(7)
    {
        m_sent.assign(static_cast<std::size_t>(instances),
                      std::vector<double>(static_cast<std::size_t>(engines)));
        m_views.resize(static_cast<std::size_t>(engines));
        for (int i = 0; i < engines; ++i) {
            m_engines.emplace_back(capacity);
            ServerView &view = m_views[static_cast<std::size_t>(i)];
            view.server.name = "e" + std::to_string(i);
            view.server.slots = static_cast<int>(slots);
            view.counters = std::make_shared<ServerCounters>();
        }
        for (int i = 0; i < instances; ++i)
            caches.push_back(std::make_unique<PrefixCache>(PrefixCache::Limits{}, now()));
    }

    ReplayResult play(const Choose &choose)
    {
        const double rate = longPerSecond + shortPerSecond;
        double nextReport = 0;
        std::vector<double> firsts;
        for (m_now = 0; m_now < playSeconds; m_now += -std::log(1 - random.uniform()) / rate) {
            for (; nextReport <= m_now; nextReport += reportSeconds)
                reportAll(nextReport);
            const ReplayPrompt prompt
                = random.uniform() * rate < longPerSecond ? longPrompt() : shortPrompt();
            const std::size_t instance = random.below(m_sent.size());
            const std::size_t engine = choose(*this, instance, prompt);
            caches[instance]->onRequest(prompt.shared(), now());
            firsts.push_back(run(instance, engine, prompt));
        }
        std::sort(firsts.begin(), firsts.end());
        double sum = 0;
        for (const double one : firsts)
            sum += one;
        m_result.meanFirstSeconds = sum / static_cast<double>(firsts.size());
        m_result.slowFirstSeconds = firsts[firsts.size() * 99 / 100];
        return m_result;
    }

    TimePoint now() const
    {
        return TimePoint(std::chrono::hours(1)) + Duration(static_cast<Duration::rep>(m_now * 1e6));
    }
    std::vector<Candidate> candidates(std::size_t instance) const
    {
        std::vector<Candidate> result;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            Candidate candidate{&m_views[i], load(instance, i), slots};
            candidate.readDelaySeconds = backlog(instance, i);
            candidate.tokensPerMs = tokensPerMs;
            candidate.eventIntervalSeconds = 0.03;
            result.push_back(candidate);
        }
        return result;
    }
    std::vector<WeighedServer> weighedServers(std::size_t instance) const
    {
        std::vector<WeighedServer> result;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            WeighedServer server;
            server.server = serverId(m_views[i].server.name);
            server.engine.slots = slots;
            server.engine.running = load(instance, i);
            server.engine.unreadTokens = backlog(instance, i) * tokensPerMs * 1000;
            server.engine.usedTokens = m_engines[i].reportedUsed;
            server.engine.cacheTokens = capacity;
            server.engine.tokensPerMs = tokensPerMs;
            server.engine.eventSeconds = 0.03;
            result.push_back(server);
        }
        return result;
    }
    std::vector<ServerProcess> processes() const
    {
        std::vector<ServerProcess> result;
        for (const ServerView &view : m_views)
            result.push_back({serverId(view.server.name), 1, {}});
        return result;
    }

    Random random;
    std::vector<std::unique_ptr<PrefixCache>> caches; // by instance

private:
    // The load that an instance supposes: the report and what it and the others sent since.
    double load(std::size_t instance, std::size_t engine) const
    {
        return m_engines[engine].reportedLoad + m_sent[instance][engine] * instances;
    }
    double backlog(std::size_t instance, std::size_t engine) const
    {
        constexpr double meanReadSeconds = 0.05;
        return m_engines[engine].reportedBacklog
            + m_sent[instance][engine] * instances * meanReadSeconds;
    }
    void reportAll(double at)
    {
        for (ReplayEngine &engine : m_engines)
            engine.report(at);
        for (std::vector<double> &sent : m_sent)
            std::fill(sent.begin(), sent.end(), 0);
    }

    ReplayPrompt longPrompt()
    {
        return prompt(1000000, firstParts, 2520, 2000000, longPrefixes, 3780, 2890);
    }
    ReplayPrompt shortPrompt() { return prompt(3000000, 16, 119, 4000000, 1177, 79, 628); }
    ReplayPrompt prompt(std::uint64_t firstBase, int firstCount, int firstTokens,
                        std::uint64_t secondBase, int secondCount, int secondTokens, int ownTokens)
    {
        // Some parts are asked for more often than others.
        const double skewed = std::pow(random.uniform(), 1 / 0.7);
        const auto second = static_cast<std::uint64_t>(skewed * static_cast<double>(secondCount));
        const std::uint64_t first = second % static_cast<std::uint64_t>(firstCount);
        ReplayPrompt result;
        result.parts.push_back({firstBase + first, firstTokens, ""});
        result.parts.push_back({secondBase + second, secondTokens, ""});
        result.parts.push_back({m_ownPart++, ownTokens, ""});
        return result;
    }

    // Returns the time to the first event.
    double run(std::size_t instance, std::size_t index, const ReplayPrompt &prompt)
    {
        ReplayEngine &engine = m_engines[index];
        engine.advance(m_now);
        double missing = 0;
        bool isKept = true;
        for (const PromptPart &part : prompt.shared()) {
            isKept = isKept && engine.memory.has(part.hash);
            const double tokens = static_cast<double>(part.tokens);
            const bool isNew = m_everRead.insert(part.hash).second;
            missing += isKept ? 0 : tokens;
            (isKept      ? m_result.sharedKept
                 : isNew ? m_result.sharedReadFirst
                         : m_result.sharedReadAgain)
                += tokens;
        }
        const double toRead = prompt.ownTokens() + missing;
        m_result.readTokens += toRead;
        engine.busyUntil = std::max(m_now, engine.busyUntil) + toRead / tokensPerMs / 1000;
        const double first = engine.busyUntil - m_now;
        engine.running.push_back({engine.busyUntil + answerSeconds, prompt.ownTokens()});
        engine.advance(m_now);
        for (const PromptPart &part : prompt.parts)
            engine.memory.use(part.hash, static_cast<double>(part.tokens));
        m_sent[instance][index] += 1;
        FirstPromptEvent event;
        event.process = {serverId(m_views[index].server.name), 1, {}};
        event.sharedParts = prompt.shared();
        event.addedTokens = toRead;
        caches[instance]->onFirstEvent(event, now());
        return first;
    }

    double m_now = 0;
    std::uint64_t m_ownPart = 1ULL << 40;
    std::vector<ReplayEngine> m_engines;
    std::vector<ServerView> m_views;
    std::vector<std::vector<double>> m_sent; // since the reports, by instance and engine
    std::set<std::uint64_t> m_everRead;
    ReplayResult m_result;
};

} // namespace ibisnotch
