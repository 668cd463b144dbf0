// Stand-in of callers, the operator and the platform's checks.
//   client ports COUNT                      prints free loopback ports
//   client put STORE-PORT KEY < VALUE       writes a key of the store
//   client remove STORE-PORT KEY
//   client ready PORT                       exits with 0 if the readiness endpoint answers 200
//   client get PORT TARGET                  prints the status and body of a page
//   client send PORT METHOD HOST TARGET COUNT NAME [HEAD-BYTES]
//       sends COUNT requests, one after the other, and prints what is answered within 4 s. With
//       HEAD-BYTES, a field with a long list makes each head that long.
//   client load PORT HOST PREFIX COUNT NAME SECONDS same|own [FROM TO]
//       COUNT callers at a time ask again and again, all for PREFIX (same) or each time for another
//       target below it (own). Those that are refused come back after Retry-After, a second at
//       most.
//   client crowd PORT HOST COUNT SECONDS spaced|plain
//       opens COUNT connections, sends one request on each and keeps them open. Prints how many
//       were opened. With "spaced", a blank stands before the colon of Content-Length.
#include <memory>
#include <mutex>

#include "http.h"

using namespace standin;

namespace {

int usage()
{
    std::fprintf(stderr, "see the head of client.cc\n");
    return 2;
}

// Prints ports below those that the system usually gives to outgoing connections, which could take
// them before they are used.
int printPorts(int count)
{
    constexpr int firstPort = 12'000;
    constexpr int portCount = 18'000;
    const long long begin = (nowMs() + 97LL * getpid()) % portCount;
    std::vector<int> sockets;
    for (int i = 0; i < portCount && static_cast<int>(sockets.size()) < count; ++i) {
        const int port = firstPort + static_cast<int>((begin + i) % portCount);
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(port);
        if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            close(socket);
            continue;
        }
        std::printf("%d\n", port);
        sockets.push_back(socket);
    }
    const bool isEnough = static_cast<int>(sockets.size()) == count;
    for (const int socket : sockets)
        close(socket);
    return isEnough ? 0 : 2;
}

// Returns the status, or 0 without a whole answer.
int exchange(int port, const std::string &text, std::string &body)
{
    const int socket = connectTo(port);
    if (socket < 0)
        return 0;
    Channel channel(socket);
    Message answer;
    if (!channel.send(text) || !readMessage(channel, answer, nowMs() + 2000, true))
        return 0;
    body = answer.body;
    return answer.status();
}

int changeKey(int port, const std::string &method, const std::string &key)
{
    std::string value;
    char block[4096];
    while (method == "PUT") {
        const std::size_t size = std::fread(block, 1, sizeof block, stdin);
        if (size == 0)
            break;
        value.append(block, size);
    }
    std::string ignored;
    const int status
        = exchange(port,
                   method + " /test/key?Key=" + key + " HTTP/1.1\r\nHost: store\r\nContent-Length: "
                       + std::to_string(value.size()) + "\r\n\r\n" + value,
                   ignored);
    return status == 200 ? 0 : 1;
}

std::string makeHead(const std::string &method, const std::string &host, const std::string &target,
                     const std::string &id, std::size_t headBytes)
{
    std::string head = method + " " + target + " HTTP/1.1\r\nHost: " + host
        + "\r\nX-Ibisnotch-Request-Id: " + id + "\r\nX-Ibisnotch-Deadline-Ms: 3000\r\n";
    if (method != "GET")
        head += "Content-Length: 2\r\n";
    const std::string name = "X-Context: ";
    const std::string lineEnds = "\r\n\r\n";
    if (headBytes > head.size() + name.size() + lineEnds.size()) {
        const std::size_t size = headBytes - head.size() - name.size() - lineEnds.size();
        std::string list;
        while (list.size() < size)
            list += "part-" + std::to_string(list.size()) + ",";
        head += name + list.substr(0, size) + "\r\n";
    }
    return head + "\r\n";
}

std::mutex printMutex;

void print(const std::string &line)
{
    const std::lock_guard lock(printMutex);
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
}

// Sends a request and prints what is answered. Returns the status and sets Retry-After.
int sendOne(std::unique_ptr<Channel> &channel, int port, const std::string &id,
            const std::string &text, double &retryAfter, long long longestMs = 4000)
{
    if (!channel) {
        const int socket = connectTo(port);
        if (socket < 0) {
            print(id + ": not connected");
            return 0;
        }
        channel = std::make_unique<Channel>(socket);
    }
    Message answer;
    const bool isWhole
        = channel->send(text) && readMessage(*channel, answer, nowMs() + longestMs, true);
    std::string body = answer.body.substr(0, 100);
    std::replace(body.begin(), body.end(), '\n', ' ');
    print(id + ": " + (isWhole ? std::to_string(answer.status()) : "no whole answer")
          + " stamp=" + field(answer.fields, "X-Ibisnotch-Server-Stamp") + " body=" + body);
    if (!isWhole || field(answer.fields, "Connection") == "close")
        channel.reset();
    retryAfter = std::atof(field(answer.fields, "Retry-After").c_str());
    return isWhole ? answer.status() : 0;
}

