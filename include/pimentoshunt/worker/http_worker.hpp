/// @file
/// The worker agent's interface over HTTP, as docs/worker-contract.md
/// describes it, but for the passing on of callers' requests.
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

/// @brief Bounds of the worker client.
struct http_worker_limits
{
    /// Calls under way at once to one worker; more wait.
    std::size_t connections = 2;
    milliseconds connect_timeout{500};
    /// One call, waiting for a connection too.
    milliseconds timeout{2'000};
    /// A stop or a checkpoint, which answers once the task has ended.
    milliseconds stop_timeout{30'000};
};

/// @brief A client for all workers; safe for use by many threads. Calls block.
class http_worker
{
  public:
    explicit http_worker(http_worker_limits limits = {});

    /// @brief Claims the worker for an epoch; also reports what runs.
    /// @throw (leaf) worker 401 to 403, as does each call below
    [[nodiscard]] auto fence(const std::string& url, epoch_number epoch,
                             const std::string& holder)
        -> result<fence_outcome>;

    /// @brief The worker's own complete report.
    [[nodiscard]] auto state(const std::string& url) -> result<state_report>;

    /// @brief Starts a task under a lease.
    /// @note The lease counts from before this call.
    [[nodiscard]] auto start_task(const std::string& url,
                                  const task_start& start)
        -> result<start_outcome>;

    /// @brief Renews leases.
    /// @return those of @p attempts that no longer run
    [[nodiscard]] auto renew(const std::string& url,
                             const std::vector<attempt_id>& attempts,
                             milliseconds lease)
        -> result<std::vector<attempt_id>>;

    /// @brief Claims the tasks of a job partition; also reports them.
    [[nodiscard]] auto partition_fence(const std::string& url,
                                       const std::string& partition,
                                       std::uint64_t epoch)
        -> result<partition_fence_outcome>;

    /// @brief Looks an attempt up and, when it never started, bars it for good.
    [[nodiscard]] auto revoke(const std::string& url, const attempt_id& attempt)
        -> result<attempt_report>;

    /// @brief Stops a task; returns once it has stopped.
    [[nodiscard]] auto stop(const std::string& url, const attempt_id& attempt)
        -> result<void>;

    /// @brief Saves a task's progress and stops it.
    [[nodiscard]] auto checkpoint(const std::string& url,
                                  const attempt_id& attempt) -> result<void>;

    /// @brief Holds a task to a share of its processors.
    [[nodiscard]] auto throttle(const std::string& url,
                                const attempt_id& attempt, int percent)
        -> result<void>;

    /// @brief Closes the connections to a worker that is gone.
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
