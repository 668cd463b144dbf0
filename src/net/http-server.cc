#include "ibisnotch/http-server.h"

#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include <restinio/all.hpp>

namespace ibisnotch {

namespace {

struct ServerTraits : public restinio::default_traits_t
{
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

template <typename Builder> void addFields(Builder &builder, const Headers &headers)
{
    for (const auto &[name, value] : headers.fields())
        builder.append_header(name, value);
}

class RestinioResponder final : public Responder
{
public:
    explicit RestinioResponder(restinio::request_handle_t request)
        : m_connection(restinio::impl::access_req_connection(*request)),
          m_request(std::move(request)), m_state(std::make_shared<State>())
    {
    }

    void reply(HttpResponse response) override
    {
        PlainResponse builder = m_request->create_response(statusLine(response.status));
        addFields(builder, response.headers);
        builder.set_body(std::move(response.body));
        builder.done();
    }

    void start(int status, const Headers &headers) override
    {
        m_chunked = std::make_unique<ChunkedResponse>(
            m_request->create_response<restinio::chunked_output_t>(statusLine(status)));
        addFields(*m_chunked, headers);
        m_chunked->flush();
    }

    void write(std::string data) override
    {
        if (data.empty() || closed())
            return;
        const std::size_t size = data.size();
        m_state->pending += size;
        m_chunked->append_chunk(std::move(data));
        m_chunked->flush([state = m_state, size](const asio::error_code &error) {
            state->pending -= size;
            if (error)
                state->closed = true;
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
        // RESTinio's builders can only end a stream with its last chunk, which would let a cut
        // stream pass for a short answer. Ending the response with no parts and a closing flag
        // leaves that chunk out, so an HTTP/1.1 client reports the message as incomplete.
        m_chunked.reset();
        m_connection->write_response_parts(
            m_request->request_id(),
            restinio::response_output_flags_t{
                restinio::response_parts_attr_t::final_parts,
                restinio::response_connection_attr_t::connection_close},
            restinio::write_group_t{restinio::writable_items_container_t{}});
    }

    bool closed() const override { return m_state->closed; }
    std::size_t pendingBytes() const override { return m_state->pending; }

private:
    struct State
    {
        std::atomic<std::size_t> pending = 0;
        std::atomic<bool> closed = false;
    };

    restinio::impl::connection_handle_t m_connection;
    restinio::request_handle_t m_request;
    std::unique_ptr<ChunkedResponse> m_chunked;
    std::shared_ptr<State> m_state;
};

HttpRequest toRequest(const restinio::request_t &from)
{
    HttpRequest request;
    request.method = from.header().method().c_str();
    const auto path = from.header().path();
    request.path.assign(path.data(), path.size());
    const auto query = from.header().query();
    request.query.assign(query.data(), query.size());
    from.header().for_each_field([&request](const restinio::http_header_field_t &field) {
        request.headers.add(field.name(), field.value());
    });
    request.body = from.body();
    return request;
}

} // namespace

class HttpServer::Private
{
public:
    Private(const HttpServerSettings &settings, RequestHandler &handler)
        : m_server(*new restinio::http_server_t<ServerTraits>(
            restinio::external_io_context(m_io),
            [&](restinio::server_settings_t<ServerTraits> &to) {
                configure(to, settings, handler);
            }))
    {
        for (unsigned i = 0; i < settings.threads; ++i)
            m_threads.emplace_back([this] { m_io.run(); });
        std::promise<void> opened;
        m_server.open_async([&opened] { opened.set_value(); },
                            [&opened](std::exception_ptr error) { opened.set_exception(error); });
        try {
            opened.get_future().get();
        } catch (...) {
            stopThreads();
            throw;
        }
    }

    void stopThreads()
    {
        m_io.stop();
        for (std::thread &thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    static void configure(restinio::server_settings_t<ServerTraits> &to,
                          const HttpServerSettings &settings, RequestHandler &handler)
    {
        to.address(settings.address);
        to.port(settings.port);
        to.read_next_http_message_timelimit(settings.idleTimeout);
        to.write_http_response_timelimit(settings.idleTimeout);
        to.handle_request_timeout(settings.answerTimeout);
        to.max_parallel_connections(settings.maxConnections);
        to.incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(settings.maxBodyBytes));
        to.concurrent_accepts_count(2);
        to.socket_options_setter([](restinio::socket_options_t &options) {
            options.set_option(asio::ip::tcp::no_delay{true});
        });
        to.acceptor_options_setter([](restinio::acceptor_options_t &options) {
            options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        });
        to.request_handler([&handler](restinio::request_handle_t request) {
            HttpRequest plain = toRequest(*request);
            auto responder = std::make_shared<RestinioResponder>(std::move(request));
            handler.handle(std::move(plain), std::move(responder));
            return restinio::request_accepted();
        });
    }

    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_guard
        = asio::make_work_guard(m_io);
    // Never destroyed. Connections that are still open are freed with the loop and count themselves
    // out of the server's limiter then; a server that went first left them a freed limiter. The
    // other order would leave the server's acceptor a freed loop. Few servers live in a process,
    // and only until it ends.
    restinio::http_server_t<ServerTraits> &m_server;
    std::vector<std::thread> m_threads;
};

HttpServer::HttpServer(const HttpServerSettings &settings, RequestHandler &handler)
    : m_d(std::make_unique<Private>(settings, handler))
{
}

HttpServer::~HttpServer()
{
    m_d->stopThreads();
}

void HttpServer::stop()
{
    m_d->stopThreads();
}

void HttpServer::stopAccepting()
{
    asio::post(m_d->m_io,
               [d = m_d.get()] { d->m_server.close_async([] {}, [](std::exception_ptr) {}); });
}

} // namespace ibisnotch
