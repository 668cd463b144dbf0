// Which server began a stream. Servers of one pool may run different versions of their software.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "ibisnotch/clock.h"

namespace ibisnotch {

// The pool and software version of the server that sent the first event of a stream. What servers
// of different versions write doesn't fit together, so only servers of this version may continue
// the stream.
struct StreamOrigin
{
    std::string pool;
    std::string softwareVersion;

    template <typename Archive> void serialize(Archive &archive) { archive(pool, softwareVersion); }
    bool operator==(const StreamOrigin &) const = default;
    bool operator<(const StreamOrigin &other) const
    {
        return std::tie(pool, softwareVersion) < std::tie(other.pool, other.softwareVersion);
    }
};

// How an instance knows the origin of a stream.
enum class OriginSource {
    unknown,
    own, // it passed on the first event
    forwarded, // the instance that forwarded the request named it
    told, // the instance that passed on the first event told it or another instance
    sole, // no other version can have begun the stream
};

std::string_view originSourceName(OriginSource source);

// Returns the key of a stream's record: a hash of the id of the caller's attempt that brought its
// first event.
std::uint64_t streamKey(std::string_view attemptId);

struct OriginRecord
{
    StreamOrigin origin;
    std::string service; // empty if another instance told the origin
    TimePoint knownAt{};
    TimePoint expiresAt{};
    bool operator==(const OriginRecord &) const = default;
};

// The origins of streams that callers may still resume: of the streams that this instance passed
// on, and of those that other instances told it. Thread safe.
class OriginRecords
{
public:
    // Bounds the memory to about 10 MB.
    static constexpr std::size_t maxRecords = 50000;

    // Records a stream that this instance passes on.
    void add(std::uint64_t stream, OriginRecord record);
    // Records what another instance told. A record of this instance's own is kept.
    void addTold(std::uint64_t stream, OriginRecord record);
    std::optional<OriginRecord> find(std::uint64_t stream, TimePoint now) const;

    using Untold = std::vector<std::pair<std::uint64_t, OriginRecord>>;
    // Returns the own records of services for which `needsTelling` returns true, each once, at most
    // `maxCount`. The others are returned as soon as it returns true for their service.
    Untold takeUntold(const std::function<bool(const std::string &service)> &needsTelling,
                      std::size_t maxCount, TimePoint now);

    std::size_t size() const;

private:
    void makeRoom(TimePoint now);

    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, OriginRecord> m_records;
    std::vector<std::uint64_t> m_untold;
    TimePoint m_nextSweep{};
};

} // namespace ibisnotch
