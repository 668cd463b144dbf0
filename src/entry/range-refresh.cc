// RangeSource: reads ranges anew for those who must not decide by what may be outdated.
#include <memory>
#include <utility>

#include "ibisnotch/log.h"
#include "range-source.h"

namespace ibisnotch {

namespace {

// Of a watch that returns what has changed at once.
constexpr Duration noWait = std::chrono::milliseconds(1);
// The store may return the first changes only, so it is asked until there are none.
constexpr int maxCallsPerRead = 4;

} // namespace

// The pools of a service are part of the configuration.
void RangeSource::readChanges(RefreshBatcher::Done done)
{
    struct Progress
    {
        std::size_t left = 0;
        bool isCurrent = true;
    };
    const std::vector<std::string> prefixes{m_format->serverPrefix(), m_format->configPrefix()};
    const auto progress = std::make_shared<Progress>(Progress{prefixes.size()});
    for (const std::string &prefix : prefixes) {
        const auto onRead = [progress, done](bool isCurrent) {
            progress->isCurrent = progress->isCurrent && isCurrent;
            if (--progress->left == 0)
                done(progress->isCurrent);
        };
        readChanges(*findRange(rangeId(prefix)), maxCallsPerRead, onRead);
    }
}

// The pending watch may have been answered before the changes, or hang.
void RangeSource::readChanges(Range &range, int callsLeft, RefreshBatcher::Done done)
{
    const std::uint64_t base = range.follower.asOf();
    if (callsLeft == 0 || base == 0 || !range.follower.isWatching())
        return done(false);
    const TimePoint calledAt = m_state.clock.now();
    m_store->watchRange(
        range.prefix, base, noWait,
        [this, &range, callsLeft, base, calledAt, done = std::move(done)](const StorePage &page) {
            m_control.post([=, this, &range, copy = StorePage(page)]() mutable {
                const bool isLast = copy.items.empty();
                const bool isKnown = onChanges(range, std::move(copy), base, calledAt);
                if (isLast || !isKnown)
                    return done(isKnown);
                readChanges(range, callsLeft - 1, done);
            });
        });
}

bool RangeSource::onChanges(Range &range, StorePage page, std::uint64_t base, TimePoint calledAt)
{
    const bool isOk = page.status == StoreStatus::ok;
    bool isKnown = false;
    if (isOk) {
        for (StoreItem &item : page.items)
            m_format->removeSecrets(item);
        const std::uint64_t updateBase = range.follower.updateBase();
        const bool changed
            = applyUpdate(range, {range.prefix, base, page.asOf, page.items}, calledAt, "store");
        if (changed && range.role != FollowRole::listener) {
            for (RangeUpdate &update :
                 updatesFromWatch(range.prefix, updateBase, range.follower.asOf(), page.items))
                m_control.broadcastRangeUpdate(std::move(update));
        }
        updateListState();
        isKnown = range.follower.isWatching() && range.follower.asOf() >= page.asOf;
    }
    logLine(LogPart::store, isKnown ? LogLevel::info : LogLevel::warn, "Range read anew.",
            {{"range", range.prefix},
             {"since", revisionText(base)},
             {"asOf", revisionText(page.asOf)},
             {"changes", std::to_string(page.items.size())},
             {"tookMs", millisecondsText(m_state.clock.now() - calledAt)},
             {"known", isKnown ? "yes" : "no"}});
    return isKnown;
}

} // namespace ibisnotch
