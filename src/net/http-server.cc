#include "ibisnotch/http-server.h"

#include <atomic>
#include <deque>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include <restinio/all.hpp>

#include "accept-watch.h"
#include "receive-accounts.h"
#include "receive-guard.h"

namespace ibisnotch {

namespace {

// The state of a response in progress, shared between its responder, the callbacks of its writes
// and the registry of connections.
class ResponseState
{
public:
    std::atomic<std::size_t> pendingBytes = 0;

    bool isClosed() const { return m_closed; }

    void setClosedHandler(std::function<void()> task)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_closed) {
                m_closedHandler = std::move(task);
                return;
            }
        }
        task();
    }

    void dropClosedHandler()
    {
        std::function<void()> task;
        const std::lock_guard lock(m_mutex);
        task.swap(m_closedHandler);
    }

    void close()
    {
        std::function<void()> task;
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
            task.swap(m_closedHandler);
        }
        if (task)
            task();
    }

private:
    std::mutex m_mutex;
    std::atomic<bool> m_closed = false;
    std::function<void()> m_closedHandler;
};

// Ends a response without its last chunk and closes the connection, once what was written before
// is sent. RESTinio's builders always end a stream with the last chunk, which would make a
// truncated stream look complete. Ending the response with no parts and the flag connection_close
// omits that chunk, so an HTTP/1.1 client reports the message as incomplete.
void closeIncomplete(const restinio::impl::connection_handle_t &connection,
                     restinio::request_id_t requestId)
{
    connection->write_response_parts(
        requestId,
        restinio::response_output_flags_t{restinio::response_parts_attr_t::final_parts,
                                          restinio::response_connection_attr_t::connection_close},
        restinio::write_group_t{restinio::writable_items_container_t{}});
}

// What RESTinio and the loop keep beside the data of one write. A server may send its response in
// chunks of one byte, of which a megabyte would take some hundred.
constexpr std::size_t writeOverheadBytes = 512;

// The system's buffers of a connection are not counted and grow to megabytes if its client reads
// slowly, so they are bounded. This is enough for 1 MB/s over a round trip of 100 ms.
constexpr int sendBufferBytes = 128 * 1024;

constexpr auto unlimitedTime = std::chrono::hours(24 * 365);

// Returns what to call when the last byte of a response was sent.
auto responseEnd(const std::weak_ptr<ReceiveGuard> &guard)
{
    return [guard](const asio::error_code &) {
        if (const auto alive = guard.lock())
            alive->onResponseEnd();
    };
}

using PlainResponse = restinio::response_builder_t<restinio::restinio_controlled_output_t>;
using PiecewiseResponse = restinio::response_builder_t<restinio::user_controlled_output_t>;
using ChunkedResponse = restinio::response_builder_t<restinio::chunked_output_t>;

// Passes a response on to its connection piece by piece: RESTinio keeps all that it is given until
// its client has read it or the connection ends, so a slow reader's response could not be dropped.
// Owned by the registry of connections. Callbacks of RESTinio, which its connections own, refer to
// it weakly, as it refers to its connection.
class PacedSender final : public ResponseBuffer, public std::enable_shared_from_this<PacedSender>
{
public:
    PacedSender(asio::io_context &io, std::shared_ptr<ResponseState> state,
                std::shared_ptr<ByteCount> total, restinio::request_handle_t request,
                std::weak_ptr<ReceiveGuard> guard)
        : m_io(io), m_state(std::move(state)), m_total(std::move(total)), m_guard(std::move(guard)),
          m_connection(restinio::impl::access_req_connection(*request)),
          m_requestId(request->request_id())
    {
    }
    ~PacedSender() override { *m_total -= m_held; }
    PacedSender(const PacedSender &) = delete;
    PacedSender &operator=(const PacedSender &) = delete;

    std::size_t heldBytes() const override { return m_held; }
    std::uint64_t takenBytes() const override { return m_taken; }

    void discard() override
    {
        Action end;
        {
            const std::lock_guard lock(m_mutex);
            dropQueue();
            end = takeEnd(End::aborted);
        }
        if (end)
            end();
        m_state->close();
    }

    // Begins a response whose head is ready in the builder. Called before any write.
    void begin(std::shared_ptr<ChunkedResponse> builder)
    {
        const std::lock_guard lock(m_mutex);
        m_builder = std::move(builder);
    }
    void begin(std::shared_ptr<PiecewiseResponse> builder)
    {
        const std::lock_guard lock(m_mutex);
        m_builder = std::move(builder);
    }

    void write(std::string data)
    {
        runNext([&] {
            if (!m_hasEnded)
                append(std::move(data));
        });
    }

