// One of three servers is faulty for five seconds. In place of one answer in 34 it breaks the
// answer off within the head, before the field that gives the body's length, or, by turns, sends
// bytes that are no response to the request: a change of protocol that nobody asked for. No
// requester may get an answer made of that.
#include <atomic>
#include <random>
#include <thread>

#include "deployment.h"

using namespace review;

namespace {

constexpr int requesters = 14;
constexpr int requestsPerSecond = 5; // of each requester
constexpr int workMs = 15;
constexpr int beforeFaultMs = 3000;
constexpr int faultMs = 5000;
constexpr int afterFaultMs = 3000;
constexpr int answersPerFault = 34; // 2.9 in 100 answers
constexpr int deadlineMs = 6000;

std::atomic<bool> isFaulty = false;
std::atomic<bool> isOver = false;
std::atomic<int> requests = 0;
std::atomic<int> served = 0;
std::atomic<int> mixed = 0;
std::atomic<int> answersBegun = 0; // by the faulty server

bool answer(const Server &server, Connection &connection, const Request &request, bool canFail)
{
    sleepMs(workMs);
    const std::string body = "answer to " + request.target;
    const std::string text = server.head(request, 200, body) + body;
    if (!canFail || !isFaulty || ++answersBegun % answersPerFault != 0)
        return connection.send(text);
    const std::string id = fieldValue(request.fields, "X-Ibisnotch-Request-Id");
    if (answersBegun / answersPerFault % 2 != 0) {
        record("server " + server.name() + " breaks off its answer to " + id);
        connection.send(text.substr(0, text.find("X-Ibisnotch-Instance-Load")));
        return false;
    }
    record("server " + server.name() + " sends bytes that are no response to " + id);
    connection.send("HTTP/1.1 101 Switching Protocols\r\nContent-Length: 5\r\n\r\nbytes");
    return false;
}

// Returns what is wrong with the answer; empty if the rule is kept.
std::string check(const Response &response, const std::string &path)
{
    // A connection that ends without an answer, or within one, looks incomplete.
    if (!response.isComplete)
        return "";
    if (response.status == 0)
        return "bytes that are no answer in the protocol: \"" + response.statusLine + "\"";
    const bool isSuccess = response.status >= 200 && response.status < 300;
    if (isSuccess && !hasField(response.fields, "X-Ibisnotch-Server-Stamp"))
        return "a success without the server's stamp";
    if (isSuccess && response.body != "answer to " + path)
        return "a success with another body";
    return "";
}

// Sends requests one after the other over one kept connection.
void request(const Deployment &deployment, int number)
{
    std::mt19937 random(static_cast<unsigned>(number));
    const auto &instance = deployment.instances[number % deployment.instances.size()];
    std::unique_ptr<Connection> connection;
    for (int i = 0; !isOver; ++i) {
        sleepMs(static_cast<int>(random() % (2000 / requestsPerSecond)));
        if (!connection)
            connection = connectTo(instance.ports.at("callers"));
        if (!connection)
            continue;
        const bool isBooking = i % 3 != 0;
        const std::string id = newRequestId();
        const std::string path = (isBooking ? "/order-book/" : "/stock-lookup/")
            + std::to_string(number) + "-" + std::to_string(i);
        connection->send(makeRequest(isBooking ? "POST" : "GET", path, id, deadlineMs,
                                     isBooking ? "order" : ""));
        record("requester sends " + id + (isBooking ? " (booking)" : " (lookup)"));
        const Response response = connection->readResponse(deadlineMs + 1000);
        record("requester gets for " + id + ": " + response.statusLine);
        ++requests;
        served += response.status == 200 ? 1 : 0;
        if (const std::string wrong = check(response, path); !wrong.empty()) {
            ++mixed;
            record("MIXED: " + id + ": " + wrong);
        }
        const bool closes = fieldValue(response.fields, "Connection") == "close";
        if (closes || response.isClosed || response.isTimedOut || response.status == 0)
            connection.reset();
    }
}

} // namespace

int main(int, char **argv)
{
    Deployment deployment(argv[1], argv[2]);
    for (const char *zone : {"brno-a", "praha-a", "ostrava-a"}) {
        deployment.addServer("i-" + std::string(zone), "order-app", zone);
        deployment.addInstance("front-" + std::string(zone) + "-1", zone);
    }
    for (std::size_t i = 0; i < deployment.servers.size(); ++i) {
        Server &server = *deployment.servers[i];
        server.setBehaviour([&server, i](Connection &connection, const Request &request, int) {
            return answer(server, connection, request, i == 0);
        });
    }
    deployment.start(
        nlohmann::json::array({makeRoute("order-book", "order-app", "non_idempotent", 3000, 1),
                               makeRoute("stock-lookup", "order-app", "idempotent", 3000, 2)}));
    std::vector<std::thread> threads;
    for (int i = 0; i < requesters; ++i)
        threads.emplace_back([&deployment, i] { request(deployment, i); });
    sleepMs(beforeFaultMs);
    isFaulty = hasTrouble();
    sleepMs(faultMs);
    isFaulty = false;
    sleepMs(afterFaultMs);
    isOver = true;
    for (std::thread &thread : threads)
        thread.join();
    record(std::to_string(requests) + " requests, " + std::to_string(served) + " served");
    if (served * 10 < requests * 9)
        finish(exitCouldNotRun, "too few requests are served");
    if (mixed > 0)
        finish(exitBroken, std::to_string(mixed) + " answers were none in the protocol");
    finish(exitHeld, "each answer was the server's own, or a failure in the protocol");
}
