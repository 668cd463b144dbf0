#include "ibisnotch/http-server.h"

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include <restinio/all.hpp>

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

// Notifies responses in progress when their connection closes. RESTinio detects a close at once
// only while it reads ahead, which the server below enables; otherwise work for a disconnected
// caller would continue until its response is written.
class ConnectionRegistry
{
public:
    void add(restinio::connection_id_t id, const std::shared_ptr<ResponseState> &state)
    {
        const std::lock_guard lock(m_mutex);
        auto &states = m_states[id];
        std::erase_if(states, [](const auto &old) { return old.expired(); });
        states.push_back(state);
    }

    void
    state_changed(const restinio::connection_state::notice_t &notice) // NOLINT: RESTinio's name
    {
        if (!std::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            return;
        std::vector<std::weak_ptr<ResponseState>> states;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_states.find(notice.connection_id());
            if (found == m_states.end())
                return;
            states = std::move(found->second);
            m_states.erase(found);
        }
        for (const auto &state : states) {
            if (const auto alive = state.lock())
                alive->close();
        }
    }

private:
    std::mutex m_mutex;
    std::unordered_map<restinio::connection_id_t, std::vector<std::weak_ptr<ResponseState>>>
        m_states;
};

struct ServerTraits : public restinio::default_traits_t
{
    using connection_state_listener_t = ConnectionRegistry;
    using logger_t = restinio::null_logger_t;
    using request_handler_t
        = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    using connection_count_limiter_t
        = restinio::connection_count_limits::connection_count_limiter_t<
            asio::strand<restinio::default_asio_executor>>;
    static constexpr bool use_connection_count_limiter = true; // NOLINT: RESTinio's name
};

using PlainResponse = restinio::response_builder_t<restinio::restinio_controlled_output_t>;
using ChunkedResponse = restinio::response_builder_t<restinio::chunked_output_t>;

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
                      const std::atomic<bool> &closeAfterResponse)
        : m_connection(restinio::impl::access_req_connection(*request)),
          m_request(std::move(request)), m_closeAfterResponse(closeAfterResponse),
          m_state(std::make_shared<ResponseState>())
    {
    }

    // Writes that are still pending when the loop is destroyed end with an error, which closes the
    // response. By then, what the handler refers to no longer exists.
    ~RestinioResponder() override { m_state->dropClosedHandler(); }

    const std::shared_ptr<ResponseState> &state() const { return m_state; }

    void reply(HttpResponse response) override
    {
        PlainResponse builder = m_request->create_response(statusLine(response.status));
        addHeaders(builder, response.headers);
        if (m_closeAfterResponse)
            builder.connection_close();
        builder.set_body(std::move(response.body));
        builder.done();
    }

    void start(int status, const Headers &headers) override
    {
        m_chunked = std::make_unique<ChunkedResponse>(
            m_request->create_response<restinio::chunked_output_t>(statusLine(status)));
        addHeaders(*m_chunked, headers);
        if (m_closeAfterResponse)
            m_chunked->connection_close();
        m_chunked->flush();
    }

    void write(std::string data) override
    {
        if (data.empty() || isClosed())
            return;
        const std::size_t size = data.size();
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
        if (m_chunked)
            m_chunked->done();
        m_chunked.reset();
    }

    void abort() override
    {
        // RESTinio's builders always end a stream with the last chunk, which would make a truncated
        // stream look complete. Ending the response with no parts and the flag connection_close
        // omits that chunk, so an HTTP/1.1 client reports the message as incomplete.
        m_chunked.reset();
        m_connection->write_response_parts(
            m_request->request_id(),
            restinio::response_output_flags_t{
                restinio::response_parts_attr_t::final_parts,
                restinio::response_connection_attr_t::connection_close},
            restinio::write_group_t{restinio::writable_items_container_t{}});
    }

    bool isClosed() const override { return m_state->isClosed(); }
    void setClosedHandler(std::function<void()> task) override
    {
        m_state->setClosedHandler(std::move(task));
    }
    std::size_t pendingBytes() const override { return m_state->pendingBytes; }

private:
    restinio::impl::connection_handle_t m_connection;
    restinio::request_handle_t m_request;
    std::unique_ptr<ChunkedResponse> m_chunked;
    const std::atomic<bool> &m_closeAfterResponse;
    std::shared_ptr<ResponseState> m_state;
};

