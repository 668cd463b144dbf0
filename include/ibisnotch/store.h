// The platform's key-value service as the system uses it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"

namespace ibisnotch {

class HttpClient;

enum class StoreStatus {
    ok,
    notFound,
    conflict, // certain: the value was not written
    notApplied, // certain: refused, or never sent
    unknown, // the call may have taken effect
    historyLost, // of a watch: the store has forgotten what happened since
};

struct StoreRead
{
    StoreStatus status = StoreStatus::unknown;
    std::string value;
    std::uint64_t index = 0; // of the value; 0 if it does not exist
    bool operator==(const StoreRead &) const = default;
};

struct StoreWrite
{
    StoreStatus status = StoreStatus::unknown;
    std::uint64_t index = 0; // after the write
    bool operator==(const StoreWrite &) const = default;
};

struct StoreLease
{
    StoreStatus status = StoreStatus::unknown;
    std::string id;
    bool operator==(const StoreLease &) const = default;
};

struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; // of the last change
    bool deleted = false;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(key, value, revision, deleted);
    }
    bool operator==(const StoreItem &) const = default;
};

struct StorePage
{
    StoreStatus status = StoreStatus::unknown;
    std::vector<StoreItem> items; // of a watch: what changed, in the order of the changes
    bool hasMore = false; // of a list: another page follows
    std::uint64_t asOf = 0; // the store's revision
    bool operator==(const StorePage &) const = default;
};

// Ranges of keys. Every call counts against the store's rate, a waiting watch as one.
class RangeStore
{
public:
    virtual ~RangeStore() = default;

    // The keys that begin with the prefix, from the one behind `after` on. Pages are no snapshot.
    virtual void list(const std::string &prefix, const std::string &after,
                      std::function<void(const StorePage &)> done)
        = 0;

    // Returns once a key of the prefix has changed since the revision, or the time is over.
    virtual void watchRange(const std::string &prefix, std::uint64_t afterRevision,
                            Duration maxWait, std::function<void(const StorePage &)> done)
        = 0;
};

// Every call counts against the store's rate, a waiting watch as one.
class Store
{
public:
    virtual ~Store() = default;

    virtual void read(const std::string &key, std::function<void(const StoreRead &)> done) = 0;

    // Returns once the value's index is above the given one, or the time is over.
    virtual void watch(const std::string &key, std::uint64_t afterIndex, Duration maxWait,
                       std::function<void(const StoreRead &)> done)
        = 0;

    // Writes if the value's index is the expected one; 0 means that it must not exist.
    virtual void compareAndSet(const std::string &key, std::uint64_t expectedIndex,
                               const std::string &value,
                               std::function<void(const StoreWrite &)> done)
        = 0;

    virtual void remove(const std::string &key, std::function<void(const StoreWrite &)> done) = 0;

    virtual void grantLease(Duration ttl, std::function<void(const StoreLease &)> done) = 0;
    virtual void renewLease(const std::string &id, std::function<void(const StoreLease &)> done)
        = 0;
    // Sets the value if no other lease holds the key; the key vanishes with the lease.
    virtual void acquire(const std::string &key, const std::string &leaseId,
                         const std::string &value, std::function<void(const StoreWrite &)> done)
        = 0;
};

// Speaks the HTTP interface of Consul's key-value store: transactions with "cas", sessions as
// leases, blocking queries as watches. Callbacks come on the client's loop.
std::unique_ptr<Store> makeConsulStore(HttpClient &client, const std::string &address);

} // namespace ibisnotch
