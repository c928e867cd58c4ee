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

auto event_json(const event& what) -> json::object
{
    const auto since_boot =
        std::chrono::duration_cast<std::chrono::microseconds>(
            what.at.time_since_epoch());
    json::object out{{"at_us", since_boot.count()},
                     {"kind", to_string(what.kind)},
                     {"worker", what.worker}};
    put_text(out, "attempt", what.attempt);
    put_text(out, "workload", what.workload);
    put_text(out, "job", what.job);
    if (!what.job.empty())
    {
        out["task"] = what.task;
    }
    if (what.each != resources{})
    {
        out["resources"] = to_json(what.each);
    }
    put_number(out, "connections", what.connections);
    put_number(out, "epoch", static_cast<std::int64_t>(what.epoch));
    put_text(out, "holder", what.holder);
    put_text(out, "partition", what.partition);
    put_text(out, "reason", what.reason);
    put_text(out, "request_id", what.request_id);
    put_text(out, "idempotency_key", what.idempotency_key);
    put_number(out, "status", what.status);
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

auto to_line(const event& what) -> std::string
{
    return json::serialize(event_json(what));
}

event_record::event_record(const std::string& file)
{
    if (!file.empty())
    {
        m_file.open(file, std::ios::app);
    }
}

auto event_record::add(const event& what) -> void
{
    const std::lock_guard lock(m_mutex);
    m_events.push_back(what);
    if (m_file.is_open())
    {
        // Flushed at once, so that it outlives a kill of this process.
        m_file << to_line(what) << std::endl;
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

auto event_record::begin_task(const std::string& job, std::int64_t task)
    -> std::int64_t
{
    const std::lock_guard lock(m_mutex);
    return ++m_tasks[task_key(job, task)];
}

auto event_record::end_task(const std::string& job, std::int64_t task) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_tasks.find(task_key(job, task));
    if (found != m_tasks.end() && --found->second == 0)
    {
        m_tasks.erase(found);
    }
}

auto event_record::lines() -> std::string
{
    const std::lock_guard lock(m_mutex);
    std::string out;
    for (const auto& what : m_events)
    {
        out += to_line(what);
        out += '\n';
    }
    return out;
}

auto event_record::violations() -> std::string
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
