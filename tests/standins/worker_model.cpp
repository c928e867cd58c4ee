#include "worker_model.hpp"

#include "json_access.hpp"

#include <algorithm> // min, max
#include <chrono>    // duration_cast
#include <utility>   // move

namespace pimentoshunt::standins
{
namespace
{

constexpr std::int64_t full_speed = 100;
constexpr std::int64_t exit_of_failing_worker = 1;
constexpr std::int64_t first_server_error = 500;

auto name_of(worker::attempt_state state) -> std::string
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

auto to_string(refusal why) -> std::string
{
    switch (why)
    {
    case refusal::none:
        return "none";
    case refusal::fenced:
        return "fenced";
    case refusal::revoked:
        return "revoked";
    case refusal::duplicate:
        return "duplicate";
    case refusal::capacity:
        return "capacity";
    case refusal::leaving:
        return "leaving";
    }
    return {};
}

auto to_json(const attempt_view& view) -> json::object
{
    json::object out{{"state", name_of(view.state)}};
    if (view.state == worker::attempt_state::finished)
    {
        out["exit"] = view.exit;
    }
    return out;
}

worker_model::worker_model(worker_config config, event_record& log)
    : m_config(std::move(config)), m_log(log)
{
    auto up = plain_event(event_kind::up, boot_clock::now());
    up.each = m_config.capacity;
    up.connections = m_config.connections;
    m_log.add(up);
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
        m_log.add(plain_event(event_kind::leaving, now));
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
    auto what = plain_event(
        accepted ? event_kind::fence : event_kind::fence_refused, now);
    what.epoch = epoch;
    what.holder = holder;
    m_log.add(what);
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
    auto what = plain_event(accepted ? event_kind::partition_fence
                                     : event_kind::partition_fence_refused,
                            now);
    what.epoch = epoch;
    what.partition = partition;
    m_log.add(what);
    known = std::max(known, epoch);
    return accepted;
}

auto worker_model::start(const start_request& request, time_point now)
    -> refusal
{
    const std::lock_guard lock(m_mutex);
    const auto why = judge(request);
    if (why != refusal::none)
    {
        auto what = describe(request, event_kind::refused, now);
        what.reason = to_string(why);
        m_log.add(what);
        return why;
    }
    admit(request, now);
    return refusal::none;
}

auto worker_model::wait_run(const std::string& attempt, milliseconds run)
    -> bool
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, run + m_faults.slow,
                              [&]
                              {
                                  return m_running.count(attempt) == 0;
                              });
}

auto worker_model::finish(const std::string& attempt, std::int64_t status,
                          time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_running.find(attempt);
    if (entry == m_running.end())
    {
        return;
    }
    entry->second.request.exit = status;
    const auto exit = status < first_server_error ? 0 : exit_of_failing_worker;
    end(entry, event_kind::end, {worker::attempt_state::finished, exit}, now);
}

auto worker_model::renew(const std::vector<std::string>& attempts,
                         milliseconds lease, time_point now)
    -> std::vector<std::string>
{
    expire(now);
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> lapsed;
    for (const auto& attempt : attempts)
    {
        const auto entry = m_running.find(attempt);
        if (entry == m_running.end())
        {
            lapsed.push_back(attempt);
            continue;
        }
        if (!entry->second.request.job.empty())
        {
            unschedule(attempt, entry->second);
            entry->second.lease_until = now + lease;
            schedule(attempt, entry->second);
        }
    }
    return lapsed;
}

auto worker_model::revoke(const std::string& attempt, time_point now)
    -> attempt_view
{
    expire(now);
    const std::lock_guard lock(m_mutex);
    if (m_running.count(attempt) != 0)
    {
        return {worker::attempt_state::running, 0};
    }
    return look_up_or_revoke(attempt, now);
}

auto worker_model::stop(const std::string& attempt, event_kind how,
                        time_point now) -> attempt_view
{
    expire(now);
    const std::lock_guard lock(m_mutex);
    const auto entry = m_running.find(attempt);
    if (entry != m_running.end())
    {
        end(entry, how, {worker::attempt_state::stopped, 0}, now);
        m_changed.notify_all();
        return {worker::attempt_state::stopped, 0};
    }
    // A stop that overtakes its start must still hold.
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
    auto what = describe(entry.request, event_kind::throttle, now);
    what.status = percent;
    m_log.add(what);
    if (entry.request.job.empty())
    {
        return true;
    }
    const auto passed =
        std::chrono::duration_cast<milliseconds>(now - entry.since);
    const auto done = passed * entry.percent / full_speed;
    entry.work_left = std::max(entry.work_left - done, milliseconds{0});
    entry.since = now;
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
            end(entry, event_kind::lapse, {worker::attempt_state::stopped, 0},
                now);
            continue;
        }
        const auto exit = entry->second.request.exit;
        end(entry, event_kind::end, {worker::attempt_state::finished, exit},
            now);
    }
}

