/// @file
/// An HTTP server set up for bursts, on a bounded pool of its own.
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

/// @brief Threads that are started as connections need them.
///
/// The library gives each connection a thread for as long as it is open, so
/// the pool is larger than the number of requests that are let in.
class connection_thread_pool : public httplib::TaskQueue
{
  public:
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
    /// Requests served at once; more are answered 503 at once.
    std::size_t requests = 256;
    /// Connections open at once; more wait in the backlog.
    std::size_t connections = 512;
    std::size_t body_bytes = 64u << 20;
    /// An idle connection is closed after this.
    std::chrono::seconds keep_alive_timeout{5};
    /// Reading or writing may stall for this long.
    std::chrono::seconds io_timeout{30};
};

/// @brief A listening HTTP server; routes are added before start().
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

    /// @brief Counts a request in.
    /// @return false past the limit: answer 503
    auto try_admit() -> bool;
    /// @brief Counts it out.
    auto end_request() -> void;

    /// @brief Requests being served.
    [[nodiscard]] auto in_flight() const noexcept -> std::size_t
    {
        return m_in_flight;
    }

    /// @brief Bytes of the longest body.
    [[nodiscard]] auto body_limit() const noexcept -> std::size_t
    {
        return m_limits.body_bytes;
    }

    /// @brief Binds and serves on threads of its own.
    /// @throw (leaf) settings 110 when the address can't be bound
    auto start(const std::string& host, int port) -> result<void>;

    /// @brief Closes the port, lets running requests end.
    auto stop() -> void;

  private:
    listener_limits m_limits;
    keep_alive_server m_server;
    std::atomic<std::size_t> m_in_flight{0};
    std::thread m_thread;
};

} // namespace pimentoshunt::entry