HttpRequest toHttpRequest(const restinio::request_handle_t &from)
{
    const auto &header = from->header();
    HttpRequest request;
    request.method = header.method().c_str();
    const auto path = header.path();
    request.path.assign(path.data(), path.size());
    const auto query = header.query();
    request.query.assign(query.data(), query.size());
    header.for_each_field([&request](const restinio::http_header_field_t &field) {
        request.headers.add(field.name(), field.value());
    });
    request.body = Body(std::shared_ptr<const std::string>(from, &from->body()));
    return request;
}

} // namespace

class HttpLoop::Private
{
public:
    explicit Private(unsigned threads)
    {
        for (unsigned i = 0; i < threads; ++i)
            m_threads.emplace_back([this] { io.run(); });
    }

    void stop()
    {
        io.stop();
        for (std::thread &thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    asio::io_context io;

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_guard = asio::make_work_guard(io);
    std::vector<std::thread> m_threads;
};

HttpLoop::HttpLoop(unsigned threads) : m_d(std::make_unique<Private>(threads)) { }

HttpLoop::~HttpLoop()
{
    stop();
}

void HttpLoop::stop()
{
    m_d->stop();
}

class HttpServer::Private
{
public:
    Private(const HttpServerSettings &settings, RequestHandler &handler, asio::io_context &loop)
        : io(loop), server(*new restinio::http_server_t<ServerTraits>(
                        restinio::external_io_context(loop),
                        [&](restinio::server_settings_t<ServerTraits> &to) {
                            configure(to, settings, handler);
                        }))
    {
        std::promise<void> opened;
        server.open_async([&opened] { opened.set_value(); },
                          [&opened](std::exception_ptr error) { opened.set_exception(error); });
        opened.get_future().get();
    }

    void configure(restinio::server_settings_t<ServerTraits> &to,
                   const HttpServerSettings &settings, RequestHandler &handler)
    {
        to.address(settings.address);
        to.port(settings.port);
        to.read_next_http_message_timelimit(settings.idleTimeout);
        to.write_http_response_timelimit(settings.idleTimeout);
        to.handle_request_timeout(settings.responseTimeout);
        to.max_parallel_connections(settings.maxConnections);
        to.incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(settings.maxBodyBytes));
        // Reads one request ahead, so that a close is detected while a response is in progress.
        to.max_pipelined_requests(2);
        to.connection_state_listener(m_connections);
        // RESTinio numbers connections without synchronization between concurrent accepts. If two
        // got the same number, the end of one would cancel the other caller's request.
        to.concurrent_accepts_count(1);
        to.socket_options_setter([](restinio::socket_options_t &options) {
            options.set_option(asio::ip::tcp::no_delay{true});
        });
        to.acceptor_options_setter([](restinio::acceptor_options_t &options) {
            options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        });
        to.request_handler([this, &handler](restinio::request_handle_t request) {
            HttpRequest plain = toHttpRequest(request);
            const auto connection = request->connection_id();
            auto responder
                = std::make_shared<RestinioResponder>(std::move(request), closeAfterResponse);
            m_connections->add(connection, responder->state());
            handler.handle(std::move(plain), std::move(responder));
            return restinio::request_accepted();
        });
    }

    asio::io_context &io;
    std::atomic<bool> closeAfterResponse = false;
    std::shared_ptr<ConnectionRegistry> m_connections = std::make_shared<ConnectionRegistry>();
    // Never destroyed. Connections that are still open are destroyed with the loop and then access
    // the server's connection limiter, which would be freed if the server were destroyed first. In
    // the other order, the server's acceptor would access a freed loop. The leak is bounded, since
    // a process has few servers and uses them until it ends.
    restinio::http_server_t<ServerTraits> &server;
};

HttpServer::HttpServer(const HttpServerSettings &settings, RequestHandler &handler, HttpLoop &loop)
    : m_d(std::make_unique<Private>(settings, handler, loop.m_d->io))
{
}

HttpServer::~HttpServer() = default;

void HttpServer::closeAfterResponses()
{
    m_d->closeAfterResponse = true;
}

void HttpServer::stopAccepting()
{
    asio::post(m_d->io,
               [d = m_d.get()] { d->server.close_async([] {}, [](std::exception_ptr) {}); });
}

} // namespace ibisnotch
