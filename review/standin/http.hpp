/// @file
/// A small blocking HTTP/1.1 server, one thread for each connection, and a
/// client that opens a connection for each request.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review
{

struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_response
{
    int status = 200;
    std::string body;
};

class http_server
{
  public:
    /// Returns nothing to leave the request without an answer.
    using handler = std::function<std::optional<http_response>(
        const http_request&, const std::function<bool()>& connected)>;

    explicit http_server(handler serve) : m_serve(std::move(serve))
    {
    }
    ~http_server()
    {
        stop();
    }
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;

    /// @return false if the port can't be bound
    auto start(int port) -> bool;
    /// @brief Closes the port and resets all connections; returns when no
    /// request is being served any more.
    auto stop() -> void;
    [[nodiscard]] auto port() const -> int
    {
        return m_port;
    }
    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

  private:
    auto accept_connections(int listener) -> void;
    auto serve_connection(int socket) -> void;

    handler m_serve;
    int m_port = 0;
    std::atomic<int> m_listener{-1};
    std::atomic<bool> m_running{false};
    std::atomic<int> m_threads{0};
    std::mutex m_mutex;
    std::set<int> m_sockets;
    std::thread m_acceptor;
};

/// @brief A port of the loopback interface that is free now.
[[nodiscard]] auto free_port() -> int;

/// @brief Sends a request over a new connection.
/// @return nothing without a complete answer in time
[[nodiscard]] auto http_call(const std::string& address,
                             const std::string& method, const std::string& path,
                             const std::string& host, const std::string& body,
                             std::chrono::milliseconds timeout)
    -> std::optional<http_response>;

} // namespace review
