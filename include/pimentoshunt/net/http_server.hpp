/// @file
/// Asynchronous HTTP server. A request occupies no thread while its response is
/// pending.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // shared_ptr
#include <string>     // string
#include <vector>     // vector

namespace pimentoshunt::net
{

/// @brief A complete request.
struct server_request
{
    std::string method;
    /// Path and query as received.
    std::string target;
    std::string host;
    /// Values of the Authorization headers; at most two are passed on, since
    /// more than one is as bad as any number.
    std::vector<std::string> authorization;
    std::string body;
    /// How long the caller waits (header Deadline-Ms); zero when not given.
    milliseconds deadline{0};
};

/// @brief A complete response.
struct server_response
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    /// Value of the Retry-After header; zero omits the header.
    std::chrono::seconds retry_after{0};
};

/// @brief Limits of a server.
struct server_limits
{
    /// Largest header; a request with a larger one gets 431. The same holds for
    /// the trailers and for each chunk extension of a chunked body.
    std::size_t header_bytes = 16'384;
    /// Largest body; a request with a larger one gets 413.
    std::size_t body_bytes = 262'144;
    /// A new connection has to send its first request within this time.
    milliseconds header_timeout{3'000};
    /// Later requests on a connection have to follow within this time.
    milliseconds idle_timeout{15'000};
    /// Most open connections; further ones are closed immediately.
    std::size_t connections = 1'000;
    /// Most bytes that all connections together hold in requests and unsent
    /// answers. Beyond it the connection that holds most is given up: an
    /// incomplete request gets 503, an unsent answer is dropped. Answers that
    /// wait for the traffic thread may take a quarter in addition. A message
    /// that is held alone is always let through.
    std::size_t held_bytes = 64u << 20;
};

/// @brief Receives requests on the traffic context. The handler runs on the
/// control executor, and calls its reply exactly once, at any later time.
class http_server
{
  public:
    using reply = std::function<void(server_response)>;
    using handler = std::function<void(server_request, reply)>;

    /// @param traffic  run by one thread; outlives the connections
    /// @param control  executor of the handler
    /// @param serve  called for each request
    http_server(boost::asio::io_context& traffic,
                boost::asio::any_io_executor control, server_limits limits,
                handler serve);
    ~http_server();
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;

    /// @brief Binds the address and starts serving.
    /// @param address  "host:port"
    /// @throw (leaf) settings 110 when the address can't be bound
    auto listen(const std::string& address) -> result<void>;

    /// @brief Changes the limits for connections and requests that start from
    /// now on.
    auto set_limits(const server_limits& limits) -> void;

    /// @brief Closes each connection after its next response from now on.
    auto close_after_responses() -> void;

    /// @brief Stops accepting connections and closes those that wait for a
    /// request.
    auto close() -> void;

    /// @brief Number of requests whose handler has not replied yet.
    [[nodiscard]] auto in_flight() const -> std::size_t;

  private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace pimentoshunt::net
