#include "ibisnotch/settings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace ibisnotch {

namespace {

// Converts YAML nodes to settings and keeps the first duplicate key as the error.
class TreeBuilder
{
public:
    explicit TreeBuilder(std::string file) : m_file(std::move(file)) { }

    SettingNode build(const YAML::Node &node)
    {
        SettingNode result;
        result.origin = {m_file, node.Mark().line + 1};
        if (node.IsMap())
            fillMap(node, result);
        else if (node.IsSequence())
            fillList(node, result);
        else if (node.IsScalar())
            result.scalar = node.Scalar();
        return result;
    }

    const std::string &error() const { return m_error; }

private:
    void fillMap(const YAML::Node &node, SettingNode &result)
    {
        result.kind = SettingNode::Kind::map;
        for (const auto &entry : node) {
            const std::string key = entry.first.as<std::string>();
            SettingNode value = build(entry.second);
            // Messages name the line of the key rather than the first line of a nested map.
            value.origin.line = entry.first.Mark().line + 1;
            if (!result.map.emplace(key, std::move(value)).second && m_error.empty())
                m_error = fmt::format("{}:{}: {}: key given twice; keep one", m_file,
                                      entry.first.Mark().line + 1, key);
        }
    }

    void fillList(const YAML::Node &node, SettingNode &result)
    {
        result.kind = SettingNode::Kind::list;
        for (const auto &item : node)
            result.list.push_back(build(item));
    }

    std::string m_file;
    std::string m_error;
};

void printNode(const SettingNode &node, const std::string &path, std::string &out)
{
    switch (node.kind) {
    case SettingNode::Kind::map:
        for (const auto &[key, value] : node.map)
            printNode(value, path.empty() ? key : path + "." + key, out);
        return;
    case SettingNode::Kind::list: {
        const auto items = absl::StrJoin(
            node.list, ", ", [](std::string *to, const auto &item) { to->append(item.scalar); });
        out += fmt::format("{} = [{}]  # {}:{}\n", path, items, node.origin.file, node.origin.line);
        return;
    }
    case SettingNode::Kind::scalar:
        out += fmt::format("{} = {}  # {}:{}\n", path, node.scalar, node.origin.file,
                           node.origin.line);
    }
}

const SettingNode emptyMap = [] {
    SettingNode node;
    node.kind = SettingNode::Kind::map;
    return node;
}();

} // namespace

absl::StatusOr<SettingNode> parseSettings(std::string_view text, const std::string &file)
{
    try {
        TreeBuilder builder(file);
        SettingNode root = builder.build(YAML::Load(std::string(text)));
        if (!builder.error().empty())
            return absl::InvalidArgumentError(builder.error());
        if (root.kind != SettingNode::Kind::map)
            return absl::InvalidArgumentError(
                fmt::format("{}:1: the file is empty or not a map; expected key: value", file));
        return root;
    } catch (const YAML::Exception &error) {
        return absl::InvalidArgumentError(
            fmt::format("{}:{}: broken YAML: {}", file, error.mark.line + 1, error.msg));
    }
}

SettingNode mergeSettings(const SettingNode &base, const SettingNode &overlay)
{
    if (base.kind != SettingNode::Kind::map || overlay.kind != SettingNode::Kind::map)
        return overlay;
    SettingNode merged = base;
    for (const auto &[key, value] : overlay.map) {
        const auto found = merged.map.find(key);
        if (found == merged.map.end())
            merged.map.emplace(key, value);
        else
            found->second = mergeSettings(found->second, value);
    }
    return merged;
}

std::string printSettings(const SettingNode &root)
{
    std::string out;
    printNode(root, "", out);
    return out;
}

SettingReader::SettingReader(const SettingNode &node, std::string path,
                             std::vector<std::string> &errors)
    : m_node(&node), m_path(std::move(path)), m_errors(&errors)
{
    if (node.kind != SettingNode::Kind::map) {
        failAt(node.origin, m_path, "expected a map of keys");
        m_node = &emptyMap;
    }
}

bool SettingReader::has(const std::string &key) const
{
    return m_node->map.count(key) > 0;
}

const SettingNode *SettingReader::find(const std::string &key)
{
    m_requestedKeys.insert(key);
    const auto found = m_node->map.find(key);
    return found == m_node->map.end() ? nullptr : &found->second;
}

const SettingNode *SettingReader::findScalar(const std::string &key, const std::string &expected)
{
    const SettingNode *node = find(key);
    if (node == nullptr || node->kind == SettingNode::Kind::scalar)
        return node;
    fail(key, "expected " + expected);
    return nullptr;
}

std::string SettingReader::text(const std::string &key, const std::string &fallback)
{
    const SettingNode *node = findScalar(key, "a text");
    return node == nullptr ? fallback : node->scalar;
}

