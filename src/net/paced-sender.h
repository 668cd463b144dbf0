// Sends responses piece by piece. Included by the source file of the server only, as it includes
// RESTinio.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>

#include <restinio/all.hpp>

#include "ibisnotch/http-server.h"
#include "receive-guard.h"
#include "response-state.h"

namespace ibisnotch {

// Ends a response without its last chunk and closes the connection, once what was written before
// is sent. RESTinio's builders always end a stream with the last chunk, which would make a
// truncated stream look complete. Ending the response with no parts and the flag connection_close
// omits that chunk, so an HTTP/1.1 client reports the message as incomplete.
inline void closeIncomplete(const restinio::impl::connection_handle_t &connection,
                            restinio::request_id_t requestId)
{
    connection->write_response_parts(
        requestId,
        restinio::response_output_flags_t{restinio::response_parts_attr_t::final_parts,
                                          restinio::response_connection_attr_t::connection_close},
        restinio::write_group_t{restinio::writable_items_container_t{}});
}

// Returns what to call when the last byte of a response was sent. Until then the response is open.
inline auto responseEnd(const std::weak_ptr<ReceiveGuard> &guard,
                        std::shared_ptr<const OpenResponse> open)
{
    return [guard, open = std::move(open)](const asio::error_code &) {
        if (const auto alive = guard.lock())
            alive->onResponseEnd();
    };
}

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

    void finish(std::shared_ptr<const OpenResponse> open) { end(End::complete, std::move(open)); }
    void abort(std::shared_ptr<const OpenResponse> open) { end(End::aborted, std::move(open)); }

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

    void end(End end, std::shared_ptr<const OpenResponse> open)
    {
        runNext([&] {
            m_end = end;
            if (!m_hasEnded)
                m_open = std::move(open);
        });
    }

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
        std::shared_ptr<const OpenResponse> open = std::exchange(m_open, nullptr);
        const Builder builder = std::exchange(m_builder, {});
        const auto connection = std::exchange(m_connection, nullptr);
        if (end == End::aborted && connection)
            return [connection, id = m_requestId] { closeIncomplete(connection, id); };
        if (end != End::complete)
            return {};
        if (const auto *chunked = std::get_if<std::shared_ptr<ChunkedResponse>>(&builder))
            return
                [one = *chunked, end = responseEnd(m_guard, std::move(open))] { one->done(end); };
        if (const auto *whole = std::get_if<std::shared_ptr<PiecewiseResponse>>(&builder))
            return [one = *whole, end = responseEnd(m_guard, std::move(open))] { one->done(end); };
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
    std::shared_ptr<const OpenResponse> m_open; // null until m_end is known
};

} // namespace ibisnotch
