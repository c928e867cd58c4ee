/// @file
/// Configures and runs a cpp-httplib server that accepts bursts of many
/// connections, and writes JSON and truncated answers. Both roles of the test
/// program use these functions; answers are written on the pool's threads.
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

/// @brief A thread pool that starts a thread only when all others are busy, so
/// that a high limit costs nothing while there is little load.
class on_demand_thread_pool : public httplib::TaskQueue
{
  public:
    /// @param limit  maximum number of threads; further tasks are queued
    explicit on_demand_thread_pool(std::size_t limit);

    auto enqueue(std::function<void()> task) -> void override;
    /// @brief Runs the queued tasks, then joins all threads.
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

/// @brief Sets thread pool, timeouts, keep-alive and TCP_NODELAY of @p server.
/// @param threads  maximum number of pool threads; each serves one connection
auto configure_server(httplib::Server& server, std::size_t threads) -> void;

/// @brief Binds 127.0.0.1:@p port, prints "ready <port>" to standard output
/// and serves until the process ends. @ref configure_server must be called
/// first.
/// @return exit status of the process; 1 if the port cannot be bound
auto serve(httplib::Server& server, int port) -> int;

/// @brief Answers with the JSON document @p text and the HTTP status @p status.
auto answer_json(httplib::Response& response, int status,
                 const std::string& text) -> void;

/// @brief Announces a Content-Length, sends only the first @p sent bytes of
/// @p body and closes the connection.
auto answer_truncated(httplib::Response& response, std::string body,
                      std::size_t sent) -> void;

} // namespace pimentoshunt::standins
