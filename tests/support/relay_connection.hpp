/// @file
/// One relayed TCP connection of a fault proxy.
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

/// @brief A file descriptor that closes itself.
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
    /// @brief Closes with a reset in place of an orderly end.
    auto reset() -> void;

  private:
    int m_fd = -1;
};

/// @brief What rules apply while bytes pass.
struct relay_rules
{
    link_faults faults;
    std::list<exchange_rule> exchanges;
    std::int64_t triggered_count = 0;
    std::mt19937_64 random;
};

/// @brief One direction: bytes read, waiting for their time.
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

/// @brief One relayed connection; used by the proxy's thread only.
class relay_connection
{
  public:
    relay_connection(descriptor client, descriptor server);

    /// @brief Which poll events each side waits for.
    [[nodiscard]] auto client_events(const relay_rules& rules,
                                     time_point now) const -> short;
    [[nodiscard]] auto server_events(const relay_rules& rules,
                                     time_point now) const -> short;
    [[nodiscard]] auto client_descriptor() const -> int;
    [[nodiscard]] auto server_descriptor() const -> int;
    /// @brief When waiting bytes are next due, if any.
    [[nodiscard]] auto next_due() const -> std::optional<time_point>;

    /// @brief Relays what can be relayed now.
    /// @return whether the connection goes on
    auto step(short client_ready, short server_ready, relay_rules& rules,
              time_point now) -> bool;
    /// @brief Resets both sides.
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
    /// The first bytes of the present exchange's request.
    std::string m_request_head;
    std::size_t m_request_bytes = 0;
    std::size_t m_reply_bytes = 0;
    /// A fault has struck: close once what was let through is written.
    bool m_closing = false;
    std::optional<exchange_rule> m_rule;
};

} // namespace pimentoshunt::testing::detail