std::string SettingReader::requiredText(const std::string &key)
{
    const std::string value = text(key, "");
    if (value.empty())
        fail(key, "missing; give a value");
    return value;
}

double SettingReader::number(const std::string &key, double fallback, double low, double high)
{
    const SettingNode *node = findScalar(key, "a number");
    if (node == nullptr)
        return fallback;
    double value = 0;
    if (!absl::SimpleAtod(node->scalar, &value) || !(value >= low && value <= high)) {
        fail(key,
             fmt::format("expected a number from {} to {}, found \"{}\"", low, high, node->scalar));
        return fallback;
    }
    return value;
}

int SettingReader::integer(const std::string &key, int fallback, int low, int high)
{
    const SettingNode *node = findScalar(key, "a whole number");
    if (node == nullptr)
        return fallback;
    int value = 0;
    if (!absl::SimpleAtoi(node->scalar, &value) || value < low || value > high) {
        fail(key,
             fmt::format("expected a whole number from {} to {}, found \"{}\"", low, high,
                         node->scalar));
        return fallback;
    }
    return value;
}

bool SettingReader::flag(const std::string &key, bool fallback)
{
    return choice(key, fallback ? "true" : "false", {"true", "false"}) == "true";
}

Duration SettingReader::duration(const std::string &key, Duration fallback)
{
    const SettingNode *node = findScalar(key, "a duration such as 250ms or 20s");
    if (node == nullptr)
        return fallback;
    const auto value = parseDuration(node->scalar);
    if (!value.ok()) {
        fail(key, std::string(value.status().message()));
        return fallback;
    }
    return *value;
}

std::vector<std::string> SettingReader::textList(const std::string &key)
{
    std::vector<std::string> result;
    const SettingNode *node = find(key);
    if (node == nullptr)
        return result;
    if (node->kind != SettingNode::Kind::list) {
        fail(key, "expected a list such as [a, b]");
        return result;
    }
    for (const SettingNode &item : node->list)
        result.push_back(item.scalar);
    return result;
}

std::string SettingReader::choice(const std::string &key, const std::string &fallback,
                                  const std::vector<std::string> &allowed)
{
    const std::string value = text(key, fallback);
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
        return value;
    fail(key, fmt::format("expected one of {}, found \"{}\"", absl::StrJoin(allowed, ", "), value));
    return fallback;
}

std::vector<std::pair<std::string, SettingReader>> SettingReader::children(const std::string &key)
{
    std::vector<std::pair<std::string, SettingReader>> result;
    const SettingNode *node = find(key);
    if (node == nullptr)
        return result;
    if (node->kind != SettingNode::Kind::map) {
        fail(key, "expected a map of names");
        return result;
    }
    const std::string prefix = m_path.empty() ? key : m_path + "." + key;
    for (const auto &[name, value] : node->map)
        result.emplace_back(name, SettingReader(value, prefix + "." + name, *m_errors));
    return result;
}

SettingReader SettingReader::child(const std::string &key)
{
    const SettingNode *node = find(key);
    const std::string path = m_path.empty() ? key : m_path + "." + key;
    return {node == nullptr ? emptyMap : *node, path, *m_errors};
}

void SettingReader::finish()
{
    const std::string known = absl::StrJoin(m_requestedKeys, ", ");
    for (const auto &[key, value] : m_node->map) {
        if (m_requestedKeys.count(key) == 0)
            fail(key, "unknown key; known here: " + known);
    }
}

void SettingReader::fail(const std::string &key, const std::string &message)
{
    const auto found = m_node->map.find(key);
    const Origin &origin = found == m_node->map.end() ? m_node->origin : found->second.origin;
    failAt(origin, m_path.empty() ? key : m_path + "." + key, message);
}

void SettingReader::failAt(const Origin &origin, const std::string &path,
                           const std::string &message)
{
    m_errors->push_back(fmt::format("{}:{}: {}: {}", origin.file, origin.line, path, message));
}

absl::StatusOr<Duration> parseDuration(std::string_view text)
{
    const std::size_t digits = text.find_first_not_of("0123456789");
    const std::string number(text.substr(0, digits));
    const std::string_view unit
        = digits == std::string_view::npos ? std::string_view() : text.substr(digits);
    long long value = 0;
    const bool ok = absl::SimpleAtoi(number, &value) && value <= 1000000000;
    if (ok && unit == "ms")
        return Duration(std::chrono::milliseconds(value));
    if (ok && unit == "s")
        return Duration(std::chrono::seconds(value));
    if (ok && unit == "m")
        return Duration(std::chrono::minutes(value));
    if (ok && unit == "h")
        return Duration(std::chrono::hours(value));
    return absl::InvalidArgumentError(fmt::format(
        "expected a duration with a unit such as 250ms, 20s, 5m or 2h, found \"{}\"", text));
}

} // namespace ibisnotch
