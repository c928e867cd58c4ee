#include "worker_model.hpp"

#include "json_access.hpp"

#include <algorithm> // min, max
#include <chrono>    // duration_cast
#include <utility>   // move

namespace pimentoshunt::standins
{
namespace
{

constexpr std::int64_t full_speed_percent = 100;
constexpr std::int64_t failure_exit_status = 1;
constexpr std::int64_t min_server_error_status = 500;

auto state_name(worker::attempt_state state) -> std::string
{
    switch (state)
    {
    case worker::attempt_state::revoked:
        return "revoked";
    case worker::attempt_state::running:
        return "running";
    case worker::attempt_state::finished:
        return "finished";
    case worker::attempt_state::stopped:
        return "stopped";
    }
    return {};
}

auto running_json(const start_request& request) -> json::object
{
    return {{"attempt", request.attempt},
            {"workload", request.workload},
            {"job", request.job},
            {"task", request.task},
            {"resources", to_json(request.each)}};
}

} // namespace

auto to_string(refusal_reason refusal) -> std::string
{
    switch (refusal)
    {
    case refusal_reason::none:
        return "none";
    case refusal_reason::fenced:
        return "fenced";
    case refusal_reason::revoked:
        return "revoked";
    case refusal_reason::duplicate:
        return "duplicate";
    case refusal_reason::capacity:
        return "capacity";
    case refusal_reason::leaving:
        return "leaving";
    }
    return {};
}

auto to_json(const attempt_info& info) -> json::object
{
    json::object out{{"state", state_name(info.state)}};
    if (info.state == worker::attempt_state::finished)
    {
        out["exit"] = info.exit;
    }
    return out;
}

worker_model::worker_model(worker_config config, event_record& record)
    : m_config(std::move(config)), m_record(record)
{
    auto worker_started =
        make_event(event_kind::worker_started, boot_clock::now());
    worker_started.each = m_config.capacity;
    worker_started.connections = m_config.connections;
    m_record.add(worker_started);
}

auto worker_model::config() const -> const worker_config&
{
    return m_config;
}

auto worker_model::faults() -> worker_faults
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

auto worker_model::set_faults(const worker_faults& faults, time_point now)
    -> void
{
    const std::lock_guard lock(m_mutex);
    if (faults.leaving && !m_faults.leaving)
    {
        m_record.add(make_event(event_kind::leaving, now));
    }
    m_faults = faults;
    m_changed.notify_all();
}

auto worker_model::wait_while_hanging() -> void
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock,
                   [this]
                   {
                       return !m_faults.hang;
                   });
}

auto worker_model::fence(worker::epoch_number epoch, const std::string& holder,
                         time_point now) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto accepted =
        epoch > m_epoch || (epoch == m_epoch && holder == m_holder);
    auto new_event = make_event(
        accepted ? event_kind::fence : event_kind::fence_refused, now);
    new_event.epoch = epoch;
    new_event.holder = holder;
    m_record.add(new_event);
    if (accepted)
    {
        m_epoch = epoch;
        m_holder = holder;
    }
    return accepted;
}

auto worker_model::fence_partition(const std::string& partition,
                                   worker::epoch_number epoch, time_point now)
    -> bool
{
    const std::lock_guard lock(m_mutex);
    auto& known = m_partitions[partition];
    const auto accepted = epoch >= known;
    auto new_event = make_event(accepted ? event_kind::partition_fence
                                         : event_kind::partition_fence_refused,
                                now);
    new_event.epoch = epoch;
    new_event.partition = partition;
    m_record.add(new_event);
    known = std::max(known, epoch);
    return accepted;
}

auto worker_model::start(const start_request& request, time_point now)
    -> refusal_reason
{
    const std::lock_guard lock(m_mutex);
    const auto refusal = find_refusal(request);
    if (refusal != refusal_reason::none)
    {
        auto new_event = make_attempt_event(request, event_kind::refused, now);
        new_event.reason = to_string(refusal);
        m_record.add(new_event);
        return refusal;
    }
    begin_attempt(request, now);
    return refusal_reason::none;
}

auto worker_model::wait_run_time(const std::string& attempt,
                                 milliseconds run_time) -> bool
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, run_time + m_faults.added_run_time,
                              [&]
                              {
                                  return m_running.count(attempt) == 0;
                              });
}

