/// @file
/// job_tracker: loading of jobs, placements, starts and the results of calls to
/// workers.
#include <pimentoshunt/jobs/job_tracker.hpp>

#include <algorithm> // any_of, max
#include <utility>   // exchange, move

namespace pimentoshunt::jobs
{

using detail::attempt_phase;

namespace
{

constexpr std::int64_t no_task = -1;
constexpr int permille = 1'000;
constexpr int exit_not_reported = -1;

} // namespace

job_tracker::job_tracker(int partition, std::uint64_t epoch,
                         tracker_limits limits, std::uint32_t seed)
    : m_partition(partition), m_epoch(epoch), m_limits(limits), m_random(seed)
{
}

auto job_tracker::effects() -> std::vector<job_effect>
{
    return std::exchange(m_effects, {});
}

auto job_tracker::find(const job_id& job) const -> const job_progress*
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second.record.progress;
}

auto job_tracker::find_job(const job_id& job) -> job_entry*
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

auto job_tracker::find_attempt(const attempt_id& attempt, job_entry*& job)
    -> attempt_entry*
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
    {
        return nullptr;
    }
    job = found->second.job;
    return found->second.attempt;
}

auto job_tracker::lease_expiry_delay() const -> boot_clock::duration
{
    const auto drift =
        m_limits.lease * m_limits.clock_drift_permille / permille;
    return m_limits.lease + drift + m_limits.lease_margin;
}

auto job_tracker::on_loaded(const job_record& record, time_point now) -> bool
{
    if (record.progress.state != job_state::active ||
        m_jobs.count(record.spec.id) != 0 ||
        m_ended_jobs.count(record.spec.id) != 0)
    {
        return false;
    }
    auto& job = m_jobs[record.spec.id];
    job.record = record;
    job.unfenced_workers = record.progress.workers;
    if (job.unfenced_workers.empty())
    {
        fail_if_unreported(job);
    }
    update_job(job, now);
    return true;
}

auto job_tracker::on_all_loaded() -> void
{
    m_all_loaded = true;
}

auto job_tracker::can_take_placements(const job_entry& job, time_point now)
    -> bool
{
    if (job.target_state != job_state::active ||
        !job.unfenced_workers.empty() || job.gang_aborting)
    {
        return false;
    }
    // A gang that has started takes no more placements, and a restarted one
    // waits for its backoff.
    return !job.record.spec.gang ||
           (now >= job.backoff_until && !job.gang_ran &&
            job.gang_done.size() == 0);
}

auto job_tracker::pick_task(job_entry& job, time_point now) -> std::int64_t
{
    const auto takes = [&](std::int64_t task)
    {
        return job.attempts.count(task) == 0 &&
               !job.record.progress.done.contains(task);
    };
    job.waiting.promote(now);
    while (const auto task = job.waiting.take())
    {
        if (takes(*task))
        {
            return *task;
        }
    }
    while (true)
    {
        const auto task =
            job.record.progress.done.next_absent(job.next_new_task);
        if (task >= job.record.spec.tasks)
        {
            return no_task;
        }
        job.next_new_task = task + 1;
        if (takes(task) && !job.waiting.contains(task))
        {
            return task;
        }
    }
}

auto job_tracker::record_placement(job_entry& job, attempt_entry& entry) -> void
{
    auto& progress = job.record.progress;
    const bool known =
        std::any_of(progress.workers.begin(), progress.workers.end(),
                    [&](const job_worker& each)
                    {
                        return each.id == entry.worker.id;
                    });
    bool changed = !known;
    if (!known)
    {
        progress.workers.push_back(entry.worker);
    }
    if (!job.record.spec.idempotent)
    {
        changed = progress.started.insert(entry.task) || changed;
    }
    if (changed)
    {
        mark_changed(job, true);
        job.start_barrier = job.sequence;
    }
    entry.needs_sequence = job.start_barrier;
}

