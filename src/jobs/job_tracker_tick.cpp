/// @file
/// job_tracker: periodic work, which are lease renewals, inspections, fences
/// and timeouts; and the placement requests and commits of a job.
#include <pimentoshunt/jobs/job_tracker.hpp>

#include <algorithm> // find, min
#include <utility>   // move

namespace pimentoshunt::jobs
{

using detail::attempt_phase;

auto job_tracker::mark_changed(job_entry& job, bool urgent) -> void
{
    ++job.sequence;
    job.urgent = job.urgent || urgent;
}

auto job_tracker::persist(job_entry& job, time_point now) -> void
{
    const bool due = job.urgent || now >= job.next_persist;
    if (job.persisting != 0 || job.persisted == job.sequence || !due)
    {
        return;
    }
    job.persisting = job.sequence;
    job.urgent = false;
    job.next_persist = now + m_limits.persist_interval;
    m_effects.emplace_back(persist_progress{job.record.spec.id, job.sequence,
                                            job.record.progress});
}

auto job_tracker::count_startable_tasks(const job_entry& job) const
    -> std::int64_t
{
    const auto& spec = job.record.spec;
    const auto rest = spec.tasks - job.record.progress.done.size() -
                      static_cast<std::int64_t>(job.attempts.size()) -
                      static_cast<std::int64_t>(job.waiting.not_due());
    // A gang requests all its placements together, as it cannot start with
    // fewer.
    return spec.gang ? rest : std::min(rest, m_limits.max_requested_placements);
}

auto job_tracker::update_placement_request(job_entry& job, time_point now)
    -> void
{
    job.waiting.promote(now);
    const auto count =
        can_take_placements(job, now) ? count_startable_tasks(job) : 0;
    // A request is replenished when half of the maximum is used up, not after
    // each placement.
    const bool enough = count > job.requested &&
                        job.requested * 2 > m_limits.max_requested_placements;
    if (count == job.requested || enough)
    {
        return;
    }
    job.requested = count;
    placement_request request{
        job.record.spec.id, job.record.spec.workload, count, {}};
    for (const auto& failed : job.record.progress.failures)
    {
        for (const auto& worker : failed.workers)
        {
            if (std::find(request.avoid.begin(), request.avoid.end(), worker) ==
                request.avoid.end())
            {
                request.avoid.push_back(worker);
            }
        }
    }
    m_effects.emplace_back(std::move(request));
}

auto job_tracker::has_missing_members(const job_entry& job) -> bool
{
    // Happens only after a takeover, when members of a gang that an earlier
    // owner started are lost.
    const auto members =
        static_cast<std::int64_t>(job.attempts.size()) + job.gang_done.size();
    return job.record.spec.gang && job.gang_ran &&
           job.unfenced_workers.empty() && members != job.record.spec.tasks;
}

auto job_tracker::update_job(job_entry& job, time_point now) -> void
{
    auto& progress = job.record.progress;
    if (has_missing_members(job))
    {
        abort_gang(job, job_fault::outcome_unknown);
    }
    if (job.gang_aborting && job.attempts.empty() &&
        job.unfenced_workers.empty())
    {
        restart_gang(job, now);
    }
    if (job.target_state == job_state::active &&
        progress.done.size() >= job.record.spec.tasks)
    {
        job.target_state = job_state::succeeded;
    }
    // The job does not end before all workers of earlier owners are fenced and
    // the tasks found there have ended.
    if (job.target_state != job_state::active && job.attempts.empty() &&
        job.unfenced_workers.empty() && progress.state == job_state::active)
    {
        progress.state = job.target_state;
        mark_changed(job, true);
    }
    update_placement_request(job, now);
    persist(job, now);
    if (progress.state != job_state::active && job.persisted == job.sequence &&
        job.sequence != 0)
    {
        m_jobs_to_forget.push_back(job.record.spec.id);
    }
}

auto job_tracker::forget_ended() -> void
{
    for (const auto& id : m_jobs_to_forget)
    {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end())
        {
            m_effects.emplace_back(
                job_ended{id, found->second.record.progress.state});
            m_jobs.erase(found);
            m_ended_jobs.insert(id);
        }
    }
    m_jobs_to_forget.clear();
}

auto job_tracker::on_worker_lost(const worker_id& worker, time_point now)
    -> void
{
    m_lost_workers.emplace(worker, now + lease_expiry_delay());
    for (auto& [id, job] : m_jobs)
    {
        for (auto& [task, entry] : job.attempts)
        {
            if (entry.worker.id == worker)
            {
                stop_renewing(job, entry, now);
            }
        }
    }
}

auto job_tracker::stop_renewing(job_entry& job, attempt_entry& entry,
                                time_point now) -> void
{
    if (entry.phase == attempt_phase::held)
    {
        return;
    }
    entry.renew = false;
    entry.inspect = true;
    entry.next_try = now;
    job.tasks_to_tick.insert(entry.task);
}

auto job_tracker::is_lost(const worker_id& worker, time_point now) const -> bool
{
    const auto found = m_lost_workers.find(worker);
    return found != m_lost_workers.end() && now >= found->second;
}

