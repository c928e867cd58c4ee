/// @file
/// A TCP relay inside the test process that puts faults on one link.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t, uint64_t
#include <memory>  // unique_ptr
#include <string>  // string

namespace pimentoshunt::testing
{

/// @brief What a link does to all its connections until it is told otherwise.
/// "Request" is the direction from the connecting side to the target.
struct link_faults
{
    /// Connections are reset, new ones refused.
    bool cut = false;
    /// Nothing passes in either direction; connections stay open, new ones
    /// are accepted. Bytes are kept and pass once this is lifted.
    bool freeze = false;
    /// One-way cuts: bytes of this direction vanish.
    bool drop_requests = false;
    bool drop_replies = false;
    /// Added to each direction.
    milliseconds delay{0};
    /// Up to so much more, by the link's seed; order is kept.
    milliseconds jitter{0};
};

/// @brief A fault that strikes one exchange and is then used up.
enum class exchange_fault
{
    /// The request passes; its reply is swallowed and the connection closed.
    drop_reply,
    /// The connection closes after some bytes of the reply.
    close_reply_after,
    /// The connection closes after some bytes of the request.
    close_request_after
};

/// @brief Which exchanges a one-time fault strikes.
struct exchange_rule
{
    exchange_fault fault = exchange_fault::drop_reply;
    /// Strikes so many exchanges.
    std::int64_t times = 1;
    /// Bytes that pass, for the two closing faults.
    std::size_t after_bytes = 0;
    /// Only exchanges whose first 4 KiB of request hold this text.
    std::string request_text;
};

/// @brief Relays 127.0.0.1:@ref port to a target port, one thread for all
/// connections. Whatever speaks TCP can pass: HTTP or ZeroMQ.
class fault_proxy
{
  public:
    /// @param target_port  on 127.0.0.1; nothing needs to listen there yet
    /// @param seed  decides jitter
    /// @throw std::runtime_error when no port can be bound
    explicit fault_proxy(int target_port, std::uint64_t seed = 1);
    fault_proxy(const fault_proxy&) = delete;
    auto operator=(const fault_proxy&) -> fault_proxy& = delete;
    ~fault_proxy();

    /// @brief Where it listens, on 127.0.0.1.
    [[nodiscard]] auto port() const -> int;

    /// @brief Replaces the standing faults; in force on return.
    auto set_faults(const link_faults& faults) -> void;
    [[nodiscard]] auto faults() const -> link_faults;
    /// @brief Lifts the standing faults and forgets the one-time ones.
    auto clear_faults() -> void;

    /// @brief Adds a one-time fault.
    auto add(const exchange_rule& rule) -> void;
    /// @brief How many one-time faults have struck.
    [[nodiscard]] auto triggered_count() const -> std::int64_t;
    /// @brief Connections that are open now.
    [[nodiscard]] auto connections() const -> std::size_t;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace pimentoshunt::testing
