/// @file
/// One relayed TCP connection of a fault proxy: forwards bytes between client
/// and server and applies the proxy's faults. Used by the proxy's thread only.
#pragma once

#include "fault_proxy.hpp"

#include <pimentoshunt/clock.hpp>

#include <deque>    // deque
#include <list>     // list
#include <optional> // optional
#include <random>   // mt19937_64
#include <string>   // string

namespace pimentoshunt::testing::detail
{

/// @brief Owns a file descriptor and closes it on destruction.
class descriptor
{
  public:
    descriptor() = default;
    explicit descriptor(int fd);
    descriptor(descriptor&& other) noexcept;
    auto operator=(descriptor&& other) noexcept -> descriptor&;
    descriptor(const descriptor&) = delete;
    auto operator=(const descriptor&) -> descriptor& = delete;
    ~descriptor();

    [[nodiscard]] auto get() const -> int;
    auto close() -> void;
    /// @brief Closes a TCP socket with a reset (RST) instead of an orderly
    /// shutdown.
    auto reset() -> void;

  private:
    int m_fd = -1;
};

/// @brief Faults of a proxy, shared by its connections, and the generator of
/// the jitter.
struct relay_rules
{
    link_faults faults;
    std::list<exchange_rule> exchanges;
    std::int64_t triggered_count = 0;
    std::mt19937_64 random;
};

/// @brief One direction of a connection: bytes that were read and are queued
/// until they are due.
struct relay_direction
{
    struct chunk
    {
        time_point due;
        std::string bytes;
    };

    std::deque<chunk> queued_chunks;
    std::size_t queued_bytes = 0;
    bool source_ended = false;
    bool end_forwarded = false;
};

/// @brief Relays one connection between a client and a server.
class relay_connection
{
  public:
    relay_connection(descriptor client, descriptor server);

    /// @brief Returns the poll events that the client's side waits for; 0 for
    /// none.
    [[nodiscard]] auto client_events(const relay_rules& rules,
                                     time_point now) const -> short;
    /// @brief Returns the poll events that the server's side waits for; 0 for
    /// none.
    [[nodiscard]] auto server_events(const relay_rules& rules,
                                     time_point now) const -> short;
    [[nodiscard]] auto client_descriptor() const -> int;
    [[nodiscard]] auto server_descriptor() const -> int;
    /// @brief Returns when the next queued bytes are due; empty if none are
    /// queued.
    [[nodiscard]] auto next_due() const -> std::optional<time_point>;

    /// @brief Reads from each side that is ready and writes all bytes that are
    /// due.
    /// @param client_ready  poll events of the client's side
    /// @param server_ready  poll events of the server's side
    /// @return whether the connection stays open
    auto step(short client_ready, short server_ready, relay_rules& rules,
              time_point now) -> bool;
    /// @brief Closes both sides with a reset.
    auto reset() -> void;

  private:
    auto read_request(relay_rules& rules, time_point now) -> bool;
    auto read_reply(relay_rules& rules, time_point now) -> bool;
    auto begin_exchange() -> void;
    auto apply_request_rule(relay_rules& rules, std::string& bytes) -> void;
    auto apply_reply_rule(relay_rules& rules, std::string& bytes) -> void;
    [[nodiscard]] auto take_matching_rule(relay_rules& rules, bool is_request)
        -> std::optional<exchange_rule>;
    auto flush(relay_direction& direction, int target, time_point now) -> bool;

    descriptor m_client;
    descriptor m_server;
    relay_direction m_requests;
    relay_direction m_replies;
    /// First bytes of the current exchange's request, at most 4 KiB.
    std::string m_request_head;
    std::size_t m_request_bytes = 0;
    std::size_t m_reply_bytes = 0;
    /// A one-time fault closes the connection once the bytes that the fault
    /// lets through are written.
    bool m_closing = false;
    std::optional<exchange_rule> m_rule;
};

} // namespace pimentoshunt::testing::detail
