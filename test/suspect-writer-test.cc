#include "entry/suspect-writer.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

// Runs each task when the test says so.
class FakeRunner final : public TaskRunner
{
public:
    void post(std::function<void()> task) override { m_tasks.push_back(std::move(task)); }
    void postAfter(Duration, std::function<void()> task) override { post(std::move(task)); }

    void runAll()
    {
        while (!m_tasks.empty()) {
            const auto task = std::move(m_tasks.front());
            m_tasks.erase(m_tasks.begin());
            task();
        }
    }

private:
    std::vector<std::function<void()>> m_tasks;
};

// A store whose leases end. It answers at once.
class FakeRangeStore final : public RangeStore
{
public:
    explicit FakeRangeStore(const Clock &clock) : m_clock(clock) { }

    void list(const std::string &, const std::string &,
              std::function<void(const StorePage &)>) override
    {
    }
    void watchRange(const std::string &, std::uint64_t, Duration,
                    std::function<void(const StorePage &)>) override
    {
    }
    void grantLease(Duration ttl, std::function<void(const StoreLease &)> done) override
    {
        ++calls;
        const std::string id = std::to_string(m_leaseEnds.size());
        m_leaseEnds[id] = m_clock.now() + ttl;
        done({isDown ? StoreStatus::unknown : StoreStatus::ok, id});
    }
    void apply(const StoreChange &change, std::function<void(StoreStatus)> done) override
    {
        ++calls;
        largestChange = std::max(largestChange, change.puts.size() + change.removals.size());
        if (isDown)
            return done(StoreStatus::unknown);
        for (const StoreChange::Put &put : change.puts)
            m_keyEnds[put.key] = m_leaseEnds.at(put.leaseId);
        for (const std::string &key : change.removals)
            m_keyEnds.erase(key);
        done(StoreStatus::ok);
    }

    bool holds(const std::string &key) const
    {
        const auto found = m_keyEnds.find(key);
        return found != m_keyEnds.end() && m_clock.now() < found->second;
    }

    // Loses all keys and leases, and gives their ids out again: the first ones to others.
    void goBack()
    {
        m_keyEnds.clear();
        m_leaseEnds.clear();
        for (int i = 0; i < 4; ++i)
            m_leaseEnds[std::to_string(i)] = m_clock.now() + std::chrono::seconds(1);
    }

    bool isDown = false;
    int calls = 0;
    std::size_t largestChange = 0; // puts and removals

private:
    const Clock &m_clock;
    std::map<std::string, TimePoint> m_leaseEnds;
    std::map<std::string, TimePoint> m_keyEnds;
};

SuspectPart suspectOf(const std::string &id, int crashes)
{
    return {id, "p", "pool", crashes, "s1", "r1", "e1"};
}

std::string keyText(const SuspectKey &key)
{
    return key.id + (key.isBlock ? "/block" : "/row");
}

class WriterFixture
{
public:
    void record(const SuspectPart &suspect)
    {
        writer.record({suspect});
        tasks.runAll();
    }
    void pass(Duration time)
    {
        clock.advance(time);
        writer.tick();
        tasks.runAll();
    }

    ManualClock clock;
    FakeRunner tasks;
    FakeRangeStore store{clock};
    Random random{1};
    SuspectWriter writer{store, keyText, tasks, clock, random};
};

} // namespace

TEST_CASE_METHOD(WriterFixture, "suspectWriter_partsOfOneCrash_areWrittenWithOneCall")
{
    writer.record({suspectOf("a", 1)});
    writer.record({suspectOf("b", 1)});
    tasks.runAll();
    CHECK(store.calls == 2); // the lease and the change
    CHECK(store.holds("a/row"));
    CHECK(store.holds("b/row"));
    CHECK_FALSE(store.holds("a/block"));
}

// Guards against a block that ends before its renewal, which is due at half its time, because it
// shares the lease of an earlier block.
TEST_CASE_METHOD(WriterFixture, "suspectWriter_blockWrittenLongAfterAnother_lastsBeyondItsHalfTime")
{
    constexpr Duration renewalDelay = 30s;
    record(suspectOf("a", PartSuspects::crashesToBlock));
    pass(PartSuspects::blockTime / 2 - 1s);
    record(suspectOf("b", PartSuspects::crashesToConfirm));
    pass(PartSuspects::blockTime / 2 + renewalDelay);
    CHECK(store.holds("b/block"));
}

