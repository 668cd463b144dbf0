// Stand-in of the platform's metadata store: keys, ranges, watches, transactions and leases, as
// PROTOCOL.md describes them. Beside these, PUT /test/key?Key=... writes a key (the operator and
// the backend servers) and DELETE /test/key?Key=... removes it.
//   store PORT
#include <condition_variable>
#include <map>
#include <mutex>

#include <nlohmann/json.hpp>

#include "http.h"

using namespace standin;
using nlohmann::json;

namespace {

std::string base64(const std::string &text)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned block = 0;
        for (std::size_t k = 0; k < 3; ++k)
            block
                = block << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= text.size() ? digits[block >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

std::string decodePercent(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string part
            = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            query[part.substr(0, equals)] = decodePercent(part.substr(equals + 1));
        at = end;
    }
    return query;
}

class Store
{
public:
    bool handle(Channel &channel, const Message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        const auto query = queryOf(target);
        const auto value = [&query](const char *name) {
            const auto found = query.find(name);
            return found == query.end() ? std::string() : found->second;
        };
        if (path == "/test/key") {
            if (request.method() == "DELETE")
                remove(value("Key"));
            else
                put(value("Key"), base64(request.body), 0);
            return answer(channel, 200, json::object());
        }
        if (path == "/ibisnotch/kv-key")
            return key(channel, value("Key"));
        if (path == "/ibisnotch/kv-range")
            return range(channel, value("Prefix"), value("after"));
        if (path == "/ibisnotch/kv-watch")
            return watch(channel, value("Prefix"), std::atoll(value("after").c_str()),
                         std::atoll(value("WaitMs").c_str()));
        if (path == "/ibisnotch/kv-txn")
            return transact(channel, json::parse(request.body, nullptr, false));
        if (path == "/ibisnotch/kv-lease") {
            const json body = json::parse(request.body, nullptr, false);
            return answer(channel, 200,
                          {{"Lease", grant(body["TtlMs"])}, {"TtlMs", body["TtlMs"]}});
        }
        if (path.starts_with("/ibisnotch/kv-keep/"))
            return answer(channel, 404, json::object());
        if (path.starts_with("/ibisnotch/kv-lease-end/")) {
            endLease(std::atoll(path.c_str() + std::strlen("/ibisnotch/kv-lease-end/")));
            return answer(channel, 200, json::object());
        }
        return answer(channel, 404, json::object());
    }

    void expireLeases()
    {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            std::vector<long long> ended;
            {
                const std::lock_guard lock(m_mutex);
                for (const auto &[id, end] : m_leases) {
                    if (end <= nowMs())
                        ended.push_back(id);
                }
            }
            for (const long long id : ended)
                endLease(id);
        }
    }

private:
    static bool answer(Channel &channel, int status, const json &body)
    {
        return channel.send(
            makeResponse(status, {{"Content-Type", "application/json"}}, body.dump()));
    }

    void putLocked(const std::string &key, const std::string &encoded, long long lease)
    {
        const long long revision = ++m_revision;
        const auto known = m_items.find(key);
        const long long created
            = known == m_items.end() ? revision : known->second["CreateRev"].get<long long>();
        m_items[key] = {{"Key", key},
                        {"Value", encoded},
                        {"ModRev", revision},
                        {"CreateRev", created},
                        {"Lease", lease}};
        m_events.push_back(m_items[key]);
    }

    void removeLocked(const std::string &key)
    {
        if (m_items.erase(key) > 0)
            m_events.push_back({{"Key", key}, {"ModRev", ++m_revision}, {"Deleted", true}});
    }

    void put(const std::string &key, const std::string &encoded, long long lease)
    {
        const std::lock_guard lock(m_mutex);
        putLocked(key, encoded, lease);
        m_changed.notify_all();
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        removeLocked(key);
        m_changed.notify_all();
    }

    long long grant(long long ttlMs)
    {
        const std::lock_guard lock(m_mutex);
        m_leases[++m_lastLease] = nowMs() + ttlMs;
        return m_lastLease;
    }

    void endLease(long long id)
    {
        const std::lock_guard lock(m_mutex);
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item["Lease"] == id)
                keys.push_back(key);
        }
        for (const std::string &key : keys)
            removeLocked(key);
        m_changed.notify_all();
    }

    bool key(Channel &channel, const std::string &name)
    {
        std::unique_lock lock(m_mutex);
        const auto found = m_items.find(name);
        json body = found == m_items.end() ? json::object() : found->second;
        body["AsOf"] = m_revision;
        const int status = found == m_items.end() ? 404 : 200;
        lock.unlock();
        return answer(channel, status, body);
    }

    bool range(Channel &channel, const std::string &prefix, const std::string &after)
    {
        std::unique_lock lock(m_mutex);
        json items = json::array();
        for (const auto &[key, item] : m_items) {
            if (key.starts_with(prefix) && key > after)
                items.push_back(item);
        }
        const json body{{"items", items}, {"More", false}, {"AsOf", m_revision}};
        lock.unlock();
        return answer(channel, 200, body);
    }

    bool watch(Channel &channel, const std::string &prefix, long long after, long long waitMs)
    {
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
        json events = json::array();
        std::unique_lock lock(m_mutex);
        do {
            for (const json &event : m_events) {
                const std::string key = event["Key"];
                if (event["ModRev"] > after && key.starts_with(prefix))
                    events.push_back(event);
            }
        } while (events.empty() && m_changed.wait_until(lock, until) == std::cv_status::no_timeout);
        const json body{{"events", events}, {"AsOf", m_revision}};
        lock.unlock();
        return answer(channel, 200, body);
    }

    bool transact(Channel &channel, const json &body)
    {
        std::unique_lock lock(m_mutex);
        for (const json &row : body["Expected"]) {
            const auto found = m_items.find(row["Key"]);
            const long long revision
                = found == m_items.end() ? 0 : found->second["ModRev"].get<long long>();
            if (revision != row["ModRev"]) {
                lock.unlock();
                return answer(channel, 412, {{"items", json::array()}});
            }
        }
        for (const json &row : body["Puts"]) {
            const long long lease = row.value("Lease", 0LL);
            if (lease != 0 && m_leases.count(lease) == 0) {
                lock.unlock();
                return answer(channel, 404, json::object());
            }
        }
        for (const json &row : body["Puts"])
            putLocked(row["Key"], row["Value"], row.value("Lease", 0LL));
        for (const json &key : body["Deletes"])
            removeLocked(key);
        m_changed.notify_all();
        const json reply{{"ModRev", m_revision}};
        lock.unlock();
        return answer(channel, 200, reply);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    long long m_revision = 0;
    long long m_lastLease = 0;
    std::map<std::string, json> m_items;
    std::vector<json> m_events;
    std::map<long long, long long> m_leases; // ends, by id
};

} // namespace

int main(int, char **arguments)
{
    Store store;
    std::thread([&store] { store.expireLeases(); }).detach();
    serve(std::atoi(arguments[1]), [&store](Channel &channel, const Message &request) {
        return store.handle(channel, request);
    });
}