auto worker_model::finish_request(const std::string& attempt,
                                  std::int64_t status, time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_running.find(attempt);
    if (entry == m_running.end())
    {
        return;
    }
    entry->second.request.exit = status;
    const auto exit =
        status < min_server_error_status ? 0 : failure_exit_status;
    end(entry, event_kind::end, {worker::attempt_state::finished, exit}, now);
}

auto worker_model::renew(const std::vector<std::string>& attempts,
                         milliseconds lease, time_point now)
    -> std::vector<std::string>
{
    expire(now);
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> not_running;
    for (const auto& attempt : attempts)
    {
        const auto entry = m_running.find(attempt);
        if (entry == m_running.end())
        {
            not_running.push_back(attempt);
            continue;
        }
        if (!entry->second.request.job.empty())
        {
            unschedule(attempt, entry->second);
            entry->second.lease_until = now + lease;
            schedule(attempt, entry->second);
        }
    }
    return not_running;
}

auto worker_model::revoke(const std::string& attempt, time_point now)
    -> attempt_info
{
    expire(now);
    const std::lock_guard lock(m_mutex);
    if (m_running.count(attempt) != 0)
    {
        return {worker::attempt_state::running, 0};
    }
    return look_up_or_revoke(attempt, now);
}

auto worker_model::stop(const std::string& attempt, event_kind end_kind,
                        time_point now) -> attempt_info
{
    expire(now);
    const std::lock_guard lock(m_mutex);
    const auto entry = m_running.find(attempt);
    if (entry != m_running.end())
    {
        end(entry, end_kind, {worker::attempt_state::stopped, 0}, now);
        m_changed.notify_all();
        return {worker::attempt_state::stopped, 0};
    }
    // A stop may arrive before the start of its attempt; the attempt is
    // revoked so that the start is refused.
    return look_up_or_revoke(attempt, now);
}

auto worker_model::throttle(const std::string& attempt, std::int64_t percent,
                            time_point now) -> bool
{
    expire(now);
    const std::lock_guard lock(m_mutex);
    const auto found = m_running.find(attempt);
    if (found == m_running.end())
    {
        return false;
    }
    auto& entry = found->second;
    auto new_event =
        make_attempt_event(entry.request, event_kind::throttle, now);
    new_event.status = percent;
    m_record.add(new_event);
    if (entry.request.job.empty())
    {
        return true;
    }
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(now - entry.progress_at);
    const auto work_done = elapsed * entry.percent / full_speed_percent;
    entry.work_left = std::max(entry.work_left - work_done, milliseconds{0});
    entry.progress_at = now;
    unschedule(attempt, entry);
    entry.percent = percent;
    schedule(attempt, entry);
    return true;
}

auto worker_model::expire(time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    while (!m_deadlines.empty() && m_deadlines.begin()->at <= now)
    {
        const auto due = *m_deadlines.begin();
        const auto entry = m_running.find(due.attempt);
        if (due.at == entry->second.lease_until)
        {
            end(entry, event_kind::lease_expired,
                {worker::attempt_state::stopped, 0}, now);
            continue;
        }
        const auto exit = entry->second.request.exit;
        end(entry, event_kind::end, {worker::attempt_state::finished, exit},
            now);
    }
}

auto worker_model::make_state_report(const std::string& partition)
    -> json::object
{
    expire(boot_clock::now());
    const std::lock_guard lock(m_mutex);
    json::array entries;
    for (const auto& [attempt, entry] : m_running)
    {
        if (partition.empty() || entry.request.partition == partition)
        {
            entries.push_back(running_json(entry.request));
        }
    }
    return {{"epoch", m_epoch},
            {"holder", m_holder},
            {"leaving", m_faults.leaving},
            {"running", std::move(entries)}};
}

auto worker_model::find_refusal(const start_request& request) const
    -> refusal_reason
{
    const auto known = m_ended.find(request.attempt);
    if (known != m_ended.end())
    {
        return known->second.state == worker::attempt_state::revoked
                   ? refusal_reason::revoked
                   : refusal_reason::duplicate;
    }
    if (m_running.count(request.attempt) != 0)
    {
        return refusal_reason::duplicate;
    }
    if (is_fenced(request))
    {
        return refusal_reason::fenced;
    }
    if (m_faults.leaving && m_faults.refuse_when_leaving)
    {
        return refusal_reason::leaving;
    }
    const auto fits =
        (m_used + request.each).fits_in(m_config.capacity) &&
        static_cast<std::int64_t>(m_running.size()) < m_config.connections;
    return m_config.enforce_capacity && !fits ? refusal_reason::capacity
                                              : refusal_reason::none;
}