// Guards against a row that ends with its block, so that several servers crash before the next one.
TEST_CASE_METHOD(WriterFixture, "suspectWriter_blockEnds_itsRowIsStillThere")
{
    record(suspectOf("a", 1));
    pass(PartSuspects::suspicionTime / 2 - 1s);
    record(suspectOf("b", PartSuspects::crashesToBlock));
    pass(PartSuspects::blockTime);
    CHECK_FALSE(store.holds("b/block"));
    CHECK(store.holds("b/row"));
}

TEST_CASE_METHOD(WriterFixture, "suspectWriter_blockOfASoundPart_isRemovedAtOnce")
{
    const SuspectPart block = suspectOf("a", PartSuspects::crashesToBlock);
    record(block);
    writer.remove({block});
    tasks.runAll();
    CHECK_FALSE(store.holds("a/block"));
    CHECK_FALSE(store.holds("a/row"));
}

// Guards against a removal by each of many instances that have seen an answer.
TEST_CASE_METHOD(WriterFixture, "suspectWriter_anotherInstanceRemovesTheRow_makesNoCall")
{
    record(suspectOf("a", 1));
    const int before = store.calls;
    writer.remove({suspectOf("a", 1)});
    writer.onRemoved("a");
    pass(2s);
    CHECK(store.calls == before);
}

TEST_CASE_METHOD(WriterFixture, "suspectWriter_storeIsDown_writesOnceItIsBack")
{
    store.isDown = true;
    record(suspectOf("a", PartSuspects::crashesToBlock));
    pass(100ms);
    CHECK_FALSE(store.holds("a/block"));
    store.isDown = false;
    for (int i = 0; i < 20; ++i)
        pass(100ms);
    CHECK(store.holds("a/block"));
}

// Guards against changes that the store rejects because they are too large.
TEST_CASE_METHOD(WriterFixture, "suspectWriter_manyParts_keepsEachChangeWithinTheStoresLimit")
{
    constexpr std::size_t maxEntries = 32;
    std::vector<SuspectPart> blocks;
    for (int i = 0; i < 100; ++i)
        blocks.push_back(suspectOf("p" + std::to_string(i), PartSuspects::crashesToBlock));
    writer.record(blocks);
    tasks.runAll();
    CHECK(store.holds("p0/block"));
    CHECK(store.holds("p99/row"));
    writer.remove(blocks);
    tasks.runAll();
    CHECK_FALSE(store.holds("p0/block"));
    CHECK_FALSE(store.holds("p99/row"));
    CHECK(store.largestChange <= maxEntries);
}

// Guards against a block that ends because the store came back from a copy without it, and against
// records that hang on another's lease, whose id was given out again.
TEST_CASE_METHOD(WriterFixture, "suspectWriter_storeWentBack_writesAgainWithLeasesOfItsOwn")
{
    const SuspectPart block = suspectOf("a", PartSuspects::crashesToBlock);
    record(block);
    store.goBack();
    writer.onStoreWentBack({block});
    for (int i = 0; i < 30; ++i)
        pass(100ms);
    CHECK(store.holds("a/block"));
    CHECK(store.holds("a/row"));
}

// Guards against a block that isn't written again because the copy has the part's row.
TEST_CASE_METHOD(WriterFixture, "suspectWriter_copyHasTheRowOnly_writesTheBlockAgain")
{
    record(suspectOf("a", PartSuspects::crashesToBlock));
    store.goBack();
    writer.onStoreWentBack({suspectOf("a", PartSuspects::crashesToBlock)});
    writer.onWritten(suspectOf("a", PartSuspects::crashesToBlock - 1));
    for (int i = 0; i < 30; ++i)
        pass(100ms);
    CHECK(store.holds("a/block"));
}

// Guards against a block of a sound part that is written again after it was removed.
TEST_CASE_METHOD(WriterFixture, "suspectWriter_removedSinceTheStoreWentBack_isNotWrittenAgain")
{
    const SuspectPart block = suspectOf("a", PartSuspects::crashesToBlock);
    writer.onStoreWentBack({block});
    writer.remove({block});
    for (int i = 0; i < 30; ++i)
        pass(100ms);
    CHECK_FALSE(store.holds("a/block"));
}

// Guards against a write by every instance once one of them has written the record again.
TEST_CASE_METHOD(WriterFixture, "suspectWriter_anotherInstanceWritesAgain_makesNoCall")
{
    const SuspectPart block = suspectOf("a", PartSuspects::crashesToBlock);
    record(block);
    const int before = store.calls;
    writer.onStoreWentBack({block});
    writer.onWritten(block);
    for (int i = 0; i < 30; ++i)
        pass(100ms);
    CHECK(store.calls == before);
}
