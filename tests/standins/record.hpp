/// @file
/// Record of the events at all workers of one process, and of the violations
/// that the workers themselves detected. Tests read the record over HTTP or
/// from a file.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/resources.hpp>
#include <pimentoshunt/worker/messages.hpp>

#include <boost/json.hpp> // object

#include <cstdint>       // int64_t
#include <fstream>       // ofstream
#include <mutex>         // mutex
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::standins
{

/// @brief What happened at a worker.
enum class event_kind
{
    /// The worker started; the event carries its capacity and connections.
    worker_started,
    start,
    /// The attempt ended by itself.
    end,
    /// A start was refused; the event carries the reason.
    refused,
    /// An attempt that had not started was revoked.
    revoked,
    /// An epoch was accepted; the event carries epoch and holder.
    fence,
    fence_refused,
    /// An epoch of a partition was accepted.
    partition_fence,
    partition_fence_refused,
    /// The attempt ended because its lease expired.
    lease_expired,
    /// The attempt ended because of a stop call.
    stop,
    /// The attempt ended because of a checkpoint call.
    checkpoint,
    throttle,
    /// A test made the worker report that it is leaving.
    leaving
};

/// @brief The name of the kind in the record.
[[nodiscard]] auto to_string(event_kind kind) -> std::string;

/// @brief One event; members that do not apply are empty or 0.
struct event
{
    time_point at;
    event_kind kind = event_kind::start;
    std::string worker;
    std::string attempt;
    std::string workload;
    /// Empty for a caller's request, which belongs to no job.
    std::string job;
    std::int64_t task = 0;
    resources each;
    std::int64_t connections = 0;
    worker::epoch_number epoch = 0;
    std::string holder;
    std::string partition;
    std::string reason;
    std::string request_id;
    std::string idempotency_key;
    /// Exit status of a task, HTTP status of a request, or percentage of a
    /// throttle event.
    std::int64_t status = 0;
};

/// @brief Encodes an event as a JSON object without a line feed; "at_us" is in
/// microseconds of CLOCK_BOOTTIME.
[[nodiscard]] auto to_json_line(const event& recorded_event) -> std::string;

/// @brief Stores the events of all workers of a process. Thread-safe.
class event_record
{
  public:
    /// @param file  path of a file to which each event is also appended;
    ///              empty for none
    explicit event_record(const std::string& file);

    auto add(const event& recorded_event) -> void;

    /// @brief Records a violation that a worker detected.
    /// @param kind  "over_capacity", "over_connections" or "task_twice"
    /// @param at  the event that caused the violation
    auto add_violation(const std::string& kind, const event& at) -> void;

    /// @brief Counts a started run of a task.
    /// @return number of runs of this task that are running now
    auto count_task_start(const std::string& job, std::int64_t task)
        -> std::int64_t;
    /// @brief Counts an ended run of a task.
    auto count_task_end(const std::string& job, std::int64_t task) -> void;

    /// @brief All events, one JSON object per line.
    [[nodiscard]] auto json_lines() -> std::string;
    /// @brief All violations as {"violations":[{"kind","event",..}..]}, each
    /// with the other members of its event; "event" is the kind of the event.
    [[nodiscard]] auto violations_json() -> std::string;
    /// @brief Deletes events and violations, but keeps the counts of running
    /// tasks.
    auto clear() -> void;

  private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::vector<event> m_events;
    boost::json::array m_violations;
    std::unordered_map<std::string, std::int64_t> m_running_tasks;
};

} // namespace pimentoshunt::standins
