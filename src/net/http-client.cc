#include "ibisnotch/http-client.h"

#include <algorithm>
#include <cstring>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <absl/strings/numbers.h>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisnotch/response-head.h"
#include "open-connections.h"
#include "socket-watcher.h"

namespace ibisnotch {

namespace {

constexpr auto congestionCheckInterval = std::chrono::milliseconds(20);
constexpr auto keepWaitingInterval = std::chrono::milliseconds(100);
constexpr long maxIdleConnections = 256;
// A response whose fields take more memory, interim heads and trailers included, is given up:
// libcurl keeps all of them and passes them on, and a faulty server may send them without end.
constexpr std::size_t maxFieldCost = 128 * 1024;
// What libcurl and the head keep of a field beside its text.
constexpr std::size_t fieldOverheadBytes = 256;
// Each transfer in progress has a buffer of its own, and an event of a stream has some hundred
// bytes.
constexpr long receiveBufferBytes = 4096;

void initCurlOnce()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
}

} // namespace

class HttpClient::Private
{
public:
    struct Transfer
    {
        Private *owner = nullptr;
        OutgoingRequest request;
        std::shared_ptr<ResponseSink> sink;
        CURL *easy = nullptr;
        curl_slist *headerList = nullptr;
        ResponseHead head;
        std::size_t fieldCost = 0;
        std::string received; // not passed to the sink yet
        bool headReceived = false;
        bool cancelled = false;
        bool timedOut = false;
        bool paused = false;
        bool wasUnfit = false; // the pooled connection had bytes to read
        curl_socket_t newSocket = CURL_SOCKET_BAD;
        int sends = 0;
        std::chrono::steady_clock::time_point startedAt;
        std::chrono::steady_clock::time_point lastProgressAt;
        std::chrono::steady_clock::time_point keepsWaitingUntil; // set when the sink keeps waiting
        std::unique_ptr<asio::steady_timer> timer;
    };

