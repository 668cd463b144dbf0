#include "ibisnotch/forward-path.h"

#include <algorithm>

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include "ibisnotch/result-code.h"

namespace ibisnotch {

namespace {

// One from the caller's instance to the issuer of its booking key, one from there to another
// region.
constexpr std::size_t maxHops = 2;
constexpr int maxRegionChanges = 1;

} // namespace

std::string formatForwardPath(const ForwardPath &path)
{
    return absl::StrJoin(path, ",", [](std::string *out, const Hop &hop) {
        out->append(hop.instance + "@" + hop.region);
    });
}

absl::StatusOr<ForwardPath> parseForwardPath(std::string_view text)
{
    ForwardPath path;
    const absl::string_view input(text.data(), text.size());
    for (const absl::string_view part : absl::StrSplit(input, ',')) {
        const std::vector<std::string> fields = absl::StrSplit(part, '@');
        if (fields.size() != 2 || fields[0].empty() || fields[1].empty())
            return makeStatus(ResultCode::malformedRequest, "broken forward path");
        path.push_back({fields[0], fields[1]});
    }
    return path;
}

int regionChanges(const ForwardPath &path)
{
    int changes = 0;
    for (std::size_t i = 1; i < path.size(); ++i)
        changes += path[i].region != path[i - 1].region ? 1 : 0;
    return changes;
}

absl::Status checkForwardPath(const ForwardPath &path, const Hop &self)
{
    const bool alreadyVisited = std::any_of(path.begin(), path.end(), [&self](const Hop &hop) {
        return hop.instance == self.instance;
    });
    ForwardPath extended = path;
    extended.push_back(self);
    if (alreadyVisited || path.size() > maxHops || regionChanges(extended) > maxRegionChanges)
        return makeStatus(ResultCode::loopRefused,
                          "the request came by " + formatForwardPath(path));
    return absl::OkStatus();
}

bool canForwardTo(const ForwardPath &path, const Hop &self, const Hop &next)
{
    ForwardPath extended = path;
    extended.push_back(self);
    return checkForwardPath(extended, next).ok();
}

} // namespace ibisnotch
