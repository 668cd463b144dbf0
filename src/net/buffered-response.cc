// Requests whose response is received as a whole.
#include <future>

#include "ibisnotch/http-client.h"

namespace ibisnotch {

namespace {

constexpr std::size_t maxBufferedBytes = 4U << 20;

class BufferingSink final : public ResponseSink
{
public:
    explicit BufferingSink(std::function<void(const BufferedResponse &)> done)
        : m_done(std::move(done))
    {
    }

    bool onHead(int status, const Headers &headers) override
    {
        m_reply.response.status = status;
        m_reply.response.headers = headers;
        return true;
    }

    bool onData(std::string_view data) override
    {
        m_reply.response.body += data;
        return m_reply.response.body.size() <= maxBufferedBytes;
    }

    void onEnd(const TransferResult &result) override
    {
        m_reply.result = result;
        m_done(m_reply);
    }

private:
    std::function<void(const BufferedResponse &)> m_done;
    BufferedResponse m_reply;
};

} // namespace

void sendBuffered(HttpClient &client, OutgoingRequest request,
                  std::function<void(const BufferedResponse &)> done)
{
    client.send(std::move(request), std::make_shared<BufferingSink>(std::move(done)));
}

BufferedResponse sendAndWait(HttpClient &client, OutgoingRequest request)
{
    auto promise = std::make_shared<std::promise<BufferedResponse>>();
    auto response = promise->get_future();
    sendBuffered(client, std::move(request),
                 [promise](const BufferedResponse &reply) { promise->set_value(reply); });
    return response.get();
}

} // namespace ibisnotch