    Private()
        : m_timer(m_io), m_watcher(m_io, [this](int fd, int flags) { processSocket(fd, flags); })
    {
        initCurlOnce();
        m_multi = curl_multi_init();
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Private::onSocketWanted);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Private::onTimerWanted);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
        m_thread = std::thread([this] {
            const auto guard = asio::make_work_guard(m_io);
            m_io.run();
        });
    }

    void stop()
    {
        m_io.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    ~Private()
    {
        stop();
        for (auto &[easy, transfer] : m_transfers) {
            curl_multi_remove_handle(m_multi, easy);
            curl_slist_free_all(transfer->headerList);
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(m_multi);
    }

    void start(OutgoingRequest request, std::shared_ptr<ResponseSink> sink,
               std::chrono::steady_clock::time_point askedAt)
    {
        auto transfer = std::make_shared<Transfer>();
        transfer->owner = this;
        transfer->request = std::move(request);
        transfer->sink = std::move(sink);
        transfer->easy = curl_easy_init();
        transfer->startedAt = askedAt;
        transfer->lastProgressAt = askedAt;
        transfer->timer = std::make_unique<asio::steady_timer>(m_io);
        configure(*transfer);
        m_transfers[transfer->easy] = transfer;
        curl_multi_add_handle(m_multi, transfer->easy);
        armTimer(transfer);
    }

    void cancel(const ResponseSink *sink)
    {
        for (const auto &[easy, transfer] : m_transfers) {
            if (transfer->sink.get() != sink)
                continue;
            transfer->cancelled = true;
            return finish(easy, CURLE_ABORTED_BY_CALLBACK);
        }
    }

    asio::io_context m_io;

private:
    static void configure(Transfer &transfer)
    {
        CURL *easy = transfer.easy;
        const OutgoingRequest &request = transfer.request;
        for (const auto &[name, value] : request.headers.fields())
            transfer.headerList
                = curl_slist_append(transfer.headerList, (name + ": " + value).c_str());
        // Suppresses the header fields that libcurl would add.
        transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
        for (const char *name : {"Accept", "Content-Type"}) {
            if (!request.headers.get(name))
                transfer.headerList
                    = curl_slist_append(transfer.headerList, (std::string(name) + ":").c_str());
        }
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
        curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
        if (!request.target.empty())
            curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request.target.c_str());
        if (request.maxConnectionIdleTime.count() > 0)
            curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                             static_cast<long>(request.maxConnectionIdleTime.count()));
        if (request.maxConnectionAge.count() > 0)
            curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN,
                             static_cast<long>(request.maxConnectionAge.count()));
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Private::onSend);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headerList);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, receiveBufferBytes);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        // The length in such a response is that of a body that doesn't follow.
        if (request.method == "HEAD")
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.text().c_str());
        }
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &Private::onSocketCreated);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Private::onSocketClosed);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, transfer.owner);
        if (request.body.size() > longBodyBytes) {
            curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
            curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, &Private::onProgress);
            curl_easy_setopt(easy, CURLOPT_XFERINFODATA, &transfer);
        }
        const auto connect
            = std::chrono::duration_cast<std::chrono::milliseconds>(request.limits.connect);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connect.count()));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Private::onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Private::onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        if (request.useNewConnection) {
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
    }

    // Called before the request is sent. Bytes that wait on a pooled connection belong to no
    // request, but libcurl would take them for the response.
    static int onSend(void *user, char *remoteAddress, char *, int remotePort, int localPort)
    {
        auto &transfer = *static_cast<Transfer *>(user);
        OpenConnections &connections = transfer.owner->m_connections;
        const ConnectionKey key{localPort, remoteAddress, remotePort};
        const curl_socket_t created = std::exchange(transfer.newSocket, CURL_SOCKET_BAD);
        const bool isPooled = created == CURL_SOCKET_BAD;
        if (!isPooled)
            connections.add(key, created);
        transfer.wasUnfit = isPooled && transfer.sends == 0 && connections.hasBytesToRead(key);
        if (transfer.wasUnfit)
            return CURL_PREREQFUNC_ABORT;
        shortenWait(transfer);
        return ++transfer.sends > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
    }

    // Takes the time since the request was given off what its field says. libcurl reads the list of
    // fields only after this, and the shorter text fits into its place.
    static void shortenWait(Transfer &transfer)
    {
        const std::string start = transfer.request.waitField + ": ";
        for (curl_slist *field = transfer.headerList; field != nullptr; field = field->next) {
            std::int64_t wait = 0;
            const std::string_view text = field->data;
            if (start.size() == 2 || !text.starts_with(start)
                || !absl::SimpleAtoi(field->data + start.size(), &wait))
                continue;
            const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - transfer.startedAt);
            const std::string rest
                = start + std::to_string(std::max<std::int64_t>(wait - passed.count(), 1));
            if (rest.size() <= text.size())
                std::memcpy(field->data, rest.c_str(), rest.size() + 1);
        }
    }

    static int onSocketClosed(void *user, curl_socket_t socket)
    {
        static_cast<Private *>(user)->m_connections.remove(socket);
        return close(socket);
    }

    static int onSocketCreated(void *user, curl_socket_t socket, curlsocktype)
    {
        auto &transfer = *static_cast<Transfer *>(user);
        transfer.newSocket = socket;
        const int size = transfer.request.sendBufferBytes;
        // A failure leaves the default.
        if (size > 0)
            setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
        return CURL_SOCKOPT_OK;
    }

    static int onProgress(void *user, curl_off_t, curl_off_t, curl_off_t, curl_off_t sent)
    {
        static_cast<Transfer *>(user)->sink->onBodySent(static_cast<std::size_t>(sent));
        return 0;
    }

    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *user)
    {
        auto &transfer = *static_cast<Transfer *>(user);
        const bool isField = std::memchr(data, ':', size * count) != nullptr;
        transfer.fieldCost += size * count + (isField ? fieldOverheadBytes : 0);
        if (transfer.fieldCost > maxFieldCost)
            return 0;
        switch (transfer.head.addLine({data, size * count})) {
        case ResponseHead::Progress::faulty:
            return 0;
        case ResponseHead::Progress::incomplete:
            return size * count;
        case ResponseHead::Progress::interim:
            transfer.lastProgressAt = std::chrono::steady_clock::now();
            return size * count;
        case ResponseHead::Progress::complete:
            return deliverHead(transfer) ? size * count : 0;
        }
        return 0;
    }

    // Called with the end of the head, and with each trailer.
    static bool deliverHead(Transfer &transfer)
    {
        if (std::exchange(transfer.headReceived, true))
            return true;
        transfer.lastProgressAt = std::chrono::steady_clock::now();
        if (!transfer.sink->onHead(transfer.head.status(), transfer.head.fields()))
            transfer.cancelled = true;
        return !transfer.cancelled;
    }

    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *user)
    {
        auto &transfer = *static_cast<Transfer *>(user);
        transfer.lastProgressAt = std::chrono::steady_clock::now();
        // While servers send without end, the loop may have no time left for its timers.
        const Duration total = transfer.request.limits.total;
        if (total.count() > 0 && transfer.lastProgressAt >= transfer.startedAt + total) {
            transfer.timedOut = true;
            return 0;
        }
        if (transfer.received.empty() && transfer.sink->isCongested()) {
            transfer.paused = true;
            // Without a timer of its own, the transfer would stay paused until its next limit.
            transfer.owner->armTimer(transfer.owner->m_transfers.at(transfer.easy));
            return CURL_WRITEFUNC_PAUSE;
        }
        if (transfer.received.empty())
            transfer.owner->m_received.push_back(transfer.owner->m_transfers.at(transfer.easy));
        transfer.received.append(data, size * count);
        const bool isFull = transfer.received.size() >= receiveBufferBytes;
        return !isFull || deliver(transfer) ? size * count : 0;
    }

    // Passes what was received to the sink. Returns false if the transfer is cancelled.
    static bool deliver(Transfer &transfer)
    {
        const std::string data = std::exchange(transfer.received, {});
        if (!data.empty() && !transfer.cancelled && !transfer.sink->onData(data))
            transfer.cancelled = true;
        return !transfer.cancelled;
    }

    // libcurl passes on each chunk by itself. A server may send chunks of one byte without end; if
    // each were passed to the sink and on to the caller, neither loop would have time for others.
    void deliverReceived()
    {
        for (const auto &transfer : std::exchange(m_received, {})) {
            if (m_transfers.count(transfer->easy) > 0 && !deliver(*transfer))
                finish(transfer->easy, CURLE_ABORTED_BY_CALLBACK);
        }
    }

    static int onSocketWanted(CURL *, curl_socket_t fd, int what, void *user, void *)
    {
        static_cast<Private *>(user)->m_watcher.watch(fd, what);
        return 0;
    }

    static int onTimerWanted(CURLM *, long milliseconds, void *user)
    {
        static_cast<Private *>(user)->setCurlTimer(milliseconds);
        return 0;
    }

    void setCurlTimer(long milliseconds)
    {
        m_timer.cancel();
        if (milliseconds < 0)
            return;
        m_timer.expires_after(std::chrono::milliseconds(milliseconds));
        m_timer.async_wait([this](const asio::error_code &error) {
            if (!error)
                processSocket(CURL_SOCKET_TIMEOUT, 0);
        });
    }

    void processSocket(curl_socket_t fd, int flags)
    {
        int running = 0;
        curl_multi_socket_action(m_multi, fd, flags, &running);
        deliverReceived();
        collectFinished();
    }

    void collectFinished()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg == CURLMSG_DONE)
                finish(message->easy_handle, message->data.result);
        }
    }

    void finish(CURL *easy, CURLcode code)
    {
        const auto found = m_transfers.find(easy);
        const std::shared_ptr<Transfer> transfer = found->second;
        if (mustStartAnew(*transfer))
            return startAnew(*transfer);
        deliver(*transfer);
        TransferResult result;
        result.sent = transfer->sends > 0;
        result.headReceived = transfer->headReceived;
        result.headFault = transfer->head.fault();
        result.outcome = outcomeOf(*transfer, code, result.sent);
        transfer->timer->cancel();
        curl_multi_remove_handle(m_multi, easy);
        curl_easy_cleanup(easy);
        curl_slist_free_all(transfer->headerList);
        m_transfers.erase(found);
        transfer->sink->onEnd(result);
    }

    // Nothing of the request was sent, so it can't run twice.
    static bool mustStartAnew(Transfer &transfer)
    {
        return std::exchange(transfer.wasUnfit, false) && transfer.sends == 0 && !transfer.cancelled
            && !transfer.timedOut;
    }

    void startAnew(Transfer &transfer)
    {
        curl_multi_remove_handle(m_multi, transfer.easy);
        curl_easy_setopt(transfer.easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_multi_add_handle(m_multi, transfer.easy);
    }

    static TransferOutcome outcomeOf(const Transfer &transfer, CURLcode code, bool sent)
    {
        if (transfer.cancelled)
            return TransferOutcome::cancelled;
        if (transfer.timedOut)
            return sent ? TransferOutcome::timedOut : TransferOutcome::notConnected;
        // To libcurl, a connection that ends within a head ends a response without a body.
        if (code == CURLE_OK && transfer.headReceived)
            return TransferOutcome::complete;
        return sent ? TransferOutcome::connectionLost : TransferOutcome::notConnected;
    }

    std::chrono::steady_clock::time_point nextLimit(const Transfer &transfer) const
    {
        const TransferLimits &limits = transfer.request.limits;
        auto next = std::chrono::steady_clock::time_point::max();
        if (!transfer.headReceived && limits.firstByte.count() > 0)
            next = std::min(next, transfer.startedAt + limits.firstByte);
        if (transfer.headReceived && !transfer.paused && limits.idle.count() > 0)
            next = std::min(next, transfer.lastProgressAt + limits.idle);
        next = std::max(next, transfer.keepsWaitingUntil);
        if (limits.total.count() > 0)
            next = std::min(next, transfer.startedAt + limits.total);
        if (transfer.paused)
            next = std::min(next, std::chrono::steady_clock::now() + congestionCheckInterval);
        return next;
    }

    void armTimer(const std::shared_ptr<Transfer> &transfer)
    {
        const auto next = nextLimit(*transfer);
        if (next == std::chrono::steady_clock::time_point::max())
            return;
        transfer->timer->expires_at(next);
        transfer->timer->async_wait([this, weak = std::weak_ptr(transfer)](const auto &error) {
            const auto alive = weak.lock();
            if (!error && alive && m_transfers.count(alive->easy) > 0)
                checkLimits(alive);
        });
    }

    void checkLimits(const std::shared_ptr<Transfer> &transfer)
    {
        resumeIfSinkReady(*transfer);
        if (m_transfers.count(transfer->easy) == 0)
            return;
        const auto now = std::chrono::steady_clock::now();
        const Duration total = transfer->request.limits.total;
        const bool totalExpired = total.count() > 0 && now >= transfer->startedAt + total;
        if (nextLimit(*transfer) <= now && !totalExpired && transfer->sink->keepsWaiting())
            transfer->keepsWaitingUntil = now + keepWaitingInterval;
        if (nextLimit(*transfer) <= now) {
            transfer->timedOut = true;
            finish(transfer->easy, CURLE_OPERATION_TIMEDOUT);
            return;
        }
        armTimer(transfer);
    }

    void resumeIfSinkReady(Transfer &transfer)
    {
        if (!transfer.paused || transfer.sink->isCongested())
            return;
        transfer.paused = false;
        transfer.lastProgressAt = std::chrono::steady_clock::now();
        curl_easy_pause(transfer.easy, CURLPAUSE_CONT);
        deliverReceived();
        collectFinished();
    }

    CURLM *m_multi = nullptr;
    asio::steady_timer m_timer;
    SocketWatcher m_watcher;
    std::unordered_map<CURL *, std::shared_ptr<Transfer>> m_transfers;
    OpenConnections m_connections; // pooled or in use
    std::vector<std::shared_ptr<Transfer>> m_received; // transfers with undelivered data
    std::thread m_thread;
};

