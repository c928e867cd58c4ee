/// @file
/// State of one simulated worker: accepted epochs, running attempts and ended
/// attempts that are remembered, as docs/worker-contract.md requires. Called by
/// worker_service from HTTP handlers and from its expiry thread.
#pragma once

#include "record.hpp"

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/resources.hpp>
#include <pimentoshunt/worker/messages.hpp>

#include <boost/json.hpp> // object

#include <condition_variable> // condition_variable
#include <cstdint>            // int64_t
#include <deque>              // deque
#include <map>                // map
#include <mutex>              // mutex
#include <set>                // set
#include <string>             // string
#include <tuple>              // tie
#include <unordered_map>      // unordered_map
#include <vector>             // vector

namespace pimentoshunt::standins
{

/// @brief Fixed properties of a worker.
struct worker_config
{
    std::string id;
    std::string base_url;
    std::string data_centre;
    std::string rack;
    resources capacity;
    /// Maximum number of concurrent attempts.
    std::int64_t connections = 64;
    /// Whether a start that would exceed capacity or connections is refused;
    /// otherwise the attempt starts and a violation is recorded.
    bool enforce_capacity = false;
    /// How long ended and revoked attempts are remembered, at least.
    milliseconds ended_retention{600'000};
};

/// @brief Faults that a test injects into a worker.
struct worker_faults
{
    bool leaving = false;
    /// Whether a leaving worker itself refuses starts.
    bool refuse_when_leaving = true;
    /// Requests are answered with status 500 at once, and tasks end at once
    /// with exit status 1.
    bool fail = false;
    /// No call is answered until this fault is cleared.
    bool hang = false;
    /// Added to the run time of every request and task.
    milliseconds added_run_time{0};
};

/// @brief Reason for which a start was refused; none if it was accepted.
enum class refusal_reason
{
    none,
    fenced,
    revoked,
    duplicate,
    capacity,
    leaving
};

/// @brief The value of the Pimentoshunt-Refused header.
[[nodiscard]] auto to_string(refusal_reason refusal) -> std::string;

/// @brief A request or a task to start.
struct start_request
{
    std::string attempt;
    std::string workload;
    /// Empty for a caller's request.
    std::string job;
    std::int64_t task = 0;
    worker::epoch_number epoch = 0;
    std::string partition;
    worker::epoch_number partition_epoch = 0;
    resources each;
    std::string request_id;
    std::string idempotency_key;
    /// Lease, run time and exit status are set for tasks only.
    milliseconds lease{0};
    milliseconds run_time{0};
    std::int64_t exit = 0;
};

/// @brief An attempt's state, as the worker knows it.
struct attempt_info
{
    worker::attempt_state state = worker::attempt_state::revoked;
    /// Exit status of a finished attempt.
    std::int64_t exit = 0;
};

/// @brief Encodes an attempt's state as it is written on the wire.
[[nodiscard]] auto to_json(const attempt_info& info) -> boost::json::object;

/// @brief One worker's state. Thread-safe. Callers pass the current time to
/// most functions.
class worker_model
{
  public:
    /// @param record  receives all events; must outlive this object
    worker_model(worker_config config, event_record& record);

    [[nodiscard]] auto config() const -> const worker_config&;
    [[nodiscard]] auto faults() -> worker_faults;
    auto set_faults(const worker_faults& faults, time_point now) -> void;
    /// @brief Blocks while the worker hangs.
    auto wait_while_hanging() -> void;

    /// @brief Accepts a higher epoch, or the current one from the same holder.
    /// @return whether the epoch was accepted
    auto fence(worker::epoch_number epoch, const std::string& holder,
               time_point now) -> bool;
    /// @brief Accepts an epoch of a partition that is not lower than the known
    /// one.
    /// @return whether the epoch was accepted
    auto fence_partition(const std::string& partition,
                         worker::epoch_number epoch, time_point now) -> bool;

