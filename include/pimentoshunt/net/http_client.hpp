/// @file
/// Asynchronous HTTP client. Calls occupy no thread while they wait, since a
/// cell keeps one call open to each of its workers.
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

/// @brief Limits of the connections to one peer.
struct client_limits
{
    /// Most open connections; further calls wait for one of them.
    std::size_t connections = 12;
    /// Timeout for opening a connection.
    milliseconds connect_timeout{800};
    /// A connection that was idle for longer is closed instead of reused.
    milliseconds max_idle{8'000};
    /// Largest response body.
    std::size_t max_response_bytes = 4u << 20;
    /// Largest header of a response; also bounds the trailers and each chunk
    /// extension of a chunked body.
    std::size_t max_header_bytes = 8'192;
};

/// @brief Keep-alive connections to any number of peers.
///
/// Calls run on the traffic context, and their results are posted to the
/// control executor. Thread-safe.
class http_client
{
  public:
    using handler = std::function<void(http_exchange)>;

    /// @param traffic  run by one thread; outlives the calls
    /// @param control  executor of the completion handlers
    http_client(boost::asio::io_context& traffic,
                boost::asio::any_io_executor control, client_limits limits);
    ~http_client();
    http_client(const http_client&) = delete;
    auto operator=(const http_client&) -> http_client& = delete;

    /// @brief Sends a request.
    /// @param address  "host:port"
    /// @param done  called exactly once, on the control executor
    auto call(const std::string& address, http_call request, handler done)
        -> void;

  private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace pimentoshunt::net