    void finish()
    {
        runNext([this] { m_end = End::complete; });
    }

    void abort()
    {
        runNext([this] { m_end = End::aborted; });
    }

    // Returns whether nothing of the response is left to be sent.
    bool isDone() const
    {
        const std::lock_guard lock(m_mutex);
        return m_hasEnded && !m_isSending;
    }

    void onConnectionClosed()
    {
        const std::lock_guard lock(m_mutex);
        dropQueue();
        takeEnd(End::none);
    }

private:
    enum class End { none, complete, aborted };
    using Builder = std::variant<std::monostate, std::shared_ptr<ChunkedResponse>,
                                 std::shared_ptr<PiecewiseResponse>>;
    // A call of RESTinio. It may close the connection or call back before it returns, so it is made
    // without the mutex. Calls don't overlap, as the next one follows when a piece is sent.
    using Action = std::function<void()>;

    static constexpr std::size_t pieceBytes = 16 * 1024;

    template <typename Change> void runNext(const Change &change)
    {
        Action next;
        {
            const std::lock_guard lock(m_mutex);
            change();
            next = takeNext();
        }
        if (next)
            next();
    }

    void append(std::string data)
    {
        m_held += data.size();
        *m_total += data.size();
        if (!m_queue.empty() && m_queue.back().size() + data.size() <= pieceBytes) {
            m_queue.back() += data;
            return;
        }
        if (data.size() <= pieceBytes)
            return m_queue.push_back(std::move(data));
        for (std::size_t at = 0; at < data.size(); at += pieceBytes)
            m_queue.push_back(data.substr(at, pieceBytes));
    }

    Action takeNext()
    {
        if (m_isSending || m_hasEnded)
            return {};
        if (m_queue.empty())
            return m_end == End::none ? Action() : takeEnd(m_end);
        m_isSending = true;
        return [self = shared_from_this(), builder = m_builder, piece = takePiece()]() mutable {
            self->send(builder, std::move(piece));
        };
    }

    std::string takePiece()
    {
        std::string piece = std::move(m_queue.front());
        m_queue.pop_front();
        return piece;
    }

    void send(const Builder &builder, std::string piece)
    {
        // RESTinio may call this while it can't accept another write.
        auto sent = [weak = weak_from_this(), &io = m_io,
                     size = piece.size()](const asio::error_code &error) {
            asio::post(io, [weak, size, failed = static_cast<bool>(error)] {
                if (const auto self = weak.lock())
                    self->onSent(size, failed);
            });
        };
        if (const auto *chunked = std::get_if<std::shared_ptr<ChunkedResponse>>(&builder)) {
            (*chunked)->append_chunk(std::move(piece));
            (*chunked)->flush(std::move(sent));
        } else if (const auto *whole = std::get_if<std::shared_ptr<PiecewiseResponse>>(&builder)) {
            (*whole)->append_body(std::move(piece));
            (*whole)->flush(std::move(sent));
        }
    }

    // Ends the response. Returns the call that ends it on its connection, if that is still due.
    Action takeEnd(End end)
    {
        m_hasEnded = true;
        const Builder builder = std::exchange(m_builder, {});
        const auto connection = std::exchange(m_connection, nullptr);
        if (end == End::aborted && connection)
            return [connection, id = m_requestId] { closeIncomplete(connection, id); };
        if (end != End::complete)
            return {};
        if (const auto *chunked = std::get_if<std::shared_ptr<ChunkedResponse>>(&builder))
            return [one = *chunked, guard = m_guard] { one->done(responseEnd(guard)); };
        if (const auto *whole = std::get_if<std::shared_ptr<PiecewiseResponse>>(&builder))
            return [one = *whole, guard = m_guard] { one->done(responseEnd(guard)); };
        return {};
    }

    void onSent(std::size_t size, bool failed)
    {
        runNext([&] {
            m_isSending = false;
            m_held -= size;
            *m_total -= size;
            m_taken += failed ? 0 : size;
            if (failed) {
                dropQueue();
                takeEnd(End::none);
            }
        });
        if (failed)
            m_state->close();
    }

    void dropQueue()
    {
        for (const std::string &one : m_queue) {
            m_held -= one.size();
            *m_total -= one.size();
        }
        m_queue.clear();
    }

