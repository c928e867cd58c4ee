/// @file
/// Interface of the worker agent as used by the rest of the program: message
/// types, error IDs and the concept of a worker client.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/error.hpp>
#include <pimentoshunt/worker/messages.hpp>

#include <concepts> // same_as
#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::worker
{

/// Error ID: the request did not reach the worker, so nothing has run.
inline constexpr int not_sent = 401;
/// Error ID: the worker rejected the request with a client error status.
inline constexpr int call_refused = 402;
/// Error ID: it is unknown whether the request took effect at the worker.
inline constexpr int outcome_unknown = 403;

/// @brief Whether a failed call is known to have had no effect at the worker.
[[nodiscard]] inline auto certainly_not_run(const error& fault) -> bool
{
    return fault.kind == error_kind::worker &&
           (fault.id == not_sent || fault.id == call_refused);
}

/// @brief Reason for which a worker refused to start an attempt; nothing has
///        run.
enum class refusal
{
    /// A different epoch holds the worker or the job's partition.
    fenced,
    /// The attempt was revoked earlier.
    revoked,
    /// The attempt runs or has run on the worker; only this repeated start had
    /// no effect.
    duplicate,
    /// The attempt would exceed the worker's resources.
    capacity,
    /// The worker is leaving and takes no new work.
    leaving,
    /// A reason unknown to this version.
    other
};

/// @brief The refusal's name on the wire.
[[nodiscard]] auto to_string(refusal value) -> std::string;

/// @brief Parses the value of the header Pimentoshunt-Refused.
[[nodiscard]] auto parse_refusal(const std::string& text) -> refusal;

/// @brief The value of the header Pimentoshunt-Resources.
[[nodiscard]] auto to_header(const resources& amounts) -> std::string;

/// @brief Answer to a fence request; contains a complete report even if the
///        fence was refused.
struct fence_outcome
{
    /// Whether the fence was accepted: the worker now refuses starts under any
    /// other epoch.
    bool accepted = false;
    state_report report;
};

/// @brief One task that runs on a worker.
struct running_task
{
    attempt_id attempt;
    job_id job;
    std::int64_t task = 0;
    workload_name workload;
    resources each;
};

/// @brief Answer to a fence request for one job partition.
struct partition_fence_outcome
{
    /// Whether the fence was accepted: the worker now refuses lower epochs of
    /// the partition.
    bool accepted = false;
    /// All tasks of the partition that run on the worker.
    std::vector<running_task> running;
};

/// @brief Request to start a task.
struct task_start
{
    attempt_id attempt;
    workload_name workload;
    job_id job;
    std::int64_t task = 0;
    /// The epoch under which the placement was granted.
    epoch_number epoch = 0;
    std::string partition;
    std::uint64_t partition_epoch = 0;
    resources each;
    milliseconds lease{10'000};
    milliseconds run_time{1'000};
    std::string body;
};

/// @brief The worker's answer to a start request.
struct start_outcome
{
    /// Reason of the refusal; nullopt if the task was started.
    std::optional<refusal> refused;
};

/// @brief Result of looking up one attempt.
struct attempt_report
{
    attempt_state state = attempt_state::running;
    /// The task's exit status, once finished.
    std::optional<int> exit;
};

/// @brief Concept of a worker client; satisfied by http_worker and by the test
///        fakes. @p url is the worker's base URL. All calls fail with errors
///        of kind worker and ID 401, 402 or 403.
template<class T>
concept port = requires(T& client, const std::string& url,
                        const std::string& text, const attempt_id& attempt,
                        const std::vector<attempt_id>& attempts,
                        const task_start& start, epoch_number epoch,
                        milliseconds lease, int percent)
{
    {
        client.fence(url, epoch, text)
        } -> std::same_as<result<fence_outcome>>;
    {
        client.state(url)
        } -> std::same_as<result<state_report>>;
    {
        client.start_task(url, start)
        } -> std::same_as<result<start_outcome>>;
    // Returns the attempts that no longer run.
    {
        client.renew(url, attempts, lease)
        } -> std::same_as<result<std::vector<attempt_id>>>;
    {
        client.partition_fence(url, text, epoch)
        } -> std::same_as<result<partition_fence_outcome>>;
    {
        client.revoke(url, attempt)
        } -> std::same_as<result<attempt_report>>;
    {
        client.stop(url, attempt)
        } -> std::same_as<result<void>>;
    {
        client.checkpoint(url, attempt)
        } -> std::same_as<result<void>>;
    {
        client.throttle(url, attempt, percent)
        } -> std::same_as<result<void>>;
};

} // namespace pimentoshunt::worker