std::string_view transferOutcomeName(TransferOutcome outcome)
{
    switch (outcome) {
    case TransferOutcome::complete:
        return "complete";
    case TransferOutcome::notConnected:
        return "not connected";
    case TransferOutcome::timedOut:
        return "timed out";
    case TransferOutcome::connectionLost:
        return "connection lost";
    case TransferOutcome::cancelled:
        return "cancelled";
    }
    return "";
}

HttpClient::HttpClient() : m_d(std::make_unique<Private>()) { }

HttpClient::~HttpClient() = default;

void HttpClient::stop()
{
    m_d->stop();
}

void HttpClient::send(OutgoingRequest request, std::shared_ptr<ResponseSink> sink)
{
    asio::post(m_d->m_io,
               [d = m_d.get(), request = std::move(request), sink = std::move(sink),
                askedAt = std::chrono::steady_clock::now()]() mutable {
                   d->start(std::move(request), std::move(sink), askedAt);
               });
}

void HttpClient::cancel(const std::shared_ptr<ResponseSink> &sink)
{
    // Behind the start of the transfer, which send() puts into the loop's queue.
    asio::post(m_d->m_io, [d = m_d.get(), sink] { d->cancel(sink.get()); });
}

void HttpClient::post(std::function<void()> task)
{
    asio::post(m_d->m_io, std::move(task));
}

void HttpClient::postAfter(Duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(m_d->m_io);
    timer->expires_after(delay);
    timer->async_wait([timer, task = std::move(task)](const asio::error_code &error) {
        if (!error)
            task();
    });
}

} // namespace ibisnotch
