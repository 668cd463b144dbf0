// Messages by which instances tell each other the origins of streams, so that a caller can resume a
// stream at any instance after the one that began it has failed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ibisnotch/membership.h"
#include "ibisnotch/origin-history.h"
#include "ibisnotch/stream-origin.h"

namespace ibisnotch {

// Streams of one origin that the sender has begun to pass on.
struct OriginNotice
{
    StreamOrigin origin;
    std::uint32_t lifetimeMs = 0; // for which they may be resumed, from when this was sent
    std::vector<std::uint64_t> streams; // streamKey() of each

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(origin, lifetimeMs, streams);
    }
    bool operator==(const OriginNotice &) const = default;
};

// Asks for the origin of a stream that a caller resumes.
struct OriginQuestion
{
    std::uint64_t stream = 0;
    std::string service;

    template <typename Archive> void serialize(Archive &archive) { archive(stream, service); }
    bool operator==(const OriginQuestion &) const = default;
};

struct OriginAnswer
{
    std::uint64_t stream = 0;
    std::optional<StreamOrigin> origin; // empty if the sender has no record of the stream
    std::uint32_t ageMs = 0; // of that record
    // For the stream's service, as the sender knows them. Without a record, complete only if the
    // sender has read its lists anew since the question came.
    PossibleOrigins possible;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(stream, origin, ageMs, possible);
    }
    bool operator==(const OriginAnswer &) const = default;
};

struct OriginMessage
{
    std::vector<OriginNotice> notices;
    std::vector<OriginQuestion> questions;
    std::vector<OriginAnswer> answers;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(notices, questions, answers);
    }
    bool operator==(const OriginMessage &) const = default;
};

// Returns the members that are told the origin of a stream when it begins, and asked for it when a
// caller resumes it: the first two of `region`, the sender's own, and the first of each of two
// other regions at the most, by rendezvous hashing. So both sides choose the same members as long
// as they know the same ones, and one of those is likely to be left after the loss of a third of
// the instances, or of a region.
std::vector<Member> originHolders(std::uint64_t stream, const std::string &region,
                                  const std::vector<Member> &members);

} // namespace ibisnotch
