#include "record.hpp"

#include "json_access.hpp"

#include <array>  // array
#include <chrono> // duration_cast, microseconds

namespace pimentoshunt::standins
{
namespace
{

constexpr std::array<const char*, 14> kind_names{"up",
                                                 "start",
                                                 "end",
                                                 "refused",
                                                 "revoked",
                                                 "fence",
                                                 "fence_refused",
                                                 "partition_fence",
                                                 "partition_fence_refused",
                                                 "lapse",
                                                 "stop",
                                                 "checkpoint",
                                                 "throttle",
                                                 "leaving"};

auto put_text(json::object& out, const char* key, const std::string& text)
    -> void
{
    if (!text.empty())
    {
        out[key] = text;
    }
}

auto put_number(json::object& out, const char* key, std::int64_t number) -> void
{
    if (number != 0)
    {
        out[key] = number;
    }
}

auto event_json(const event& recorded_event) -> json::object
{
    const auto since_boot =
        std::chrono::duration_cast<std::chrono::microseconds>(
            recorded_event.at.time_since_epoch());
    json::object out{{"at_us", since_boot.count()},
                     {"kind", to_string(recorded_event.kind)},
                     {"worker", recorded_event.worker}};
    put_text(out, "attempt", recorded_event.attempt);
    put_text(out, "workload", recorded_event.workload);
    put_text(out, "job", recorded_event.job);
    if (!recorded_event.job.empty())
    {
        out["task"] = recorded_event.task;
    }
    if (recorded_event.each != resources{})
    {
        out["resources"] = to_json(recorded_event.each);
    }
    put_number(out, "connections", recorded_event.connections);
    put_number(out, "epoch", static_cast<std::int64_t>(recorded_event.epoch));
    put_text(out, "holder", recorded_event.holder);
    put_text(out, "partition", recorded_event.partition);
    put_text(out, "reason", recorded_event.reason);
    put_text(out, "request_id", recorded_event.request_id);
    put_text(out, "idempotency_key", recorded_event.idempotency_key);
    put_number(out, "status", recorded_event.status);
    return out;
}

auto task_key(const std::string& job, std::int64_t task) -> std::string
{
    return job + '/' + std::to_string(task);
}

} // namespace

auto to_string(event_kind kind) -> std::string
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

auto to_json_line(const event& recorded_event) -> std::string
{
    return json::serialize(event_json(recorded_event));
}

event_record::event_record(const std::string& file)
{
    if (!file.empty())
    {
        m_file.open(file, std::ios::app);
    }
}

auto event_record::add(const event& recorded_event) -> void
{
    const std::lock_guard lock(m_mutex);
    m_events.push_back(recorded_event);
    if (m_file.is_open())
    {
        // Flushed at once, so that no event is lost when this process is
        // killed.
        m_file << to_json_line(recorded_event) << std::endl;
    }
}

auto event_record::add_violation(const std::string& kind, const event& at)
    -> void
{
    auto violation = event_json(at);
    violation["event"] = violation.at("kind");
    violation["kind"] = kind;
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(std::move(violation));
}

auto event_record::count_task_start(const std::string& job, std::int64_t task)
    -> std::int64_t
{
    const std::lock_guard lock(m_mutex);
    return ++m_running_tasks[task_key(job, task)];
}

auto event_record::count_task_end(const std::string& job, std::int64_t task)
    -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_running_tasks.find(task_key(job, task));
    if (found != m_running_tasks.end() && --found->second == 0)
    {
        m_running_tasks.erase(found);
    }
}

auto event_record::json_lines() -> std::string
{
    const std::lock_guard lock(m_mutex);
    std::string out;
    for (const auto& recorded_event : m_events)
    {
        out += to_json_line(recorded_event);
        out += '\n';
    }
    return out;
}

auto event_record::violations_json() -> std::string
{
    const std::lock_guard lock(m_mutex);
    return json::serialize(json::object{{"violations", m_violations}});
}

auto event_record::clear() -> void
{
    const std::lock_guard lock(m_mutex);
    m_events.clear();
    m_violations.clear();
}

} // namespace pimentoshunt::standins
