#include "store.h"

#include <chrono>
#include <cstdlib>

namespace review {

namespace {

using nlohmann::json;

std::string base64(const std::string &text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group
                = group << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            result += i + k > text.size() ? '=' : digits[group >> (18 - 6 * k) & 63U];
    }
    return result;
}

// Returns a value of the query, with its percent-encoding removed.
std::string queryValue(const std::string &target, const std::string &name)
{
    constexpr int hexadecimal = 16;
    const std::size_t query = target.find('?');
    std::size_t at = query == std::string::npos ? query : target.find(name + "=", query + 1);
    while (at != std::string::npos && target[at - 1] != '?' && target[at - 1] != '&')
        at = target.find(name + "=", at + 1);
    if (at == std::string::npos)
        return "";
    std::string value;
    for (at += name.size() + 1; at < target.size() && target[at] != '&'; ++at) {
        if (target[at] == '%') {
            value += static_cast<char>(
                std::strtol(target.substr(at + 1, 2).c_str(), nullptr, hexadecimal));
            at += 2;
        } else {
            value += target[at];
        }
    }
    return value;
}

std::string responseText(int status, const json &body)
{
    const std::string text = body.dump();
    return "HTTP/1.1 " + std::to_string(status)
        + " OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size())
        + "\r\n\r\n" + text;
}

} // namespace

Store::Store() : m_listener([this](Connection &connection) { serve(connection); }) { }

void Store::put(const std::string &key, const json &value)
{
    const std::lock_guard lock(m_mutex);
    putEncoded(key, base64(value.dump()), 0);
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    removeLocked(key);
}

void Store::putEncoded(const std::string &key, const std::string &encoded, std::int64_t lease)
{
    ++m_revision;
    const auto known = m_items.find(key);
    const json created = known == m_items.end() ? json(m_revision) : known->second["CreateRev"];
    m_items[key] = {{"Key", key},
                    {"Value", encoded},
                    {"ModRev", m_revision},
                    {"CreateRev", created},
                    {"Lease", lease}};
    m_events.push_back(m_items[key]);
    m_changed.notify_all();
}

void Store::removeLocked(const std::string &key)
{
    if (m_items.erase(key) == 0)
        return;
    m_events.push_back({{"Key", key}, {"ModRev", ++m_revision}, {"Deleted", true}});
    m_changed.notify_all();
}

void Store::serve(Connection &connection)
{
    while (const auto request = connection.readRequest()) {
        if (!connection.send(answer(*request)))
            return;
    }
}

std::string Store::answer(const Request &request)
{
    const std::string &target = request.target;
    if (target.starts_with("/ibisnotch/kv-range"))
        return responseText(200, list(queryValue(target, "Prefix")));
    if (target.starts_with("/ibisnotch/kv-watch"))
        return responseText(200,
                            watch(queryValue(target, "Prefix"),
                                  std::strtoull(queryValue(target, "after").c_str(), nullptr, 10),
                                  std::atoi(queryValue(target, "WaitMs").c_str())));
    const json body = json::parse(request.body, nullptr, false);
    if (target == "/ibisnotch/kv-txn")
        return change(body);
    if (target == "/ibisnotch/kv-lease") {
        const std::lock_guard lock(m_mutex);
        return responseText(200, {{"Lease", ++m_lastLease}, {"TtlMs", body.value("TtlMs", 1000)}});
    }
    return responseText(404, json::object());
}

json Store::list(const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    json items = json::array();
    for (const auto &[key, item] : m_items) {
        if (key.starts_with(prefix))
            items.push_back(item);
    }
    return {{"items", items}, {"More", false}, {"AsOf", m_revision}};
}

json Store::watch(const std::string &prefix, std::uint64_t after, int waitMs)
{
    std::unique_lock lock(m_mutex);
    json events = json::array();
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] {
        for (const json &event : m_events) {
            if (event["ModRev"] > after && event["Key"].get<std::string>().starts_with(prefix))
                events.push_back(event);
        }
        return !events.empty();
    });
    return {{"events", events}, {"AsOf", m_revision}};
}

std::string Store::change(const json &transaction)
{
    const std::lock_guard lock(m_mutex);
    for (const json &row : transaction.value("Expected", json::array())) {
        const auto found = m_items.find(row["Key"]);
        const std::uint64_t known
            = found == m_items.end() ? 0 : found->second["ModRev"].get<std::uint64_t>();
        if (row["ModRev"] != known)
            return responseText(412, {{"items", json::array()}});
    }
    for (const json &put : transaction.value("Puts", json::array()))
        putEncoded(put["Key"], put["Value"], put.value("Lease", 0));
    for (const json &key : transaction.value("Deletes", json::array()))
        removeLocked(key);
    return responseText(200, {{"ModRev", m_revision}});
}

} // namespace review
