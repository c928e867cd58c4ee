/// @file
/// A worker's agent as the rest of the program sees it.
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

/// The request certainly did not reach the worker: nothing has run.
inline constexpr int not_sent = 401;
/// The worker answered that it does not do this.
inline constexpr int call_refused = 402;
/// The request may or may not have reached the worker.
inline constexpr int outcome_unknown = 403;

/// @brief Whether a failed call has certainly had no effect at the worker.
[[nodiscard]] inline auto certainly_not_run(const error& fault) -> bool
{
    return fault.kind == error_kind::worker &&
           (fault.id == not_sent || fault.id == call_refused);
}

/// @brief Why a worker refused to start an attempt; nothing has run.
enum class refusal
{
    /// Another epoch holds the worker, or another one the job's partition.
    fenced,
    /// The attempt was revoked before.
    revoked,
    /// The attempt runs or ran here: only this very start has had no effect.
    duplicate,
    /// It would take the worker over its resources.
    capacity,
    /// The worker takes no new work.
    leaving,
    /// A reason that this version does not know.
    other
};

/// @brief The refusal's name on the wire.
[[nodiscard]] auto to_string(refusal value) -> std::string;

/// @brief Reads the value of the header Pimentoshunt-Refused.
[[nodiscard]] auto parse_refusal(const std::string& text) -> refusal;

/// @brief The value of the header Pimentoshunt-Resources.
[[nodiscard]] auto to_header(const resources& amounts) -> std::string;

/// @brief The answer to a fence; the report is complete in either case.
struct fence_outcome
{
    /// Whether the worker now refuses starts under any other epoch.
    bool accepted = false;
    state_report report;
};

/// @brief One task that runs at a worker.
struct running_task
{
    attempt_id attempt;
    job_id job;
    std::int64_t task = 0;
    workload_name workload;
    resources each;
};

/// @brief The answer to a fence of one job partition.
struct partition_fence_outcome
{
    /// Whether the worker now refuses the partition's lower epochs.
    bool accepted = false;
    /// Every task of the partition that runs there.
    std::vector<running_task> running;
};

/// @brief What a worker is told to start.
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

/// @brief The worker's own answer to a start.
struct start_outcome
{
    /// Nothing when started.
    std::optional<refusal> refused;
};

/// @brief What a look-up of one attempt showed.
struct attempt_report
{
    attempt_state state = attempt_state::running;
    /// The task's exit status, once finished.
    std::optional<int> exit;
};

/// @brief What every worker client, fakes among them, offers; @p url is the
/// worker's base URL. Errors: kind worker; 401, 402 or 403.
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
    // Those of the attempts that no longer run.
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
