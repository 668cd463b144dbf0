#include "ibisnotch/http-server.h"

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include <absl/strings/ascii.h>
#include <restinio/all.hpp>

#include "accept-watch.h"
#include "paced-sender.h"
#include "receive-accounts.h"
#include "receive-guard.h"

namespace ibisnotch {

namespace {

// What RESTinio and the loop keep beside the data of one write. A server may send its response in
// chunks of one byte, of which a megabyte would take some hundred.
constexpr std::size_t writeOverheadBytes = 512;

// The system's buffers of a connection are not counted and grow to megabytes if its client reads
// slowly, so they are bounded. This is enough for 1 MB/s over a round trip of 100 ms.
constexpr int sendBufferBytes = 128 * 1024;

constexpr auto unlimitedTime = std::chrono::hours(24 * 365);

using PlainResponse = restinio::response_builder_t<restinio::restinio_controlled_output_t>;

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
                      std::weak_ptr<ReceiveGuard> guard, std::shared_ptr<const HeldBytes> head,
                      std::shared_ptr<const OpenResponse> open)
        : m_connection(restinio::impl::access_req_connection(*request)),
          m_request(std::move(request)),
          m_isHead(m_request->header().method() == restinio::http_method_head()),
          m_closeAfterResponse(closeAfterResponse), m_guard(std::move(guard)),
          m_heldHead(std::move(head)), m_open(std::move(open)),
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
        if (m_sender || m_isHead)
            return replyInPieces(std::move(response));
        PlainResponse builder = m_request->create_response(statusLine(response.status));
        addHeaders(builder, response.headers);
        if (m_closeAfterResponse)
            builder.connection_close();
        builder.set_body(std::move(response.body));
        builder.done(responseEnd(m_guard, std::move(m_open)));
    }

    void start(int status, const Headers &headers) override
    {
        if (m_isHead)
            return begin(makePiecewise(status, headers, 0));
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
        if (data.empty() || m_isHead || isClosed())
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
            return m_sender->finish(std::move(m_open));
        if (m_chunked)
            m_chunked->done(responseEnd(m_guard, std::move(m_open)));
        if (m_piecewise)
            m_piecewise->done(responseEnd(m_guard, std::move(m_open)));
        m_chunked.reset();
        m_piecewise.reset();
    }

    void abort() override
    {
        if (m_sender)
            return m_sender->abort(std::move(m_open));
        m_piecewise.reset();
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
    std::shared_ptr<PiecewiseResponse> makePiecewise(int status, const Headers &headers,
                                                     std::size_t bodyBytes)
    {
        auto builder = std::make_shared<PiecewiseResponse>(
            m_request->create_response<restinio::user_controlled_output_t>(statusLine(status)));
        addHeaders(*builder, headers);
        builder->set_content_length(bodyBytes);
        if (m_closeAfterResponse)
            builder->connection_close();
        return builder;
    }

    void begin(std::shared_ptr<PiecewiseResponse> builder)
    {
        if (m_sender)
            m_sender->begin(std::move(builder));
        else
            m_piecewise = std::move(builder);
    }

    void replyInPieces(HttpResponse response)
    {
        begin(makePiecewise(response.status, response.headers, response.body.size()));
        write(std::move(response.body));
        finish();
    }

    restinio::impl::connection_handle_t m_connection;
    restinio::request_handle_t m_request;
    const bool m_isHead; // the answer to a HEAD request is a head alone
    std::shared_ptr<ChunkedResponse> m_chunked;
    std::shared_ptr<PiecewiseResponse> m_piecewise;
    const std::atomic<bool> &m_closeAfterResponse;
    const std::weak_ptr<ReceiveGuard> m_guard;
    const std::shared_ptr<const HeldBytes> m_heldHead; // of the request
    std::shared_ptr<const OpenResponse> m_open; // null once the response has been ended
    std::shared_ptr<ResponseState> m_state;
    std::shared_ptr<PacedSender> m_sender; // null if responses are passed on as they come
};

// The parser leaves the blanks behind a value, which are no part of it, in the value.
std::string withoutTrailingBlanks(const std::string &value)
{
    return std::string(absl::StripTrailingAsciiWhitespace(value));
}

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
            request.headers.add(field.name(), withoutTrailingBlanks(field.value()));
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

    // No thread uses the connections any more, but their senders refer to them. RESTinio's server
    // is not destroyed and would leave the port open.
    ~Private()
    {
        acceptWatch.closePort();
        m_connections->dropSenders();
    }
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
            plain.beganAt = received.beganAt;
            plain.arrivedAt = received.arrivedAt;
            const auto connection = request->connection_id();
            auto responder = std::make_shared<RestinioResponder>(
                request, closeAfterResponse, guard, std::move(received.head),
                std::make_shared<const OpenResponse>(openResponses));
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
    const std::shared_ptr<std::atomic<std::size_t>> openResponses
        = std::make_shared<std::atomic<std::size_t>>(0);
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

std::size_t HttpServer::openResponses() const
{
    return *m_d->openResponses;
}

void HttpServer::stopAccepting()
{
    m_d->acceptWatch.stop();
    asio::post(m_d->io,
               [d = m_d.get()] { d->server.close_async([] {}, [](std::exception_ptr) {}); });
}

} // namespace ibisnotch