int sendRequests(int count, char **arguments)
{
    const std::string method = arguments[3];
    const std::size_t headBytes = count > 8 ? std::strtoul(arguments[8], nullptr, 10) : 0;
    std::unique_ptr<Channel> channel;
    for (int i = 0; i < std::atoi(arguments[6]); ++i) {
        const std::string id = std::string(arguments[7]) + "-" + std::to_string(i);
        double ignored = 0;
        sendOne(channel, std::atoi(arguments[2]), id,
                makeHead(method, arguments[4], arguments[5], id, headBytes)
                    + (method == "GET" ? "" : "{}"),
                ignored);
    }
    return 0;
}

int sendLoad(int count, char **arguments)
{
    const long long startMs = nowMs();
    const long long untilMs = startMs + 1000 * std::atoll(arguments[7]);
    const bool mayLeave = count == 11;
    const long long leavesFrom = mayLeave ? startMs + 1000 * std::atoll(arguments[9]) : 0;
    const long long leavesTo = mayLeave ? startMs + 1000 * std::atoll(arguments[10]) : 0;
    const bool isSame = std::string(arguments[8]) == "same";
    std::vector<std::thread> threads;
    for (int caller = 0; caller < std::atoi(arguments[5]); ++caller) {
        threads.emplace_back([=] {
            std::unique_ptr<Channel> channel;
            for (int i = 0; nowMs() < untilMs; ++i) {
                const std::string id = std::string(arguments[6]) + "-" + std::to_string(caller)
                    + "-" + std::to_string(i);
                const std::string target = arguments[4] + (isSame ? "" : id);
                double retryAfter = 0;
                const bool leaves = nowMs() >= leavesFrom && nowMs() < leavesTo;
                const int status = sendOne(channel, std::atoi(arguments[2]), id,
                                           makeHead("GET", arguments[3], target, id, 0), retryAfter,
                                           leaves ? 250 : 4000);
                // The callers don't ask in step with each other.
                const double pause
                    = status == 200 ? 0.01 + 0.007 * caller : std::clamp(retryAfter, 0.2, 1.0);
                std::this_thread::sleep_for(std::chrono::duration<double>(pause));
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    return 0;
}

int keepCrowd(char **arguments)
{
    const std::string colon = std::string(arguments[6]) == "spaced" ? " :" : ":";
    std::vector<std::unique_ptr<Channel>> crowd;
    for (int i = 0; i < std::atoi(arguments[4]); ++i) {
        const int socket = connectTo(std::atoi(arguments[2]));
        if (socket < 0)
            break;
        crowd.push_back(std::make_unique<Channel>(socket));
        crowd.back()->send("POST /status/crowd HTTP/1.1\r\nHost: " + std::string(arguments[3])
                           + "\r\nX-Ibisnotch-Request-Id: crowd-" + std::to_string(i)
                           + "\r\nX-Ibisnotch-Deadline-Ms: 3000\r\nContent-Length" + colon
                           + " 2\r\n\r\n{}");
    }
    print("crowd of " + std::to_string(crowd.size()));
    std::this_thread::sleep_for(std::chrono::seconds(std::atoi(arguments[5])));
    return 0;
}

} // namespace

int main(int count, char **arguments)
{
    const std::string verb = count > 1 ? arguments[1] : "";
    std::string body;
    if (verb == "ports" && count == 3)
        return printPorts(std::atoi(arguments[2]));
    if (verb == "put" && count == 4)
        return changeKey(std::atoi(arguments[2]), "PUT", arguments[3]);
    if (verb == "remove" && count == 4)
        return changeKey(std::atoi(arguments[2]), "DELETE", arguments[3]);
    if (verb == "ready" && count == 3) {
        const char *text = "GET /ibisnotch/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        return exchange(std::atoi(arguments[2]), text, body) == 200 ? 0 : 1;
    }
    if (verb == "get" && count == 4) {
        const int status = exchange(
            std::atoi(arguments[2]),
            "GET " + std::string(arguments[3]) + " HTTP/1.1\r\nHost: page\r\n\r\n", body);
        std::printf("%d %s\n", status, body.c_str());
        return 0;
    }
    if (verb == "crowd" && count == 7)
        return keepCrowd(arguments);
    if (verb == "load" && (count == 9 || count == 11))
        return sendLoad(count, arguments);
    if (verb == "send" && count >= 8)
        return sendRequests(count, arguments);
    return usage();
}
