/// @file
/// A listening HTTP server that holds no thread for a request that waits.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // shared_ptr
#include <string>     // string

namespace pimentoshunt::net
{

/// @brief A whole request.
struct server_request
{
    std::string method;
    /// Path and query as they came.
    std::string target;
    std::string host;
    std::string body;
    /// How long the caller waits; zero when it did not say.
    milliseconds deadline{0};
};

/// @brief A whole answer.
struct server_response
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    /// Tells the caller when to come back; zero: left out.
    std::chrono::seconds retry_after{0};
};

/// @brief Limits of a listener.
struct server_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 262'144;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
    std::size_t connections = 1'000;
};

/// @brief Serves requests on the traffic context; the handler runs on the
/// control executor and answers whenever it likes, once.
class http_server
{
  public:
    using reply = std::function<void(server_response)>;
    using handler = std::function<void(server_request, reply)>;

    http_server(boost::asio::io_context& traffic,
                boost::asio::any_io_executor control, server_limits limits,
                handler serve);
    ~http_server();
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;

    /// @brief Binds and begins to serve.
    /// @param address  "host:port"
    /// @throw (leaf) settings 110 when the address can't be bound
    auto listen(const std::string& address) -> result<void>;

    /// @brief Holds for requests that begin from now on.
    auto set_limits(const server_limits& limits) -> void;

    /// @brief From now on each answer closes its connection.
    auto close_after_responses() -> void;

    /// @brief Takes no new connections and closes those that wait for a
    /// request.
    auto close() -> void;

    /// @brief Requests whose answer is not sent yet.
    [[nodiscard]] auto in_flight() const -> std::size_t;

  private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace pimentoshunt::net