auto worker_model::report(const std::string& partition) -> json::object
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

auto worker_model::judge(const start_request& request) const -> refusal
{
    const auto known = m_ended.find(request.attempt);
    if (known != m_ended.end())
    {
        return known->second.state == worker::attempt_state::revoked
                   ? refusal::revoked
                   : refusal::duplicate;
    }
    if (m_running.count(request.attempt) != 0)
    {
        return refusal::duplicate;
    }
    if (is_fenced(request))
    {
        return refusal::fenced;
    }
    if (m_faults.leaving && m_faults.refuse_when_leaving)
    {
        return refusal::leaving;
    }
    const auto fits =
        (m_used + request.each).fits_in(m_config.capacity) &&
        static_cast<std::int64_t>(m_running.size()) < m_config.connections;
    return m_config.enforce_capacity && !fits ? refusal::capacity
                                              : refusal::none;
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

auto worker_model::admit(const start_request& request, time_point now) -> void
{
    if (!request.partition.empty())
    {
        auto& known = m_partitions[request.partition];
        known = std::max(known, request.partition_epoch);
    }
    auto& entry = m_running[request.attempt];
    entry.request = request;
    entry.since = now;
    m_used += request.each;
    const auto started = describe(request, event_kind::start, now);
    m_log.add(started);
    check_limits(started);
    if (request.job.empty())
    {
        return;
    }
    if (m_faults.fail)
    {
        entry.request.exit = exit_of_failing_worker;
    }
    entry.work_left =
        m_faults.fail ? milliseconds{0} : request.run + m_faults.slow;
    entry.lease_until = now + request.lease;
    schedule(request.attempt, entry);
    if (m_log.begin_task(request.job, request.task) > 1)
    {
        m_log.add_violation("task_twice", started);
    }
}

auto worker_model::look_up_or_revoke(const std::string& attempt, time_point now)
    -> attempt_view
{
    const auto known = m_ended.find(attempt);
    if (known != m_ended.end())
    {
        return known->second;
    }
    auto what = plain_event(event_kind::revoked, now);
    what.attempt = attempt;
    m_log.add(what);
    const attempt_view view{worker::attempt_state::revoked, 0};
    remember(attempt, view, now);
    return view;
}

auto worker_model::check_limits(const event& started) -> void
{
    if (!m_used.fits_in(m_config.capacity))
    {
        m_log.add_violation("over_capacity", started);
    }
    if (static_cast<std::int64_t>(m_running.size()) > m_config.connections)
    {
        m_log.add_violation("over_connections", started);
    }
}

auto worker_model::schedule(const std::string& attempt, running& entry) -> void
{
    entry.due = entry.lease_until;
    if (entry.percent > 0)
    {
        const auto needed = entry.work_left * full_speed / entry.percent;
        entry.due = std::min<time_point>(entry.due, entry.since + needed);
    }
    m_deadlines.insert({entry.due, attempt});
}

auto worker_model::unschedule(const std::string& attempt, const running& entry)
    -> void
{
    m_deadlines.erase({entry.due, attempt});
}

auto worker_model::end(running_map::iterator entry, event_kind how,
                       attempt_view view, time_point now) -> void
{
    const auto request = std::move(entry->second.request);
    unschedule(request.attempt, entry->second);
    m_running.erase(entry);
    m_used -= request.each;
    if (!request.job.empty())
    {
        m_log.end_task(request.job, request.task);
    }
    auto what = describe(request, how, now);
    what.status = request.exit;
    m_log.add(what);
    remember(request.attempt, view, now);
}

auto worker_model::remember(const std::string& attempt, attempt_view view,
                            time_point now) -> void
{
    m_ended[attempt] = view;
    m_memory.push_back({now, attempt});
    while (m_memory.front().at + m_config.memory < now)
    {
        m_ended.erase(m_memory.front().attempt);
        m_memory.pop_front();
    }
}

auto worker_model::describe(const start_request& request, event_kind kind,
                            time_point now) const -> event
{
    auto what = plain_event(kind, now);
    what.attempt = request.attempt;
    what.workload = request.workload;
    what.job = request.job;
    what.task = request.task;
    what.each = request.each;
    what.epoch = request.epoch;
    what.partition = request.partition;
    what.request_id = request.request_id;
    what.idempotency_key = request.idempotency_key;
    return what;
}

auto worker_model::plain_event(event_kind kind, time_point now) const -> event
{
    event what;
    what.at = now;
    what.kind = kind;
    what.worker = m_config.id;
    return what;
}

} // namespace pimentoshunt::standins
