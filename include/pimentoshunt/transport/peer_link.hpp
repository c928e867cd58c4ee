/// @file
/// Transport of messages between instances over ZeroMQ: one receiving socket,
/// and one sending socket per peer address.
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

/// @brief Options of the connections to other instances.
struct link_options
{
    /// Whether messages are queued until the connection is established. If not,
    /// the first message to an address is always lost.
    bool wait_for_connection = false;
    /// Messages queued for a peer that is not connected or does not read.
    int queue_messages = 2'000;
    /// Time after which a connection with unacknowledged data is closed; zero
    /// for the operating system's limit.
    milliseconds unacknowledged_limit{0};
};

/// @brief Sends messages to other instances; must be used by one thread, except
///        for bytes().
///
/// Delivery is best effort. Messages may be lost, since all messages between
/// instances are either repeated or replaced by queries of the receiver.
class peer_sender
{
  public:
    explicit peer_sender(zmq::context_t& context, link_options options = {})
        : m_context(context), m_options(options)
    {
    }

    /// @brief Sends one message without blocking; drops it if that fails.
    auto send(const control::outbound& message, time_point now) -> void;

    /// @brief Sends an envelope that is serialized already.
    auto send_bytes(const std::string& address, const std::string& envelope,
                    time_point now) -> void;

    /// @brief Bytes sent since construction; thread-safe.
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

/// @brief Receives messages from other instances on its own thread.
class peer_receiver
{
  public:
    using consumer = std::function<void(wire::envelope)>;

    /// @param address  "host:port" to listen on
    /// @param on_message  called on the receiver's thread for each message
    /// @throw zmq::error_t if the address cannot be bound
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
