/// @file
/// job_tracker: the end of attempts, retries with backoff, failures of jobs and
/// restarts of gangs.
#include <pimentoshunt/jobs/job_tracker.hpp>

#include <algorithm> // find, find_if, min
#include <utility>   // move

namespace pimentoshunt::jobs
{

using detail::attempt_phase;

namespace
{

constexpr int max_doublings = 16;

} // namespace

auto job_tracker::backoff(int failed_rounds) -> boot_clock::duration
{
    auto longest = m_limits.initial_backoff;
    for (int i = 0; i < std::min(failed_rounds, max_doublings); ++i)
    {
        longest = std::min(longest * 2, m_limits.max_backoff);
    }
    return longest / 2 + random_delay(longest / 2);
}

auto job_tracker::random_delay(milliseconds longest) -> milliseconds
{
    std::uniform_int_distribution<std::int64_t> any(0, longest.count());
    return milliseconds(any(m_random));
}

auto job_tracker::remove_attempt(job_entry& job, std::int64_t task,
                                 attempt_outcome outcome) -> void
{
    const auto found = job.attempts.find(task);
    m_effects.emplace_back(release_placement{job.record.spec.id,
                                             found->second.attempt,
                                             found->second.worker.id, outcome});
    m_attempts.erase(found->second.attempt);
    job.tasks_to_tick.erase(task);
    job.attempts.erase(found);
}

auto job_tracker::schedule_retry(job_entry& job, std::int64_t task,
                                 int failed_rounds, time_point now) -> void
{
    if (job.target_state == job_state::active)
    {
        job.waiting.insert(task, now + backoff(failed_rounds));
    }
}

auto job_tracker::end_not_run(job_entry& job, std::int64_t task, time_point now)
    -> void
{
    remove_attempt(job, task, attempt_outcome::not_run);
    if (job.record.spec.gang)
    {
        abort_gang(job, job_fault::attempts_used);
        return;
    }
    schedule_retry(job, task, 1, now);
}

auto job_tracker::end_stopped(job_entry& job, std::int64_t task, time_point now)
    -> void
{
    remove_attempt(job, task, attempt_outcome::stopped);
    if (job.target_state != job_state::active)
    {
        return;
    }
    if (job.record.spec.gang)
    {
        abort_gang(job, job_fault::outcome_unknown);
        return;
    }
    if (!job.record.spec.idempotent)
    {
        fail_job(job, job_fault::outcome_unknown,
                 "task " + std::to_string(task) +
                     " was stopped and may have taken effect; the task is not "
                     "idempotent and was not run again");
        return;
    }
    const auto count = ++job.stopped[task];
    if (count >= m_limits.max_stopped_attempts)
    {
        fail_job(job, job_fault::attempts_used,
                 "task " + std::to_string(task) + " was stopped " +
                     std::to_string(count) +
                     " times because of lost workers or expired leases");
        return;
    }
    schedule_retry(job, task, count, now);
}

auto job_tracker::end_finished(job_entry& job, std::int64_t task, int exit,
                               time_point now) -> void
{
    const auto& spec = job.record.spec;
    if (exit == 0)
    {
        remove_attempt(job, task, attempt_outcome::succeeded);
        if (!spec.gang)
        {
            job.record.progress.done.insert(task);
            // Without idempotency, losing the record of this end would make the
            // task's outcome unknown, so it is committed at once.
            mark_changed(job, !spec.idempotent);
            return;
        }
        job.gang_done.insert(task);
        if (job.gang_done.size() == spec.tasks)
        {
            job.record.progress.done.insert(task_range{0, spec.tasks});
            mark_changed(job, true);
        }
        return;
    }
    const auto worker = job.attempts.at(task).worker.id;
    remove_attempt(job, task, attempt_outcome::failed);
    if (job.target_state != job_state::active)
    {
        return;
    }
    const auto failures = count_failure(job, task, worker, exit);
    if (spec.gang)
    {
        abort_gang(job, job_fault::attempts_used);
        return;
    }
    schedule_retry(job, task, failures, now);
}

auto job_tracker::count_failure(job_entry& job, std::int64_t task,
                                const worker_id& worker, int exit) -> int
{
    auto& all = job.record.progress.failures;
    auto found = std::find_if(all.begin(), all.end(),
                              [task](const task_failures& each)
                              {
                                  return each.task == task;
                              });
    if (found == all.end())
    {
        found = all.insert(all.end(), task_failures{task, 0, 0, {}});
    }
    auto& item = *found;
    ++item.count;
    item.last_exit = exit;
    if (std::find(item.workers.begin(), item.workers.end(), worker) ==
        item.workers.end())
    {
        item.workers.push_back(worker);
    }
    mark_changed(job, false);
    const auto where = "task " + std::to_string(task) + " failed " +
                       std::to_string(item.count) + " times on " +
                       std::to_string(item.workers.size()) +
                       " workers, last with exit status " +
                       std::to_string(exit);
    if (item.workers.size() >= m_limits.workers_for_job_fault)
    {
        fail_job(job, job_fault::job, where);
    }
    else if (item.count >= job.record.spec.max_attempts)
    {
        fail_job(job, job_fault::attempts_used, where);
    }
    else if (!job.record.spec.idempotent)
    {
        fail_job(job, job_fault::attempts_used,
                 where + "; the task is not idempotent and was not run again");
    }
    return item.count;
}

auto job_tracker::fail_job(job_entry& job, job_fault fault,
                           const std::string& reason) -> void
{
    if (job.target_state != job_state::active)
    {
        return;
    }
    job.target_state = job_state::failed;
    job.record.progress.fault = fault;
    job.record.progress.reason = reason;
    stop_all(job);
}

auto job_tracker::stop_all(job_entry& job) -> void
{
    job.waiting.clear();
    std::vector<std::int64_t> held;
    for (auto& [task, entry] : job.attempts)
    {
        if (entry.phase == attempt_phase::held)
        {
            held.push_back(task);
            continue;
        }
        // An attempt whose start is in flight is stopped once the start's
        // result is known.
        entry.stop = true;
        entry.renew = false;
        entry.next_try = time_point{};
        job.tasks_to_tick.insert(task);
    }
    for (const auto task : held)
    {
        remove_attempt(job, task, attempt_outcome::not_run);
    }
}

auto job_tracker::abort_gang(job_entry& job, job_fault fault_if_single_run)
    -> void
{
    if (job.target_state != job_state::active || job.gang_aborting)
    {
        return;
    }
    if (job.gang_ran && !job.record.spec.idempotent)
    {
        fail_job(job, fault_if_single_run,
                 "a member of the gang did not succeed; the gang is not "
                 "idempotent and was not run again");
        return;
    }
    job.gang_aborting = true;
    stop_all(job);
}

auto job_tracker::reset_gang(job_entry& job) -> void
{
    job.gang_aborting = false;
    job.gang_ran = false;
    job.gang_done.clear();
    job.waiting.clear();
    job.next_new_task = 0;
}

auto job_tracker::restart_gang(job_entry& job, time_point now) -> void
{
    job.failed_runs += job.gang_ran ? 1 : 0;
    ++job.failed_rounds;
    reset_gang(job);
    job.backoff_until = now + backoff(job.failed_rounds);
    if (job.failed_runs >= m_limits.max_stopped_attempts)
    {
        fail_job(job, job_fault::attempts_used,
                 "the gang was started " + std::to_string(job.failed_runs) +
                     " times and never completed");
    }
}

} // namespace pimentoshunt::jobs
