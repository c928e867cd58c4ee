/// @file
/// HTTP client for the worker agent's interface in docs/worker-contract.md,
/// except for forwarding callers' requests.
#pragma once

#include <pimentoshunt/platform/http_pool.hpp>
#include <pimentoshunt/worker/port.hpp>

#include <cstddef>       // size_t
#include <memory>        // shared_ptr
#include <mutex>         // mutex
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::worker
{

/// @brief Limits and timeouts of the worker client.
struct http_worker_limits
{
    /// Concurrent calls per worker; further calls wait for a connection.
    std::size_t connections = 2;
    milliseconds connect_timeout{500};
    /// Timeout of one call, including the wait for a connection.
    milliseconds timeout{2'000};
    /// Timeout of a stop or checkpoint, which returns once the task has ended.
    milliseconds stop_timeout{30'000};
};

/// @brief A client for all workers; thread-safe. Calls block. Workers are
///        identified by their base URLs.
class http_worker
{
  public:
    explicit http_worker(http_worker_limits limits = {});

    /// @brief Claims the worker for an epoch and returns its state report.
    /// @throw (leaf) worker 401 to 403, as does each call below
    [[nodiscard]] auto fence(const std::string& url, epoch_number epoch,
                             const std::string& holder)
        -> result<fence_outcome>;

    /// @brief Reads the worker's complete state report.
    [[nodiscard]] auto state(const std::string& url) -> result<state_report>;

    /// @brief Starts a task under a lease.
    /// @note The caller has to count the lease from before this call.
    [[nodiscard]] auto start_task(const std::string& url,
                                  const task_start& start)
        -> result<start_outcome>;

    /// @brief Renews leases.
    /// @return the elements of @p attempts that no longer run
    [[nodiscard]] auto renew(const std::string& url,
                             const std::vector<attempt_id>& attempts,
                             milliseconds lease)
        -> result<std::vector<attempt_id>>;

    /// @brief Claims the tasks of a job partition and returns those that run.
    [[nodiscard]] auto partition_fence(const std::string& url,
                                       const std::string& partition,
                                       std::uint64_t epoch)
        -> result<partition_fence_outcome>;

    /// @brief Looks up an attempt; if it has not started, it never will.
    [[nodiscard]] auto revoke(const std::string& url, const attempt_id& attempt)
        -> result<attempt_report>;

    /// @brief Stops a task; returns after it has stopped.
    [[nodiscard]] auto stop(const std::string& url, const attempt_id& attempt)
        -> result<void>;

    /// @brief Saves a task's progress and stops it.
    [[nodiscard]] auto checkpoint(const std::string& url,
                                  const attempt_id& attempt) -> result<void>;

    /// @brief Limits a task to @p percent percent of its processors.
    [[nodiscard]] auto throttle(const std::string& url,
                                const attempt_id& attempt, int percent)
        -> result<void>;

    /// @brief Closes the connections to a worker that no longer exists.
    auto forget(const std::string& url) -> void;

  private:
    [[nodiscard]] auto pool_of(const std::string& url)
        -> std::shared_ptr<platform::http_pool>;
    [[nodiscard]] auto call(const std::string& url,
                            const platform::http_call& request)
        -> result<platform::http_exchange>;
    [[nodiscard]] auto post(const std::string& url, const std::string& path,
                            std::string body)
        -> result<platform::http_exchange>;
    [[nodiscard]] auto
    call_attempt_action(const std::string& url, const attempt_id& attempt,
                        const std::string& action, std::string body,
                        milliseconds timeout) -> result<void>;

    const http_worker_limits m_limits;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::shared_ptr<platform::http_pool>>
        m_pools;
};

} // namespace pimentoshunt::worker