    asio::io_context &m_io;
    const std::shared_ptr<ResponseState> m_state;
    const std::shared_ptr<ByteCount> m_total;
    const std::weak_ptr<ReceiveGuard> m_guard;
    std::atomic<std::size_t> m_held = 0;
    std::atomic<std::uint64_t> m_taken = 0;
    mutable std::mutex m_mutex; // guards all below
    restinio::impl::connection_handle_t m_connection; // null once the response has ended
    const restinio::request_id_t m_requestId;
    Builder m_builder;
    std::deque<std::string> m_queue; // pieces
    bool m_isSending = false; // RESTinio has a piece
    bool m_hasEnded = false; // nothing follows the piece that RESTinio has
    End m_end = End::none; // once the queue is sent
};

// Notifies responses in progress when their connection closes. RESTinio detects a close at once
// only while it reads ahead, which the server below enables; otherwise work for a disconnected
// caller would continue until its response is written.
class ConnectionRegistry
{
public:
    explicit ConnectionRegistry(AcceptWatch &acceptWatch) : m_acceptWatch(acceptWatch) { }

    void add(restinio::connection_id_t id, const std::shared_ptr<ResponseState> &state)
    {
        const std::lock_guard lock(m_mutex);
        auto &states = m_states[id];
        std::erase_if(states, [](const auto &old) { return old.expired(); });
        states.push_back(state);
    }

    void addSender(restinio::connection_id_t id, const std::shared_ptr<PacedSender> &sender)
    {
        const std::lock_guard lock(m_mutex);
        auto &senders = m_senders[id];
        std::erase_if(senders, [](const auto &old) { return old->isDone(); });
        senders.push_back(sender);
    }

    void dropSenders()
    {
        Senders senders;
        const std::lock_guard lock(m_mutex);
        senders.swap(m_senders);
    }

    void
    state_changed(const restinio::connection_state::notice_t &notice) // NOLINT: RESTinio's name
    {
        if (std::holds_alternative<restinio::connection_state::accepted_t>(notice.cause()))
            m_acceptWatch.onAccepted();
        if (!std::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            return;
        std::vector<std::weak_ptr<ResponseState>> states;
        std::vector<std::shared_ptr<PacedSender>> senders;
        {
            const std::lock_guard lock(m_mutex);
            if (auto node = m_senders.extract(notice.connection_id()))
                senders = std::move(node.mapped());
            const auto found = m_states.find(notice.connection_id());
            if (found == m_states.end())
                return;
            states = std::move(found->second);
            m_states.erase(found);
        }
        for (const auto &sender : senders)
            sender->onConnectionClosed();
        for (const auto &state : states) {
            if (const auto alive = state.lock())
                alive->close();
        }
    }

private:
    using Senders
        = std::unordered_map<restinio::connection_id_t, std::vector<std::shared_ptr<PacedSender>>>;

    AcceptWatch &m_acceptWatch;
    std::mutex m_mutex;
    std::unordered_map<restinio::connection_id_t, std::vector<std::weak_ptr<ResponseState>>>
        m_states;
    Senders m_senders;
};

struct ServerTraits : public restinio::default_traits_t
{
    using connection_state_listener_t = ConnectionRegistry;
    using logger_t = restinio::null_logger_t;
    using stream_socket_t = GuardedSocket;
    using request_handler_t
        = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
};

restinio::http_status_line_t statusLine(int status)
{
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            status < 400 ? "OK" : "Refused"};
}

template <typename Builder> void addHeaders(Builder &builder, const Headers &headers)
{
    for (const auto &[name, value] : headers.fields())
        builder.append_header(name, value);
}

class RestinioResponder final : public Responder
{
public:
    RestinioResponder(restinio::request_handle_t request,
                      const std::atomic<bool> &closeAfterResponse,
                      std::weak_ptr<ReceiveGuard> guard, std::shared_ptr<const HeldBytes> head)
        : m_connection(restinio::impl::access_req_connection(*request)),
          m_request(std::move(request)), m_closeAfterResponse(closeAfterResponse),
          m_guard(std::move(guard)), m_heldHead(std::move(head)),
          m_state(std::make_shared<ResponseState>())
    {
    }

    // Writes that are still pending when the loop is destroyed end with an error, which closes the
    // response. By then, what the handler refers to no longer exists.
    ~RestinioResponder() override { m_state->dropClosedHandler(); }

    const std::shared_ptr<ResponseState> &state() const { return m_state; }

    // Makes the response be passed on in pieces that are counted.
    void setSender(std::shared_ptr<PacedSender> sender) { m_sender = std::move(sender); }

    void reply(HttpResponse response) override
    {
        if (m_sender)
            return replyInPieces(std::move(response));
        PlainResponse builder = m_request->create_response(statusLine(response.status));
        addHeaders(builder, response.headers);
        if (m_closeAfterResponse)
            builder.connection_close();
        builder.set_body(std::move(response.body));
        builder.done(responseEnd(m_guard));
    }