auto job_tracker::on(const placement_granted& event, time_point now) -> void
{
    if (m_attempts.count(event.attempt) != 0)
    {
        return;
    }
    auto* const job = find_job(event.job);
    if (job != nullptr && job->requested > 0)
    {
        --job->requested;
    }
    const auto task = job != nullptr && can_take_placements(*job, now)
                          ? pick_task(*job, now)
                          : no_task;
    if (task == no_task)
    {
        m_effects.emplace_back(release_placement{event.job, event.attempt,
                                                 event.worker.id,
                                                 attempt_outcome::not_run});
        return;
    }
    auto& entry = job->attempts[task];
    entry.attempt = event.attempt;
    entry.task = task;
    entry.worker = event.worker;
    entry.epoch = event.epoch;
    entry.held_until = now + m_limits.hold_timeout;
    job->tasks_to_tick.insert(task);
    m_attempts.emplace(event.attempt, attempt_location{job, &entry});
    if (job->record.spec.gang)
    {
        start_ready_attempts(*job);
    }
    else
    {
        record_placement(*job, entry);
        if (entry.needs_sequence <= job->persisted)
        {
            start(*job, entry);
        }
    }
    update_job(*job, now);
}

auto job_tracker::start_ready_attempts(job_entry& job) -> void
{
    const auto& spec = job.record.spec;
    if (spec.gang && (job.gang_ran || static_cast<std::int64_t>(
                                          job.attempts.size()) < spec.tasks))
    {
        return;
    }
    bool ready = true;
    for (auto& [task, entry] : job.attempts)
    {
        if (spec.gang)
        {
            record_placement(job, entry);
        }
        ready = ready && entry.needs_sequence <= job.persisted;
    }
    for (auto& [task, entry] : job.attempts)
    {
        const bool may_start =
            spec.gang ? ready : entry.needs_sequence <= job.persisted;
        if (entry.phase == attempt_phase::held && may_start)
        {
            start(job, entry);
        }
    }
}

auto job_tracker::start(job_entry& job, attempt_entry& entry) -> void
{
    const auto& spec = job.record.spec;
    entry.phase = attempt_phase::starting;
    entry.calls_in_flight = 1;
    job.gang_ran = spec.gang;
    worker::task_start message;
    message.attempt = entry.attempt;
    message.workload = spec.workload;
    message.job = spec.id;
    message.task = entry.task;
    message.epoch = entry.epoch;
    message.partition = partition_name(m_partition);
    message.partition_epoch = m_epoch;
    message.each = spec.each;
    message.lease = m_limits.lease;
    message.run_time = spec.run_time;
    message.body = spec.body;
    m_effects.emplace_back(start_task{entry.worker, std::move(message)});
}

auto job_tracker::on(const start_result& event, time_point now) -> void
{
    job_entry* job = nullptr;
    auto* const entry = find_attempt(event.attempt, job);
    if (entry == nullptr || entry->phase != attempt_phase::starting)
    {
        return;
    }
    finish_start(*job, *entry, event.status, now);
    update_job(*job, now);
}

auto job_tracker::finish_start(job_entry& job, attempt_entry& entry,
                               start_status status, time_point now) -> void
{
    entry.calls_in_flight = 0;
    entry.lease_expires_at = now + lease_expiry_delay();
    entry.last_heard = now;
    entry.next_try = now;
    const bool stopping =
        job.target_state != job_state::active || job.gang_aborting;
    switch (status)
    {
    case start_status::not_run:
        end_not_run(job, entry.task, now);
        break;
    case start_status::started:
        entry.phase = attempt_phase::running;
        entry.stop = stopping;
        entry.renew = !stopping;
        // A random part of the interval spreads the renewals of the workers
        // over time.
        join_lease_group(entry, now, m_limits.renew_interval);
        if (!stopping)
        {
            job.tasks_to_tick.erase(entry.task);
        }
        break;
    case start_status::unknown:
        entry.phase = attempt_phase::unconfirmed;
        entry.inspect = true;
        entry.stop = stopping;
        entry.renew = !stopping;
        break;
    }
}