auto worker_model::is_fenced(const start_request& request) const -> bool
{
    if (request.epoch == 0 || request.epoch != m_epoch)
    {
        return true;
    }
    const auto known = m_partitions.find(request.partition);
    return known != m_partitions.end() &&
           request.partition_epoch < known->second;
}

auto worker_model::begin_attempt(const start_request& request, time_point now)
    -> void
{
    if (!request.partition.empty())
    {
        auto& known = m_partitions[request.partition];
        known = std::max(known, request.partition_epoch);
    }
    auto& entry = m_running[request.attempt];
    entry.request = request;
    entry.progress_at = now;
    m_used += request.each;
    const auto started = make_attempt_event(request, event_kind::start, now);
    m_record.add(started);
    check_limits(started);
    if (request.job.empty())
    {
        return;
    }
    if (m_faults.fail)
    {
        entry.request.exit = failure_exit_status;
    }
    entry.work_left = m_faults.fail
                          ? milliseconds{0}
                          : request.run_time + m_faults.added_run_time;
    entry.lease_until = now + request.lease;
    schedule(request.attempt, entry);
    if (m_record.count_task_start(request.job, request.task) > 1)
    {
        m_record.add_violation("task_twice", started);
    }
}

auto worker_model::look_up_or_revoke(const std::string& attempt, time_point now)
    -> attempt_info
{
    const auto known = m_ended.find(attempt);
    if (known != m_ended.end())
    {
        return known->second;
    }
    auto new_event = make_event(event_kind::revoked, now);
    new_event.attempt = attempt;
    m_record.add(new_event);
    const attempt_info info{worker::attempt_state::revoked, 0};
    remember_ended(attempt, info, now);
    return info;
}

auto worker_model::check_limits(const event& started) -> void
{
    if (!m_used.fits_in(m_config.capacity))
    {
        m_record.add_violation("over_capacity", started);
    }
    if (static_cast<std::int64_t>(m_running.size()) > m_config.connections)
    {
        m_record.add_violation("over_connections", started);
    }
}

auto worker_model::schedule(const std::string& attempt, running_entry& entry)
    -> void
{
    entry.due = entry.lease_until;
    if (entry.percent > 0)
    {
        const auto needed =
            entry.work_left * full_speed_percent / entry.percent;
        entry.due = std::min<time_point>(entry.due, entry.progress_at + needed);
    }
    m_deadlines.insert({entry.due, attempt});
}

auto worker_model::unschedule(const std::string& attempt,
                              const running_entry& entry) -> void
{
    m_deadlines.erase({entry.due, attempt});
}

auto worker_model::end(running_map::iterator entry, event_kind end_kind,
                       attempt_info info, time_point now) -> void
{
    const auto request = std::move(entry->second.request);
    unschedule(request.attempt, entry->second);
    m_running.erase(entry);
    m_used -= request.each;
    if (!request.job.empty())
    {
        m_record.count_task_end(request.job, request.task);
    }
    auto new_event = make_attempt_event(request, end_kind, now);
    new_event.status = request.exit;
    m_record.add(new_event);
    remember_ended(request.attempt, info, now);
}

auto worker_model::remember_ended(const std::string& attempt, attempt_info info,
                                  time_point now) -> void
{
    m_ended[attempt] = info;
    m_ended_order.push_back({now, attempt});
    while (m_ended_order.front().at + m_config.ended_retention < now)
    {
        m_ended.erase(m_ended_order.front().attempt);
        m_ended_order.pop_front();
    }
}

auto worker_model::make_attempt_event(const start_request& request,
                                      event_kind kind, time_point now) const
    -> event
{
    auto new_event = make_event(kind, now);
    new_event.attempt = request.attempt;
    new_event.workload = request.workload;
    new_event.job = request.job;
    new_event.task = request.task;
    new_event.each = request.each;
    new_event.epoch = request.epoch;
    new_event.partition = request.partition;
    new_event.request_id = request.request_id;
    new_event.idempotency_key = request.idempotency_key;
    return new_event;
}

auto worker_model::make_event(event_kind kind, time_point now) const -> event
{
    event new_event;
    new_event.at = now;
    new_event.kind = kind;
    new_event.worker = m_config.id;
    return new_event;
}

} // namespace pimentoshunt::standins
