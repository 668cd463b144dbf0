#include "ibisnotch/config-admin.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "config-fixture.h"

using namespace ibisnotch;

namespace {

using trompeloeil::_;

class MockStore : public Store
{
public:
    MAKE_MOCK2(read, void(const std::string &, std::function<void(const StoreRead &)>), override);
    MAKE_MOCK4(watch,
               void(const std::string &, std::uint64_t, Duration,
                    std::function<void(const StoreRead &)>),
               override);
    MAKE_MOCK4(compareAndSet,
               void(const std::string &, std::uint64_t, const std::string &,
                    std::function<void(const StoreWrite &)>),
               override);
    MAKE_MOCK2(remove, void(const std::string &, std::function<void(const StoreWrite &)>),
               override);
    MAKE_MOCK2(grantLease, void(Duration, std::function<void(const StoreLease &)>), override);
    MAKE_MOCK2(renewLease, void(const std::string &, std::function<void(const StoreLease &)>),
               override);
    MAKE_MOCK4(acquire,
               void(const std::string &, const std::string &, const std::string &,
                    std::function<void(const StoreWrite &)>),
               override);
};

struct AdminFixture : ConfigFixture
{
    MockStore store;
    ConfigAdmin admin{store};
    const std::string currentKey = "ibisnotch/config/current";
    const std::string historyKey = "ibisnotch/config/history/1";
};

} // namespace

TEST_CASE_METHOD(AdminFixture, "apply_responseLostAfterTheWrite_succeedsAfterReadingBack")
{
    StoreRead stored{StoreStatus::ok, serializeDocument(document), 5};
    REQUIRE_CALL(store, read(currentKey, _)).TIMES(2).LR_SIDE_EFFECT(_2(stored));
    REQUIRE_CALL(store, compareAndSet(historyKey, 0, _, _)).SIDE_EFFECT(_4({StoreStatus::ok, 6}));
    REQUIRE_CALL(store, compareAndSet(currentKey, 5, _, _))
        .LR_SIDE_EFFECT(stored.value = _3)
        .LR_SIDE_EFFECT(stored.index = 7)
        .SIDE_EFFECT(_4({StoreStatus::unknown, 0}));
    const auto result = admin.apply(document, 1);
    REQUIRE(result.ok());
    CHECK(result->version == 2);
}

TEST_CASE_METHOD(AdminFixture, "apply_responseLostWithoutTheWrite_reportsUnknown")
{
    const StoreRead stored{StoreStatus::ok, serializeDocument(document), 5};
    REQUIRE_CALL(store, read(currentKey, _)).TIMES(2).LR_SIDE_EFFECT(_2(stored));
    REQUIRE_CALL(store, compareAndSet(historyKey, 0, _, _))
        .SIDE_EFFECT(_4({StoreStatus::conflict, 0}));
    REQUIRE_CALL(store, compareAndSet(currentKey, 5, _, _))
        .SIDE_EFFECT(_4({StoreStatus::unknown, 0}));
    CHECK(admin.apply(document, 1).status().code() == absl::StatusCode::kUnknown);
}

TEST_CASE_METHOD(AdminFixture, "apply_anotherOperatorFirst_isAborted")
{
    const StoreRead stored{StoreStatus::ok, serializeDocument(document), 5};
    REQUIRE_CALL(store, read(currentKey, _)).LR_SIDE_EFFECT(_2(stored));
    REQUIRE_CALL(store, compareAndSet(historyKey, 0, _, _)).SIDE_EFFECT(_4({StoreStatus::ok, 6}));
    REQUIRE_CALL(store, compareAndSet(currentKey, 5, _, _))
        .SIDE_EFFECT(_4({StoreStatus::conflict, 0}));
    CHECK(admin.apply(document, 1).status().code() == absl::StatusCode::kAborted);
}

TEST_CASE_METHOD(AdminFixture, "apply_invalidDraft_writesNothing")
{
    const StoreRead stored{StoreStatus::ok, serializeDocument(document), 5};
    REQUIRE_CALL(store, read(currentKey, _)).LR_SIDE_EFFECT(_2(stored));
    FORBID_CALL(store, compareAndSet(_, _, _, _));
    ConfigDocument invalid = document;
    invalid.base.text += "nonsense: 1\n";
    CHECK(admin.apply(invalid, 1).status().code() == absl::StatusCode::kInvalidArgument);
}

TEST_CASE_METHOD(AdminFixture, "apply_storeUnreachable_changesNothing")
{
    REQUIRE_CALL(store, read(currentKey, _)).SIDE_EFFECT(_2({StoreStatus::unknown, "", 0}));
    CHECK(admin.apply(document, 1).status().code() == absl::StatusCode::kUnavailable);
}

TEST_CASE_METHOD(ConfigFixture, "diffDocuments_oneAddedLine_namesFileAndLine")
{
    ConfigDocument other = document;
    other.overlays["b"].text += "regionOneWay: 90ms\n";
    CHECK(diffDocuments(document, other) == "--- site b\n4: + regionOneWay: 90ms\n");
    CHECK(diffDocuments(document, document).empty());
}
