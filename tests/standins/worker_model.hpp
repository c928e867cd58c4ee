/// @file
/// One worker of the stand-in: fence, running attempts and memory of ended
/// ones, as docs/worker-contract.md asks.
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

/// @brief What a worker offers, and how it behaves all its life.
struct worker_config
{
    std::string id;
    std::string base_url;
    std::string data_centre;
    std::string rack;
    resources capacity;
    std::int64_t connections = 64;
    /// Refuse what would exceed capacity; else start it and record a
    /// violation.
    bool enforce_capacity = false;
    /// How long ended and revoked attempts are remembered.
    milliseconds ended_retention{600'000};
};

/// @brief What a test makes a worker do.
struct worker_faults
{
    bool leaving = false;
    /// Whether a leaving worker refuses starts itself.
    bool refuse_when_leaving = true;
    /// Requests are answered 500 at once, tasks end with exit status 1.
    bool fail = false;
    /// No call is answered until this is lifted.
    bool hang = false;
    /// Added to every run time.
    milliseconds added_run_time{0};
};

/// @brief Why a start was refused.
enum class refusal_reason
{
    none,
    fenced,
    revoked,
    duplicate,
    capacity,
    leaving
};

/// @brief The text of the Pimentoshunt-Refused header.
[[nodiscard]] auto to_string(refusal_reason refusal) -> std::string;

/// @brief A request or a task that is to start.
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
    /// For tasks only.
    milliseconds lease{0};
    milliseconds run_time{0};
    std::int64_t exit = 0;
};

/// @brief What the worker knows of an attempt.
struct attempt_info
{
    worker::attempt_state state = worker::attempt_state::revoked;
    std::int64_t exit = 0;
};

/// @brief The wire form of an attempt's state.
[[nodiscard]] auto to_json(const attempt_info& info) -> boost::json::object;

/// @brief One worker's state; safe to share by threads. Time comes in as an
/// argument.
class worker_model
{
  public:
    /// @param record  must outlive this object
    worker_model(worker_config config, event_record& record);

    [[nodiscard]] auto config() const -> const worker_config&;
    [[nodiscard]] auto faults() -> worker_faults;
    auto set_faults(const worker_faults& faults, time_point now) -> void;
    /// @brief Returns once the worker does not hang.
    auto wait_while_hanging() -> void;

    /// @brief Whether the epoch was accepted.
    auto fence(worker::epoch_number epoch, const std::string& holder,
               time_point now) -> bool;
    /// @brief Whether the partition's epoch was accepted.
    auto fence_partition(const std::string& partition,
                         worker::epoch_number epoch, time_point now) -> bool;

    auto start(const start_request& request, time_point now) -> refusal_reason;
    /// @brief Waits for the run time of a request.
    /// @return whether it was stopped from outside before
    auto wait_run_time(const std::string& attempt, milliseconds run_time)
        -> bool;
    /// @brief Ends a running request with an HTTP status.
    auto finish_request(const std::string& attempt, std::int64_t status,
                        time_point now) -> void;

    /// @brief Renews leases of running attempts.
    /// @return those that do not run
    auto renew(const std::vector<std::string>& attempts, milliseconds lease,
               time_point now) -> std::vector<std::string>;
    auto revoke(const std::string& attempt, time_point now) -> attempt_info;
    /// @brief Ends a running attempt.
    /// @param end_kind  event_kind::stop or event_kind::checkpoint
    auto stop(const std::string& attempt, event_kind end_kind, time_point now)
        -> attempt_info;
    /// @brief Slows a running task; 0 percent pauses it.
    /// @return whether it runs
    auto throttle(const std::string& attempt, std::int64_t percent,
                  time_point now) -> bool;

    /// @brief Ends the tasks whose run time or lease is over.
    auto expire(time_point now) -> void;

    /// @brief The state report.
    /// @param partition  only its tasks, unless empty
    [[nodiscard]] auto make_state_report(const std::string& partition = {})
        -> boost::json::object;

  private:
    struct running_entry
    {
        start_request request;
        time_point progress_at;
        /// Run time at full speed that is left at @c progress_at.
        milliseconds work_left{0};
        std::int64_t percent = 100;
        time_point lease_until;
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
    std::deque<ended_attempt> m_ended_order;
    resources m_used;
};

} // namespace pimentoshunt::standins