auto job_tracker::has_certainly_expired(const attempt_entry& entry,
                                        time_point now) const -> bool
{
    if (entry.calls_in_flight != 0 || now < entry.lease_expires_at ||
        (entry.renew && entry.phase == attempt_phase::running))
    {
        return false;
    }
    return !entry.adopted || m_limits.renewals_are_fenced ||
           is_lost(entry.worker.id, now);
}

auto job_tracker::tick_attempt(job_entry& job, attempt_entry& entry,
                               time_point now) -> void
{
    if (entry.phase == attempt_phase::held ||
        entry.phase == attempt_phase::starting)
    {
        return;
    }
    if (has_certainly_expired(entry, now))
    {
        end_stopped(job, entry.task, now);
        return;
    }
    if (now < entry.next_try)
    {
        return;
    }
    const bool stop = entry.stop && entry.phase == attempt_phase::running;
    if (stop)
    {
        m_effects.emplace_back(stop_task{entry.worker, entry.attempt});
    }
    else if (entry.inspect)
    {
        m_effects.emplace_back(inspect_attempt{entry.worker, entry.attempt});
    }
    entry.next_try = now + m_limits.retry_interval;
}

auto job_tracker::expire_holds(job_entry& job, time_point now) -> void
{
    std::vector<std::int64_t> expired;
    for (const auto task : job.tasks_to_tick)
    {
        const auto& entry = job.attempts.at(task);
        if (entry.phase == attempt_phase::held && now >= entry.held_until)
        {
            expired.push_back(task);
        }
    }
    if (expired.empty())
    {
        return;
    }
    if (job.record.spec.gang)
    {
        // A gang releases all its placements together, so that two gangs that
        // hold parts of the same capacity never wait for each other.
        abort_gang(job, job_fault::attempts_used);
        return;
    }
    for (const auto task : expired)
    {
        end_not_run(job, task, now);
    }
}

auto job_tracker::tick_attempts(job_entry& job, time_point now) -> void
{
    expire_holds(job, now);
    const std::vector<std::int64_t> tasks(job.tasks_to_tick.begin(),
                                          job.tasks_to_tick.end());
    for (const auto task : tasks)
    {
        // The end of an earlier attempt may have removed this one.
        const auto found = job.attempts.find(task);
        if (found == job.attempts.end())
        {
            continue;
        }
        const auto& entry = found->second;
        if (entry.phase == attempt_phase::running && entry.renew &&
            !entry.stop && !entry.inspect)
        {
            job.tasks_to_tick.erase(task);
            continue;
        }
        tick_attempt(job, found->second, now);
    }
}

auto job_tracker::tick_fences(time_point now) -> void
{
    std::unordered_set<worker_id> asked;
    for (auto& [id, job] : m_jobs)
    {
        const auto workers = job.unfenced_workers;
        for (const auto& worker : workers)
        {
            if (is_lost(worker.id, now))
            {
                mark_fenced(job, worker.id);
            }
        }
        if (!m_all_loaded || job.unfenced_workers.empty() ||
            now < job.next_fence)
        {
            continue;
        }
        job.next_fence = now + m_limits.retry_interval;
        for (const auto& worker : job.unfenced_workers)
        {
            if (asked.insert(worker.id).second)
            {
                m_effects.emplace_back(
                    fence_worker{worker, partition_name(m_partition), m_epoch});
            }
        }
    }
}

auto job_tracker::join_lease_group(const attempt_entry& entry, time_point now,
                                   milliseconds max_delay) -> void
{
    if (!entry.renew)
    {
        return;
    }
    auto& group = m_leases[entry.worker.id];
    // A new group is first renewed at a random time, so that not all workers are
    // renewed in the same tick. An attempt with an older lease must not wait for
    // that.
    if (group.attempts.empty() || max_delay == milliseconds(0))
    {
        group.worker = entry.worker;
        group.next_renewal = now + random_delay(max_delay);
    }
    group.attempts.insert(entry.attempt);
}

auto job_tracker::make_renewal(lease_group& group) -> renew_leases
{
    renew_leases out{group.worker, {}, m_limits.lease};
    for (auto at = group.attempts.begin(); at != group.attempts.end();)
    {
        job_entry* job = nullptr;
        auto* const entry = find_attempt(*at, job);
        if (entry == nullptr || !entry->renew ||
            entry->phase != attempt_phase::running)
        {
            at = group.attempts.erase(at);
            continue;
        }
        ++entry->calls_in_flight;
        out.attempts.push_back(*at);
        ++at;
    }
    return out;
}

auto job_tracker::tick_leases(time_point now) -> void
{
    for (auto at = m_leases.begin(); at != m_leases.end();)
    {
        auto& group = at->second;
        if (group.in_flight || now < group.next_renewal)
        {
            ++at;
            continue;
        }
        auto call = make_renewal(group);
        if (call.attempts.empty())
        {
            at = m_leases.erase(at);
            continue;
        }
        group.in_flight = true;
        group.next_renewal = now + m_limits.renew_interval;
        m_effects.emplace_back(std::move(call));
        ++at;
    }
}

auto job_tracker::tick(time_point now) -> void
{
    tick_fences(now);
    for (auto& [id, job] : m_jobs)
    {
        tick_attempts(job, now);
        update_job(job, now);
    }
    tick_leases(now);
    forget_ended();
}

} // namespace pimentoshunt::jobs
