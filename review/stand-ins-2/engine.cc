// Stand-in of a backend server. Prints a line for each request that it runs.
//   engine PORT ID [FAIL-STATUS [SLOW-S]]
// It is sound unless FAIL-STATUS is given. Then it fails two of five requests, after it has run
// them, with that status, a stamp and no word that they were not run, while its health checks are
// good.
#include <atomic>
#include <mutex>

#include "http.h"

using namespace standin;

namespace {

constexpr int runMs = 50;
constexpr int slowRunMs = 1000;

std::mutex printMutex;
std::atomic<unsigned> runs = 0;

void print(const std::string &line)
{
    const std::lock_guard lock(printMutex);
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
}

} // namespace

int main(int count, char **arguments)
{
    const std::string id = arguments[2];
    const int status = count > 3 ? std::atoi(arguments[3]) : 200;
    const long long slowUntilMs = nowMs() + (count > 4 ? 1000 * std::atoll(arguments[4]) : 0);
    serve(std::atoi(arguments[1]), [&](Channel &channel, const Message &request) {
        const std::string requestId = field(request.fields, "X-Ibisnotch-Request-Id");
        Fields fields{{"X-Ibisnotch-Instance-Id", id}, {"X-Ibisnotch-Instance-Load", "0,0,64"}};
        if (!requestId.empty())
            fields.emplace_back("X-Ibisnotch-Request-Id", requestId);
        if (request.target() == "/healthz")
            return channel.send(makeResponse(200, fields, ""));
        if (request.target() == "/ibisnotch/report")
            return channel.send(makeResponse(
                200, {{"Content-Type", "application/json"}},
                R"({"Stage":"both","Models":[],"Busy":false,"Sequence":0,"Queued":0,"Active":0,)"
                R"("KvUsed":0,"KvTotal":90000,"Handles":0})"));
        if (requestId.empty()) {
            fields.emplace_back("X-Ibisnotch-Not-Run", "1");
            return channel.send(makeResponse(400, fields, ""));
        }
        const std::string expected = field(request.fields, "X-Ibisnotch-Expect-Instance");
        if (!expected.empty() && expected != id)
            return channel.send(makeResponse(421, fields, ""));
        print("run " + requestId + " " + request.method() + " " + request.target() + " at " + id);
        fields.emplace_back("X-Ibisnotch-Server-Stamp", "stamp." + requestId + "." + id);
        std::this_thread::sleep_for(
            std::chrono::milliseconds(nowMs() < slowUntilMs ? slowRunMs : runMs));
        const bool fails = runs++ % 5 < 2;
        return channel.send(makeResponse(fails ? status : 200, fields, "ran " + requestId + "\n"));
    });
}
