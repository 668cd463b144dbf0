// A sound store: an item is kept until it is removed, watches answer at once.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

class Store
{
public:
    Store();
    int port() const { return m_listener.port(); }

    void put(const std::string &key, const nlohmann::json &value);
    void remove(const std::string &key);

private:
    void serve(Connection &connection);
    std::string answer(const Request &request);
    nlohmann::json list(const std::string &prefix);
    nlohmann::json watch(const std::string &prefix, std::uint64_t after, int waitMs);
    std::string change(const nlohmann::json &transaction);
    void putEncoded(const std::string &key, const std::string &encoded, std::int64_t lease);
    void removeLocked(const std::string &key);

    std::mutex m_mutex; // guards all below
    std::condition_variable m_changed;
    std::map<std::string, nlohmann::json> m_items;
    std::vector<nlohmann::json> m_events;
    std::uint64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    Listener m_listener; // last, as its threads use the rest
};

} // namespace review
