/// @file
/// HTTP calls that hold no thread while they wait: a cell keeps one call open
/// to each of its workers.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/platform/http_pool.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // shared_ptr
#include <string>     // string

namespace pimentoshunt::net
{

using platform::exchange_state;
using platform::http_call;
using platform::http_exchange;

/// @brief Bounds of the connections to one peer.
struct client_limits
{
    /// More calls than that wait for a connection.
    std::size_t connections = 12;
    milliseconds connect_timeout{800};
    /// A connection idle for longer is closed, not used.
    milliseconds max_idle{8'000};
    std::size_t max_response_bytes = 4u << 20;
};

/// @brief Keep-alive connections to any number of peers.
///
/// Calls run on the traffic context; their ends are handed to the control
/// executor. May be used from any thread.
class http_client
{
  public:
    using handler = std::function<void(http_exchange)>;

    http_client(boost::asio::io_context& traffic,
                boost::asio::any_io_executor control, client_limits limits);
    ~http_client();
    http_client(const http_client&) = delete;
    auto operator=(const http_client&) -> http_client& = delete;

    /// @brief Sends a request.
    /// @param address  "host:port"
    /// @param done  called once on the control executor
    auto call(const std::string& address, http_call request, handler done)
        -> void;

  private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace pimentoshunt::net
