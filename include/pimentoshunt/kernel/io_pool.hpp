/// @file
/// Thread pool for blocking calls, so that the control thread never blocks.
#pragma once

#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <deque>              // deque
#include <functional>         // function
#include <mutex>              // mutex
#include <thread>             // thread
#include <vector>             // vector

namespace pimentoshunt::kernel
{

/// @brief A call that may block; must not throw.
struct io_call
{
    std::function<void()> run;
};

/// @brief A fixed number of threads that start calls in order of arrival.
class io_pool
{
  public:
    explicit io_pool(std::size_t threads);

    /// @brief Drops queued calls and waits for running calls to end.
    ~io_pool();

    io_pool(const io_pool&) = delete;
    auto operator=(const io_pool&) -> io_pool& = delete;

    /// @brief Queues a call; ignored while the pool is being destroyed.
    auto submit(io_call call) -> void;

  private:
    auto run_calls() -> void;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<io_call> m_calls;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace pimentoshunt::kernel
