/// @file
/// Messages between instances over ZeroMQ: one listening socket, and one
/// sending socket for each address.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/control/engine.hpp>

#include <pimentoshunt.pb.h>

#include <zmq.hpp>

#include <atomic>        // atomic
#include <cstdint>       // uint64_t
#include <functional>    // function
#include <string>        // string
#include <thread>        // thread
#include <unordered_map> // unordered_map

namespace pimentoshunt::transport
{

/// @brief How links to other instances behave.
struct link_options
{
    /// Whether messages wait for a connection that is being made. Without, the
    /// first message to an address is always lost.
    bool wait_for_connection = false;
    /// Messages kept for one peer that does not read, or is not connected.
    int queue_messages = 2'000;
    /// A connection is given up when sent data stays unacknowledged for so
    /// long; zero: by the system's own limit.
    milliseconds unacknowledged_limit{0};
};

/// @brief Sends to other instances; to be used by one thread.
///
/// A message that can't be sent may be lost: all messages between instances
/// are repeated or settled by their receiver's inquiries.
class peer_sender
{
  public:
    explicit peer_sender(zmq::context_t& context, link_options options = {})
        : m_context(context), m_options(options)
    {
    }

    /// @brief Sends one message, or drops it.
    auto send(const control::outbound& message, time_point now) -> void;

    /// @brief Bytes sent since the start.
    [[nodiscard]] auto bytes() const noexcept -> std::uint64_t
    {
        return m_bytes;
    }

  private:
    struct link
    {
        zmq::socket_t socket;
        time_point used_at;
    };

    auto socket_for(const std::string& address, time_point now)
        -> zmq::socket_t&;
    auto close_idle(time_point now) -> void;

    zmq::context_t& m_context;
    link_options m_options;
    std::unordered_map<std::string, link> m_links;
    std::atomic<std::uint64_t> m_bytes{0};
};

/// @brief Receives from other instances on a thread of its own.
class peer_receiver
{
  public:
    using consumer = std::function<void(wire::envelope)>;

    /// @param address  "host:port" to listen on
    /// @throw zmq::error_t when the address can't be bound
    peer_receiver(zmq::context_t& context, const std::string& address,
                  consumer on_message);
    ~peer_receiver();
    peer_receiver(const peer_receiver&) = delete;
    auto operator=(const peer_receiver&) -> peer_receiver& = delete;

  private:
    auto receive() -> void;

    zmq::socket_t m_socket;
    consumer m_on_message;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace pimentoshunt::transport
