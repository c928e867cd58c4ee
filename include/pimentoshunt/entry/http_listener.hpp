/// @file
/// A listening HTTP server with its own bounded thread pool, configured for
/// bursts of connections. Used for the callers' and the operators' port.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/keep_alive_server.hpp>
#include <pimentoshunt/error.hpp>

#include <httplib.h>

#include <atomic>             // atomic
#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <deque>              // deque
#include <functional>         // function
#include <memory>             // unique_ptr
#include <mutex>              // mutex
#include <string>             // string
#include <thread>             // thread
#include <vector>             // vector

namespace pimentoshunt::entry
{

/// @brief A thread pool that starts threads on demand, up to a limit.
///
/// The HTTP library occupies one thread for each connection while the
/// connection is open, so the pool has to be larger than the number of
/// requests that are served at once.
class connection_thread_pool : public httplib::TaskQueue
{
  public:
    /// @param limit  most threads
    explicit connection_thread_pool(std::size_t limit) : m_limit(limit)
    {
    }

    auto enqueue(std::function<void()> task) -> void override;
    auto shutdown() -> void override;

  private:
    auto work() -> void;

    std::size_t m_limit;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

/// @brief Limits of a listener.
struct listener_limits
{
    /// Requests served at the same time; further ones get 503 immediately.
    std::size_t requests = 256;
    /// Connections open at the same time; further ones wait in the backlog.
    std::size_t connections = 512;
    /// Largest request body.
    std::size_t body_bytes = 64u << 20;
    /// An idle connection is closed after this time.
    std::chrono::seconds keep_alive_timeout{5};
    /// A read or write that makes no progress fails after this time.
    std::chrono::seconds io_timeout{30};
};

/// @brief A listening HTTP server. Routes are added to server() before
/// start().
class http_listener
{
  public:
    explicit http_listener(listener_limits limits);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    auto operator=(const http_listener&) -> http_listener& = delete;

    [[nodiscard]] auto server() -> httplib::Server&
    {
        return m_server;
    }

    /// @brief Admits a request if fewer than listener_limits::requests are
    /// being served; an admitted request has to call end_request().
    /// @return false when the limit is reached; the caller gets 503
    auto try_admit() -> bool;
    /// @brief Ends an admitted request.
    auto end_request() -> void;

    /// @brief Number of admitted requests that have not ended.
    [[nodiscard]] auto in_flight() const noexcept -> std::size_t
    {
        return m_in_flight;
    }

    /// @brief Largest request body in bytes.
    [[nodiscard]] auto body_limit() const noexcept -> std::size_t
    {
        return m_limits.body_bytes;
    }

    /// @brief Binds the address and serves requests on the listener's own
    /// threads. Returns once the server accepts connections.
    /// @throw (leaf) settings 110 when the address can't be bound
    auto start(const std::string& host, int port) -> result<void>;

    /// @brief Closes the port and waits for the requests being served.
    auto stop() -> void;

  private:
    listener_limits m_limits;
    keep_alive_server m_server;
    std::atomic<std::size_t> m_in_flight{0};
    std::thread m_thread;
};

} // namespace pimentoshunt::entry
