// Waits on an Asio loop until the sockets of libcurl are ready. Included by the source file of the
// client only, as it includes libcurl.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <curl/curl.h>

namespace ibisnotch {

// Used on the loop only.
class SocketWatcher
{
public:
    // Called with a socket and the CURL_CSELECT flags of what it is ready for.
    using Ready = std::function<void(curl_socket_t socket, int flags)>;

    SocketWatcher(asio::io_context &io, Ready ready) : m_io(io), m_ready(std::move(ready)) { }

    // Waits for what libcurl wants of a socket, a CURL_POLL value, in place of what it wanted
    // before.
    void watch(curl_socket_t socket, int what)
    {
        auto &watched = m_sockets[socket];
        if (what == CURL_POLL_REMOVE) {
            if (watched) {
                watched->removed = true;
                watched->descriptor.release();
            }
            m_sockets.erase(socket);
            return;
        }
        if (!watched) {
            watched = std::make_shared<WatchedSocket>(m_io);
            watched->descriptor.assign(socket);
        }
        watched->wanted = what;
        await(socket, watched);
    }

private:
    struct WatchedSocket
    {
        explicit WatchedSocket(asio::io_context &io) : descriptor(io) { }
        asio::posix::stream_descriptor descriptor;
        int wanted = 0;
        bool reading = false;
        bool writing = false;
        bool removed = false;
    };

    void await(curl_socket_t socket, const std::shared_ptr<WatchedSocket> &watched)
    {
        if ((watched->wanted & CURL_POLL_IN) != 0 && !watched->reading) {
            watched->reading = true;
            waitFor(socket, watched, asio::posix::stream_descriptor::wait_read);
        }
        if ((watched->wanted & CURL_POLL_OUT) != 0 && !watched->writing) {
            watched->writing = true;
            waitFor(socket, watched, asio::posix::stream_descriptor::wait_write);
        }
    }

    void waitFor(curl_socket_t socket, const std::shared_ptr<WatchedSocket> &watched,
                 asio::posix::stream_descriptor::wait_type type)
    {
        watched->descriptor.async_wait(
            type, [this, socket, watched, type](const asio::error_code &error) {
                const bool read = type == asio::posix::stream_descriptor::wait_read;
                (read ? watched->reading : watched->writing) = false;
                if (watched->removed)
                    return;
                const int flags = error ? CURL_CSELECT_ERR
                    : read              ? CURL_CSELECT_IN
                                        : CURL_CSELECT_OUT;
                const int wantedBit = read ? CURL_POLL_IN : CURL_POLL_OUT;
                if ((watched->wanted & wantedBit) != 0)
                    m_ready(socket, flags);
                if (!watched->removed && !error)
                    await(socket, watched);
            });
    }

    asio::io_context &m_io;
    const Ready m_ready;
    std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> m_sockets;
};

} // namespace ibisnotch
