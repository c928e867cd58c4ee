/// @file
/// A cpp-httplib server set up for bursts: backlog, pool, keep-alive.
#pragma once

#include <httplib.h>

#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <deque>              // deque
#include <functional>         // function
#include <mutex>              // mutex
#include <string>             // string
#include <thread>             // thread
#include <vector>             // vector

namespace pimentoshunt::standins
{

/// @brief A pool that starts a thread only when all others are busy, so that
/// a high limit costs nothing in quiet.
class on_demand_thread_pool : public httplib::TaskQueue
{
  public:
    /// @param limit  most threads; further tasks wait
    explicit on_demand_thread_pool(std::size_t limit);

    auto enqueue(std::function<void()> task) -> void override;
    auto shutdown() -> void override;

  private:
    auto run_tasks() -> void;

    std::mutex m_mutex;
    std::condition_variable m_task_available;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_limit;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

/// @brief Sets pool, timeouts, keep-alive and TCP_NODELAY of @p server.
auto configure_server(httplib::Server& server, std::size_t threads) -> void;

/// @brief Binds 127.0.0.1:@p port, prints "ready <port>" to standard output
/// and serves until the process ends; call @ref configure_server before.
/// @return the process's exit status
auto serve(httplib::Server& server, int port) -> int;

/// @brief Answers with JSON text.
auto answer_json(httplib::Response& response, int status,
                 const std::string& text) -> void;

/// @brief Announces a body, sends the first @p sent bytes of @p body and
/// closes the connection.
auto answer_truncated(httplib::Response& response, std::string body,
                      std::size_t sent) -> void;

} // namespace pimentoshunt::standins
