/// @file
/// What the workers of one process saw, and their own judgement of it.
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
    /// The worker came up; carries its capacity and connections.
    worker_started,
    start,
    /// The work ended by itself.
    end,
    /// A start was refused; the reason says why.
    refused,
    revoked,
    fence,
    fence_refused,
    partition_fence,
    partition_fence_refused,
    /// The work ended because its lease ran out.
    lease_expired,
    /// The work ended because it was told to.
    stop,
    checkpoint,
    throttle,
    /// A test set the worker to leaving.
    leaving
};

/// @brief The name that the record uses.
[[nodiscard]] auto to_string(event_kind kind) -> std::string;

/// @brief One line of the record; members that do not apply are empty.
struct event
{
    time_point at;
    event_kind kind = event_kind::start;
    std::string worker;
    std::string attempt;
    std::string workload;
    /// Empty for a caller's request.
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
    /// Exit status of a task, HTTP status of a request.
    std::int64_t status = 0;
};

/// @brief One line of the record, without the line feed; "at_us" counts
/// microseconds of CLOCK_BOOTTIME.
[[nodiscard]] auto to_json_line(const event& recorded_event) -> std::string;

/// @brief Keeps the events of all workers of a process; safe to share by
/// threads.
class event_record
{
  public:
    /// @param file  also appends each line there; none when empty
    explicit event_record(const std::string& file);

    auto add(const event& recorded_event) -> void;

    /// @brief Adds to the workers' own judgement.
    /// @param kind  "over_capacity", "over_connections" or "task_twice"
    auto add_violation(const std::string& kind, const event& at) -> void;

    /// @brief Counts one more run of a task.
    /// @return how many run now
    auto count_task_start(const std::string& job, std::int64_t task)
        -> std::int64_t;
    auto count_task_end(const std::string& job, std::int64_t task) -> void;

    /// @brief All events, one JSON object a line.
    [[nodiscard]] auto json_lines() -> std::string;
    /// @brief {"violations":[{"kind", and the members of the event}..]}
    [[nodiscard]] auto violations_json() -> std::string;
    /// @brief Forgets events and violations, not what runs.
    auto clear() -> void;

  private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::vector<event> m_events;
    boost::json::array m_violations;
    std::unordered_map<std::string, std::int64_t> m_running_tasks;
};

} // namespace pimentoshunt::standins
