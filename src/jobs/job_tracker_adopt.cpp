#include <pimentoshunt/jobs/job_tracker.hpp>

#include <algorithm> // find_if

namespace pimentoshunt::jobs
{

using detail::attempt_phase;

auto job_tracker::on(const worker_fenced& event, time_point now) -> void
{
    if (!event.accepted)
    {
        // A later owner was there: our commits fail too, and tell so.
        return;
    }
    m_gone.erase(event.worker.id);
    for (const auto& task : event.running)
    {
        auto* const job = find_job(task.job);
        if (job != nullptr)
        {
            adopt(*job, event, task, now);
        }
        else
        {
            m_effects.emplace_back(stop_task{event.worker, task.attempt});
        }
    }
    for (auto& [id, job] : m_jobs)
    {
        mark_fenced(job, event.worker.id);
        settle(job, now);
    }
    forget_ended();
}

auto job_tracker::adopt(job_entry& job, const worker_fenced& event,
                        const worker::running_task& task, time_point now)
    -> void
{
    if (m_places.count(task.attempt) != 0)
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
    entry.stop = job.target != job_state::active || job.gang_broken;
    entry.renew = !entry.stop;
    entry.next_try = now;
    entry.last_heard = now;
    entry.lapse_at = now + lease_wait();
    job.gang_ran = job.record.spec.gang;
    job.attention.insert(task.task);
    keep_renewing(entry, now, milliseconds(0));
    m_places.emplace(task.attempt, place{&job, &entry});
}

auto job_tracker::mark_fenced(job_entry& job, const worker_id& worker) -> void
{
    const auto found = std::find_if(job.unfenced.begin(), job.unfenced.end(),
                                    [&](const job_worker& each)
                                    {
                                        return each.id == worker;
                                    });
    if (found == job.unfenced.end())
    {
        return;
    }
    job.unfenced.erase(found);
    if (job.unfenced.empty())
    {
        judge_unreported(job);
    }
}

auto job_tracker::judge_unreported(job_entry& job) -> void
{
    if (job.target != job_state::active)
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
                fail(job, job_fault::outcome_unknown,
                     "task " + std::to_string(task) +
                         " may have run under an owner that has died; it is "
                         "not idempotent and was not run again");
                return;
            }
        }
    }
}

} // namespace pimentoshunt::jobs
