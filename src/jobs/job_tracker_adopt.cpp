/// @file
/// job_tracker: takeover of a partition, in which the workers used by earlier
/// owners are fenced and their running tasks are adopted.
#include <pimentoshunt/jobs/job_tracker.hpp>

#include <algorithm> // find_if

namespace pimentoshunt::jobs
{

using detail::attempt_phase;

auto job_tracker::on(const worker_fenced& event, time_point now) -> void
{
    if (!event.accepted)
    {
        // A later owner has fenced the worker. The commits of this owner fail
        // as well, which ends its ownership.
        return;
    }
    m_lost_workers.erase(event.worker.id);
    for (const auto& task : event.running)
    {
        auto* const job = find_job(task.job);
        if (job != nullptr)
        {
            adopt_task(*job, event, task, now);
        }
        else
        {
            m_effects.emplace_back(stop_task{event.worker, task.attempt});
        }
    }
    for (auto& [id, job] : m_jobs)
    {
        mark_fenced(job, event.worker.id);
        update_job(job, now);
    }
    forget_ended();
}

auto job_tracker::adopt_task(job_entry& job, const worker_fenced& event,
                             const worker::running_task& task, time_point now)
    -> void
{
    if (m_attempts.count(task.attempt) != 0)
    {
        return;
    }
    const bool wanted = job.record.progress.state == job_state::active &&
                        task.task >= 0 && task.task < job.record.spec.tasks &&
                        job.attempts.count(task.task) == 0 &&
                        !job.record.progress.done.contains(task.task);
    if (!wanted)
    {
        m_effects.emplace_back(stop_task{event.worker, task.attempt});
        return;
    }
    auto& entry = job.attempts[task.task];
    entry.attempt = task.attempt;
    entry.task = task.task;
    entry.worker = event.worker;
    entry.phase = attempt_phase::running;
    entry.adopted = true;
    entry.stop = job.target_state != job_state::active || job.gang_aborting;
    entry.renew = !entry.stop;
    entry.next_try = now;
    entry.last_heard = now;
    entry.lease_expires_at = now + lease_expiry_delay();
    job.gang_ran = job.record.spec.gang;
    job.tasks_to_tick.insert(task.task);
    join_lease_group(entry, now, milliseconds(0));
    m_attempts.emplace(task.attempt, attempt_location{&job, &entry});
}

auto job_tracker::mark_fenced(job_entry& job, const worker_id& worker) -> void
{
    const auto found =
        std::find_if(job.unfenced_workers.begin(), job.unfenced_workers.end(),
                     [&](const job_worker& each)
                     {
                         return each.id == worker;
                     });
    if (found == job.unfenced_workers.end())
    {
        return;
    }
    job.unfenced_workers.erase(found);
    if (job.unfenced_workers.empty())
    {
        fail_if_unreported(job);
    }
}

auto job_tracker::fail_if_unreported(job_entry& job) -> void
{
    if (job.target_state != job_state::active)
    {
        return;
    }
    const auto& progress = job.record.progress;
    for (const auto& range : progress.started.ranges())
    {
        for (auto task = range.first; task < range.last; ++task)
        {
            if (!progress.done.contains(task) && job.attempts.count(task) == 0)
            {
                fail_job(
                    job, job_fault::outcome_unknown,
                    "task " + std::to_string(task) +
                        " may have run under an owner that has died; it is "
                        "not idempotent and was not run again");
                return;
            }
        }
    }
}

} // namespace pimentoshunt::jobs
