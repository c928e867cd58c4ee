/// @file
/// TCP proxy inside the test process that injects faults on one link.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t, uint64_t
#include <memory>  // unique_ptr
#include <string>  // string

namespace pimentoshunt::testing
{

/// @brief Persistent faults of a link: they apply to all connections until they
/// are replaced. Requests are the bytes from the connecting side to the target,
/// replies those in the other direction.
struct link_faults
{
    /// Resets all connections and refuses new ones.
    bool cut = false;
    /// Forwards no bytes in either direction. Connections stay open and new
    /// ones are accepted; the bytes are forwarded once the fault is cleared.
    bool freeze = false;
    /// One-way partitions: the bytes of one direction are discarded.
    bool drop_requests = false;
    bool drop_replies = false;
    /// Latency added to each direction.
    milliseconds delay{0};
    /// Maximum of a random latency in addition to @ref delay, drawn from the
    /// link's seed. The order of the bytes is kept.
    milliseconds jitter{0};
};

/// @brief One-time fault: applies to one exchange of a request and its reply.
enum class exchange_fault
{
    /// Forwards the request, discards its reply and closes the connection.
    drop_reply,
    /// Closes the connection after some bytes of the reply.
    close_reply_after,
    /// Closes the connection after some bytes of the request.
    close_request_after
};

/// @brief Selects the exchanges that a one-time fault applies to.
struct exchange_rule
{
    exchange_fault fault = exchange_fault::drop_reply;
    /// Number of exchanges that the fault applies to.
    std::int64_t times = 1;
    /// Number of bytes forwarded before the connection is closed; not used by
    /// @ref exchange_fault::drop_reply.
    std::size_t after_bytes = 0;
    /// Only exchanges whose request contains this text in its first 4 KiB.
    std::string request_text;
};

/// @brief Relays TCP connections from 127.0.0.1:@ref port to a target port. The
/// protocol does not matter: both HTTP and ZeroMQ links have such proxies.
///
/// One thread of the proxy serves all connections. All functions may be called
/// from any thread.
class fault_proxy
{
  public:
    /// @param target_port  port on 127.0.0.1; nothing needs to listen on it yet
    /// @param seed  seeds the jitter
    /// @throw std::runtime_error if no port can be bound
    explicit fault_proxy(int target_port, std::uint64_t seed = 1);
    fault_proxy(const fault_proxy&) = delete;
    auto operator=(const fault_proxy&) -> fault_proxy& = delete;
    ~fault_proxy();

    /// @brief Returns the port on 127.0.0.1 that the proxy listens on.
    [[nodiscard]] auto port() const -> int;

    /// @brief Replaces the persistent faults. They are in effect on return.
    auto set_faults(const link_faults& faults) -> void;
    [[nodiscard]] auto faults() const -> link_faults;
    /// @brief Clears the persistent faults and removes the pending one-time
    /// faults.
    auto clear_faults() -> void;

    /// @brief Adds a one-time fault.
    auto add(const exchange_rule& rule) -> void;
    /// @brief Returns how many exchanges one-time faults have been applied to.
    [[nodiscard]] auto triggered_count() const -> std::int64_t;
    /// @brief Returns the number of open connections.
    [[nodiscard]] auto connections() const -> std::size_t;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace pimentoshunt::testing