    void start(int status, const Headers &headers) override
    {
        m_chunked = std::make_shared<ChunkedResponse>(
            m_request->create_response<restinio::chunked_output_t>(statusLine(status)));
        addHeaders(*m_chunked, headers);
        if (m_closeAfterResponse)
            m_chunked->connection_close();
        m_chunked->flush();
        if (m_sender)
            m_sender->begin(std::move(m_chunked));
    }

    void write(std::string data) override
    {
        if (data.empty() || isClosed())
            return;
        if (m_sender)
            return m_sender->write(std::move(data));
        const std::size_t size = data.size() + writeOverheadBytes;
        m_state->pendingBytes += size;
        m_chunked->append_chunk(std::move(data));
        m_chunked->flush([state = m_state, size](const asio::error_code &error) {
            state->pendingBytes -= size;
            if (error)
                state->close();
        });
    }

    void finish() override
    {
        if (m_sender)
            return m_sender->finish();
        if (m_chunked)
            m_chunked->done(responseEnd(m_guard));
        m_chunked.reset();
    }

    void abort() override
    {
        if (m_sender)
            return m_sender->abort();
        m_chunked.reset();
        closeIncomplete(m_connection, m_request->request_id());
    }

    bool isClosed() const override { return m_state->isClosed(); }
    void setClosedHandler(std::function<void()> task) override
    {
        m_state->setClosedHandler(std::move(task));
    }
    std::size_t pendingBytes() const override
    {
        return m_sender ? m_sender->heldBytes() : m_state->pendingBytes.load();
    }
    std::shared_ptr<ResponseBuffer> buffer() const override { return m_sender; }

private:
    void replyInPieces(HttpResponse response)
    {
        auto builder = std::make_shared<PiecewiseResponse>(
            m_request->create_response<restinio::user_controlled_output_t>(
                statusLine(response.status)));
        addHeaders(*builder, response.headers);
        builder->set_content_length(response.body.size());
        if (m_closeAfterResponse)
            builder->connection_close();
        m_sender->begin(std::move(builder));
        if (!response.body.empty())
            m_sender->write(std::move(response.body));
        m_sender->finish();
    }

    restinio::impl::connection_handle_t m_connection;
    restinio::request_handle_t m_request;
    std::shared_ptr<ChunkedResponse> m_chunked;
    const std::atomic<bool> &m_closeAfterResponse;
    const std::weak_ptr<ReceiveGuard> m_guard;
    const std::shared_ptr<const HeldBytes> m_heldHead; // of the request
    std::shared_ptr<ResponseState> m_state;
    std::shared_ptr<PacedSender> m_sender; // null if responses are passed on as they come
};

HttpRequest toHttpRequest(const restinio::request_handle_t &from, Body body)
{
    const auto &header = from->header();
    HttpRequest request;
    request.method = header.method().c_str();
    const auto path = header.path();
    request.path.assign(path.data(), path.size());
    const auto query = header.query();
    request.query.assign(query.data(), query.size());
    header.for_each_field([&request](const restinio::http_header_field_t &field) {
        if (!isMaskedField(field.name()))
            request.headers.add(field.name(), field.value());
    });
    request.body = std::move(body);
    return request;
}

} // namespace

class HttpLoop::Private
{
public:
    Private(unsigned threads, const ReceiveSettings &settings)
    {
        accounts = std::make_unique<ReceiveAccounts>(io, settings);
        for (unsigned i = 0; i < threads; ++i)
            m_threads.emplace_back([this] { io.run(); });
    }

    void stop()
    {
        io.stop();
        for (std::thread &thread : m_threads)
            thread.join();
        m_threads.clear();
        accounts->stop();
    }

    std::unique_ptr<ReceiveAccounts> accounts; // destroyed after the connections of the loop
    asio::io_context io;

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_guard = asio::make_work_guard(io);
    std::vector<std::thread> m_threads;
};

HttpLoop::HttpLoop(unsigned threads, const ReceiveSettings &settings)
    : m_d(std::make_unique<Private>(threads, settings))
{
}

HttpLoop::~HttpLoop()
{
    stop();
}

void HttpLoop::stop()
{
    m_d->stop();
}

HttpResponse RequestHandler::refuse(ReceiveFault fault, const Headers &)
{
    return {statusOf(fault), {}, std::string(receiveFaultName(fault)) + "\n"};
}