auto job_tracker::on(const lease_report& event, time_point now) -> void
{
    const auto group = m_leases.find(event.worker);
    if (group != m_leases.end())
    {
        group->second.in_flight = false;
    }
    for (const auto& attempt : event.attempts)
    {
        job_entry* job = nullptr;
        auto* const entry = find_attempt(attempt, job);
        if (entry == nullptr || entry->calls_in_flight == 0)
        {
            continue;
        }
        --entry->calls_in_flight;
        entry->lease_expires_at =
            std::max(entry->lease_expires_at, now + lease_expiry_delay());
        if (event.answered)
        {
            entry->last_heard = now;
        }
        else if (now - entry->last_heard > m_limits.give_up_after)
        {
            stop_renewing(*job, *entry, now);
        }
    }
    for (const auto& attempt : event.expired)
    {
        job_entry* job = nullptr;
        auto* const entry = find_attempt(attempt, job);
        if (entry != nullptr && entry->phase == attempt_phase::running)
        {
            // The attempt has ended; the inspection returns how.
            entry->inspect = true;
            job->tasks_to_tick.insert(entry->task);
            m_effects.emplace_back(inspect_attempt{entry->worker, attempt});
            entry->next_try = now + m_limits.retry_interval;
        }
    }
}

auto job_tracker::on(const attempt_inspected& event, time_point now) -> void
{
    job_entry* job = nullptr;
    auto* const entry = find_attempt(event.attempt, job);
    if (entry == nullptr || !event.report ||
        entry->phase == attempt_phase::held ||
        entry->phase == attempt_phase::starting)
    {
        return;
    }
    entry->last_heard = now;
    switch (event.report->state)
    {
    case worker::attempt_state::running:
        entry->phase = attempt_phase::running;
        entry->inspect = false;
        entry->renew = !entry->stop;
        join_lease_group(*entry, now, milliseconds(0));
        break;
    case worker::attempt_state::finished:
        end_finished(*job, entry->task,
                     event.report->exit.value_or(exit_not_reported), now);
        break;
    case worker::attempt_state::stopped:
        end_stopped(*job, entry->task, now);
        break;
    case worker::attempt_state::revoked:
        // A worker that does not know an attempt whose start was confirmed has
        // lost its record of the attempt.
        if (entry->phase == attempt_phase::unconfirmed)
        {
            end_not_run(*job, entry->task, now);
        }
        else
        {
            end_stopped(*job, entry->task, now);
        }
        break;
    }
    update_job(*job, now);
}

auto job_tracker::on(const stop_result& event, time_point now) -> void
{
    job_entry* job = nullptr;
    auto* const entry = find_attempt(event.attempt, job);
    if (entry == nullptr || !event.stopped ||
        entry->phase != attempt_phase::running)
    {
        return;
    }
    end_stopped(*job, entry->task, now);
    update_job(*job, now);
}

auto job_tracker::on_finished(const attempt_id& attempt, int exit,
                              time_point now) -> void
{
    job_entry* job = nullptr;
    auto* const entry = find_attempt(attempt, job);
    if (entry == nullptr || entry->phase == attempt_phase::held)
    {
        return;
    }
    end_finished(*job, entry->task, exit, now);
    update_job(*job, now);
}

auto job_tracker::on_preempted(const attempt_id& attempt, time_point now)
    -> void
{
    job_entry* job = nullptr;
    auto* const entry = find_attempt(attempt, job);
    if (entry == nullptr || entry->phase != attempt_phase::running)
    {
        return;
    }
    const auto task = entry->task;
    remove_attempt(*job, task, attempt_outcome::stopped);
    if (job->record.spec.gang)
    {
        abort_gang(*job, job_fault::outcome_unknown);
    }
    else
    {
        schedule_retry(*job, task, 0, now);
    }
    update_job(*job, now);
}

auto job_tracker::on_cancel(const job_id& id, time_point now) -> bool
{
    auto* const job = find_job(id);
    if (job == nullptr)
    {
        return false;
    }
    if (job->target_state == job_state::active)
    {
        job->target_state = job_state::cancelled;
        stop_all(*job);
        update_job(*job, now);
    }
    return true;
}

auto job_tracker::on(const progress_persisted& event, time_point now) -> void
{
    auto* const job = find_job(event.job);
    if (job == nullptr || job->persisting != event.sequence)
    {
        return;
    }
    job->persisting = 0;
    if (event.committed)
    {
        job->persisted = event.sequence;
        start_ready_attempts(*job);
    }
    else
    {
        job->urgent = false;
        job->next_persist = now + m_limits.retry_interval;
    }
    update_job(*job, now);
}

} // namespace pimentoshunt::jobs
