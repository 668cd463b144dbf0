// Requests whose response is received as a whole.
#include <future>

#include "ibisnotch/http-client.h"

namespace ibisnotch {

namespace {

class BufferingSink final : public ResponseSink
{
public:
    BufferingSink(std::function<void(const BufferedResponse &)> done, std::size_t maxBytes)
        : m_done(std::move(done)), m_maxBytes(maxBytes)
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
        if (m_reply.response.body.size() <= m_maxBytes)
            return true;
        std::string().swap(m_reply.response.body);
        return false;
    }

    void onEnd(const TransferResult &result) override
    {
        m_reply.result = result;
        m_done(m_reply);
    }

private:
    std::function<void(const BufferedResponse &)> m_done;
    const std::size_t m_maxBytes;
    BufferedResponse m_reply;
};

} // namespace

void sendBuffered(HttpClient &client, OutgoingRequest request,
                  std::function<void(const BufferedResponse &)> done)
{
    auto sink = std::make_shared<BufferingSink>(std::move(done), request.maxBufferedBytes);
    client.send(std::move(request), std::move(sink));
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