class HttpServer::Private
{
public:
    Private(const HttpServerSettings &settings, RequestHandler &handler, HttpLoop::Private &loop)
        : io(loop.io), heldBytes(settings.heldBytes),
          acceptWatch(loop.io, settings.name,
                      [this](const std::function<void()> &opened) { reopen(opened); }),
          m_connections(std::make_shared<ConnectionRegistry>(acceptWatch)),
          server(*new restinio::http_server_t<ServerTraits>(
              restinio::external_io_context(loop.io),
              [&](restinio::server_settings_t<ServerTraits> &to) {
                  configure(to, settings, handler);
              }))
    {
        loop.accounts->addPort(settings.port, {settings.name, &handler, settings.limits});
        std::promise<void> opened;
        server.open_async([&opened] { opened.set_value(); },
                          [&opened](std::exception_ptr error) { opened.set_exception(error); });
        opened.get_future().get();
        acceptWatch.start();
    }

    // No thread uses the connections any more, but their senders refer to them.
    ~Private() { m_connections->dropSenders(); }
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void configure(restinio::server_settings_t<ServerTraits> &to,
                   const HttpServerSettings &settings, RequestHandler &handler)
    {
        to.address(settings.address);
        to.port(settings.port);
        // Times of requests are limited by ReceiveAccounts.
        to.read_next_http_message_timelimit(unlimitedTime);
        to.write_http_response_timelimit(
            std::chrono::duration_cast<std::chrono::milliseconds>(settings.limits.idleTime));
        to.handle_request_timeout(settings.responseTimeout);
        // Reads one request ahead, so that a close is detected while a response is in progress.
        to.max_pipelined_requests(2);
        to.connection_state_listener(m_connections);
        // RESTinio numbers connections without synchronization between concurrent accepts. If two
        // got the same number, the end of one would cancel the other caller's request.
        to.concurrent_accepts_count(1);
        to.socket_options_setter([this, size = settings.receiveBufferBytes](
                                     restinio::socket_options_t &options) {
            options.set_option(asio::ip::tcp::no_delay{true});
            asio::error_code ignored;
            if (size > 0)
                options.set_option(asio::socket_base::receive_buffer_size{size}, ignored);
            if (heldBytes)
                options.set_option(asio::socket_base::send_buffer_size{sendBufferBytes}, ignored);
        });
        to.acceptor_post_bind_hook(
            [this](asio::ip::tcp::acceptor &opened) { acceptWatch.setAcceptor(opened); });
        to.acceptor_options_setter([](restinio::acceptor_options_t &options) {
            options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        });
        to.request_handler([this, &handler](restinio::request_handle_t request) {
            const std::shared_ptr<ReceiveGuard> guard = ReceiveGuard::current();
            if (!guard)
                return restinio::request_rejected();
            ReceivedRequest received = guard->takeRequest();
            HttpRequest plain = toHttpRequest(request, std::move(received.body));
            const auto connection = request->connection_id();
            auto responder = std::make_shared<RestinioResponder>(request, closeAfterResponse, guard,
                                                                 std::move(received.head));
            m_connections->add(connection, responder->state());
            if (heldBytes) {
                auto sender = std::make_shared<PacedSender>(io, responder->state(), heldBytes,
                                                            std::move(request), guard);
                m_connections->addSender(connection, sender);
                responder->setSender(std::move(sender));
            }
            handler.handle(std::move(plain), std::move(responder));
            return restinio::request_accepted();
        });
    }

    void reopen(const std::function<void()> &opened)
    {
        server.close_async(
            [this, opened] {
                if (!acceptWatch.isStopped())
                    server.open_async(opened, [](std::exception_ptr) {});
            },
            [](std::exception_ptr) {});
    }

    asio::io_context &io;
    const std::shared_ptr<ByteCount> heldBytes; // null if not counted
    std::atomic<bool> closeAfterResponse = false;
    AcceptWatch acceptWatch;
    const std::shared_ptr<ConnectionRegistry> m_connections;
    // Never destroyed. Connections that are still open are destroyed with the loop and may access
    // the server, which must not be freed before. In the other order, the server's acceptor would
    // access a freed loop. The leak is bounded, since a process has few servers and uses them until
    // it ends.
    restinio::http_server_t<ServerTraits> &server;
};

HttpServer::HttpServer(const HttpServerSettings &settings, RequestHandler &handler, HttpLoop &loop)
    : m_d(std::make_unique<Private>(settings, handler, *loop.m_d))
{
}

HttpServer::~HttpServer() = default;

void HttpServer::closeAfterResponses()
{
    m_d->closeAfterResponse = true;
}

void HttpServer::stopAccepting()
{
    m_d->acceptWatch.stop();
    asio::post(m_d->io,
               [d = m_d.get()] { d->server.close_async([] {}, [](std::exception_ptr) {}); });
}

} // namespace ibisnotch
