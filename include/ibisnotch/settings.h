// Trees of settings, parsed from YAML with the origin of each value. An overlay can be merged into
// a base.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "ibisnotch/clock.h"

namespace ibisnotch {

struct Origin
{
    std::string file;
    int line = 0; // from 1
    auto operator<=>(const Origin &) const = default;
};

struct SettingNode
{
    enum class Kind { scalar, list, map };

    Kind kind = Kind::scalar;
    std::string scalar;
    std::vector<SettingNode> list;
    std::map<std::string, SettingNode> map;
    Origin origin;

    bool operator==(const SettingNode &) const = default;
};

// Parses YAML text. The file name is only used in messages. Fails on invalid YAML and on duplicate
// keys, with file and line.
absl::StatusOr<SettingNode> parseSettings(std::string_view text, const std::string &file);

// Merges maps key by key. Any other value of the overlay replaces the value of the base.
SettingNode mergeSettings(const SettingNode &base, const SettingNode &overlay);

// Returns one line per value: "path = value  # file:line".
std::string printSettings(const SettingNode &root);

// Reads the values of one map. Missing, invalid and unknown keys are appended to a list of errors,
// so that all errors of a file are reported together. Each reads "file:line: path: problem;
// remedy".
class SettingReader
{
public:
    SettingReader(const SettingNode &node, std::string path, std::vector<std::string> &errors);

    bool has(const std::string &key) const;
    std::string text(const std::string &key, const std::string &fallback);
    std::string requiredText(const std::string &key);
    double number(const std::string &key, double fallback, double low, double high);
    int integer(const std::string &key, int fallback, int low, int high);
    bool flag(const std::string &key, bool fallback);
    Duration duration(const std::string &key, Duration fallback);
    std::vector<std::string> textList(const std::string &key);
    std::string choice(const std::string &key, const std::string &fallback,
                       const std::vector<std::string> &allowed);

    // Returns readers for the maps below a key, with their names.
    std::vector<std::pair<std::string, SettingReader>> children(const std::string &key);
    // Returns a reader for the map of a key, which is empty if the key is missing.
    SettingReader child(const std::string &key);

    // Reports keys that were not requested by any read. Call last.
    void finish();
    void fail(const std::string &key, const std::string &message);

private:
    const SettingNode *find(const std::string &key);
    const SettingNode *findScalar(const std::string &key, const std::string &expected);
    void failAt(const Origin &origin, const std::string &path, const std::string &message);

    const SettingNode *m_node;
    std::string m_path;
    std::vector<std::string> *m_errors;
    std::set<std::string> m_requestedKeys;
};

// Parses durations such as "250ms", "20s", "5m" and "2h".
absl::StatusOr<Duration> parseDuration(std::string_view text);

} // namespace ibisnotch