    /// @brief Starts an attempt, or refuses to.
    /// @return refusal_reason::none if the attempt has started
    auto start(const start_request& request, time_point now) -> refusal_reason;
    /// @brief Blocks for the run time of a request, or until it is stopped.
    /// @return whether the request was stopped before its run time was over
    auto wait_run_time(const std::string& attempt, milliseconds run_time)
        -> bool;
    /// @brief Ends a running request with the HTTP status @p status; does
    /// nothing if the request no longer runs.
    auto finish_request(const std::string& attempt, std::int64_t status,
                        time_point now) -> void;

    /// @brief Sets the leases of running tasks to end @p lease after @p now.
    /// @return the attempts that are not running
    auto renew(const std::vector<std::string>& attempts, milliseconds lease,
               time_point now) -> std::vector<std::string>;
    /// @brief Looks up an attempt; revokes an unknown one, so that a later
    /// start of it is refused.
    auto revoke(const std::string& attempt, time_point now) -> attempt_info;
    /// @brief Ends a running attempt; otherwise does the same as @ref revoke.
    /// @param end_kind  event_kind::stop or event_kind::checkpoint
    auto stop(const std::string& attempt, event_kind end_kind, time_point now)
        -> attempt_info;
    /// @brief Sets the speed of a running task; 0 percent pauses the task.
    /// For a request, the call is only recorded.
    /// @return whether the attempt is running
    auto throttle(const std::string& attempt, std::int64_t percent,
                  time_point now) -> bool;

    /// @brief Ends the tasks whose run time or lease is over at @p now.
    auto expire(time_point now) -> void;

    /// @brief The state report as it is written on the wire.
    /// @param partition  lists only the attempts of this partition; all
    ///                   attempts if empty
    [[nodiscard]] auto make_state_report(const std::string& partition = {})
        -> boost::json::object;

  private:
    struct running_entry
    {
        start_request request;
        /// Time of the start or of the last throttle call.
        time_point progress_at;
        /// Run time at full speed that was left at @c progress_at.
        milliseconds work_left{0};
        std::int64_t percent = 100;
        time_point lease_until;
        /// Time of the entry in m_deadlines: the earlier one of the end of
        /// the run time and the end of the lease.
        time_point due;
    };

    struct ended_attempt
    {
        time_point at;
        std::string attempt;
    };

    struct deadline
    {
        time_point at;
        std::string attempt;

        friend auto operator<(const deadline& left, const deadline& right)
            -> bool
        {
            return std::tie(left.at, left.attempt) <
                   std::tie(right.at, right.attempt);
        }
    };

    using running_map = std::unordered_map<std::string, running_entry>;

    [[nodiscard]] auto find_refusal(const start_request& request) const
        -> refusal_reason;
    [[nodiscard]] auto is_fenced(const start_request& request) const -> bool;
    auto begin_attempt(const start_request& request, time_point now) -> void;
    auto look_up_or_revoke(const std::string& attempt, time_point now)
        -> attempt_info;
    auto check_limits(const event& started) -> void;
    auto schedule(const std::string& attempt, running_entry& entry) -> void;
    auto unschedule(const std::string& attempt, const running_entry& entry)
        -> void;
    auto end(running_map::iterator entry, event_kind end_kind,
             attempt_info info, time_point now) -> void;
    auto remember_ended(const std::string& attempt, attempt_info info,
                        time_point now) -> void;
    [[nodiscard]] auto make_attempt_event(const start_request& request,
                                          event_kind kind, time_point now) const
        -> event;
    [[nodiscard]] auto make_event(event_kind kind, time_point now) const
        -> event;

    const worker_config m_config;
    event_record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    worker_faults m_faults;
    worker::epoch_number m_epoch = 0;
    std::string m_holder;
    std::map<std::string, worker::epoch_number> m_partitions;
    running_map m_running;
    std::set<deadline> m_deadlines;
    std::unordered_map<std::string, attempt_info> m_ended;
    /// The attempts of m_ended in the order in which they ended or were
    /// revoked.
    std::deque<ended_attempt> m_ended_order;
    resources m_used;
};

} // namespace pimentoshunt::standins
