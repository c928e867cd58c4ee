// Workers that end unannounced, and tasks that may be the cause: what counts as a
// crash under a task, trials of suspects, and when a task is given up.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/cell/policy/worker_choice.hpp>
#include <pimentoshunt/logging.hpp>

#include <algorithm> // any_of, max, stable_sort
#include <chrono>    // duration_cast
#include <optional>  // optional
#include <utility>   // exchange

namespace pimentoshunt::cell
{
namespace
{

/// Suspects with most crashes first, tasks that are no suspects last.
auto trial_order(const detail::task_record& task) -> std::size_t
{
    return task.is_suspect() ? 1 + task.crashes.size() : 0;
}

/// Whether a run began so recently that it could be taken for the cause of a
/// crash.
auto has_new_runs(const detail::worker_record& worker, time_point now) -> bool
{
    return std::any_of(worker.runs.begin(), worker.runs.end(),
                       [&](const auto& item)
                       {
                           return now - item.second.sent_at <=
                                  policy::contemporary;
                       });
}

} // namespace

/// A machine runs one worker at a time, so that a silent one has ended once
/// another one has answered at its address. An entry alone shows nothing.
auto scheduler::end_replaced_worker(const worker_record& successor,
                                    time_point now) -> void
{
    const auto& entry = successor.entry;
    auto& latest = m_latest_at_address[entry.address];
    const auto found = m_workers.find(latest);
    if (found != m_workers.end() && latest != entry.id &&
        found->second.entry.address == entry.address)
    {
        auto& worker = found->second;
        if (worker.unanswered_calls > 0)
        {
            on_worker_ended(worker, now);
        }
    }
    latest = entry.id;
}

/// Ends all runs of a worker whose process has ended: unlike one that is only
/// silent, it can't run anything until its lease expires.
auto scheduler::on_worker_ended(worker_record& worker, time_point now) -> void
{
    if (worker.ended)
    {
        return;
    }
    logging::warn("worker has ended: another one answers at its address")
        .with("worker", worker.entry.id)
        .with("address", worker.entry.address)
        .with("draining", worker.entry.draining)
        .with("runs", worker.runs.size())
        .with("last_answer_age", now - worker.answered_at);
    worker.ended = true;
    worker.leases_expired = true;
    worker.registered = false;
    worker.unregistered_at = now;
    withdraw_waiting_starts(worker, now);
    record_crashes(worker, now);
    end_all_runs(worker, run_end::worker_ended, now);
}

/// The runs that may have crashed the worker. Nothing has started on it since a
/// trial began; what was there before had done no harm, and is then beyond
/// suspicion. A run that began just before is not, and leaves no certainty about
/// the one on trial.
auto scheduler::suspects_on(const worker_record& worker,
                            const std::set<run_ref>& unharmed) const
    -> std::map<run_ref, worker_crash>
{
    const auto age_of = [&](const run_record& run)
    {
        return std::chrono::duration_cast<milliseconds>(
            worker.silent_since.value_or(run.sent_at) - run.sent_at);
    };
    const auto suspicious_age = m_crash_ages.suspicious_age();
    bool any_young = false;
    std::optional<time_point> trial_began_at;
    time_point last_bystander;
    for (const auto& [ref, run] : worker.runs)
    {
        if (unharmed.contains(ref))
        {
            continue;
        }
        any_young = any_young || age_of(run) <= suspicious_age;
        if (run.in_trial)
        {
            trial_began_at = run.sent_at;
        }
        else
        {
            last_bystander = std::max(last_bystander, run.sent_at);
        }
    }
    std::map<run_ref, worker_crash> out;
    for (const auto& [ref, run] : worker.runs)
    {
        const bool preceded_trial =
            trial_began_at &&
            *trial_began_at - run.sent_at > policy::contemporary;
        if (unharmed.contains(ref) || (!run.in_trial && preceded_trial))
        {
            continue;
        }
        worker_crash crash;
        crash.age = age_of(run);
        crash.confirmed =
            run.confirmed && worker.silent_since && worker.lost_connection;
        crash.likely =
            trial_began_at || !any_young || crash.age <= suspicious_age;
        crash.in_trial =
            run.in_trial && run.sent_at - last_bystander > policy::contemporary;
        out[ref] = crash;
    }
    return out;
}

/// A worker that falls silent may have crashed: the tasks on it are suspects
/// until it answers. Those that may run twice are started again, the others once
/// the worker is known to have ended.
auto scheduler::on_worker_silent(worker_record& worker, bool connection_lost,
                                 time_point now) -> void
{
    if (worker.silent_since)
    {
        return;
    }
    worker.silent_since = now;
    worker.lost_connection = connection_lost;
    if (!worker.entry.draining)
    {
        for (const auto& [ref, crash] : suspects_on(worker))
        {
            const auto location = find(ref.task);
            if (location.task != nullptr && crash.likely)
            {
                location.task->lost = true;
                location.step->suspected = true;
                location.step->trial_passed = false;
            }
        }
    }
    requeue_copyable(worker);
}

/// A worker that answers again in the same incarnation was only silent.
auto scheduler::on_worker_answers(worker_record& worker) -> void
{
    worker.silent_since.reset();
    const auto clear = [&](const run_ref& ref)
    {
        const auto location = find(ref.task);
        if (location.task != nullptr)
        {
            location.task->lost = false;
        }
    };
    for (const auto& [ref, run] : worker.runs)
    {
        clear(ref);
    }
    for (const auto& [ref, crash] : worker.lost_suspects)
    {
        clear(ref);
    }
    worker.lost_suspects.clear();
}

/// Records that the worker crashed under its suspected runs, unless it was about
/// to leave.
auto scheduler::record_crashes(worker_record& worker, time_point now,
                               const std::set<run_ref>& unharmed) -> void
{
    auto suspects = std::exchange(worker.lost_suspects, {});
    suspects.merge(suspects_on(worker, unharmed));
    if (worker.entry.draining)
    {
        return;
    }
    for (const auto& [ref, crash] : suspects)
    {
        record_crash(ref, crash, worker, now);
    }
}

auto scheduler::record_crash(const run_ref& run, const worker_crash& crash,
                             const worker_record& worker, time_point now)
    -> void
{
    const auto location = find(run.task);
    if (location.task == nullptr || location.task->done ||
        is_final(location.job->state) ||
        !location.task->crashes.emplace(run.number, crash).second)
    {
        return;
    }
    ++m_counts.crashes;
    if (crash.confirmed && crash.in_trial)
    {
        m_crash_ages.record(crash.age);
    }
    location.step->suspected = true;
    location.step->trial_passed = false;
    // A later owner must know of the crash before the task starts again.
    location.job->has_unsaved_crash = true;
    location.job->crash_batch = 0;
    mark_dirty(*location.job);
    logging::warn("worker crashed under a run")
        .with("run", to_string(run.task))
        .with("number", run.number)
        .with("worker", worker.entry.id)
        .with("age", crash.age)
        .with("confirmed", crash.confirmed)
        .with("likely", crash.likely)
        .with("in_trial", crash.in_trial)
        .with("crashes", location.task->crashes.size());
    give_up_crashing(run.task, now);
}

auto scheduler::give_up_crashing(const task_ref& task, time_point now) -> void
{
    const auto location = find(task);
    if (location.task == nullptr || is_final(location.job->state) ||
        !policy::should_give_up(location.task->crashes))
    {
        return;
    }
    ++m_counts.crash_failures;
    logging::warn("job failed: a task crashes its workers")
        .with("job", location.job->spec->id)
        .with("task", to_string(task))
        .with("crashes", location.task->crashes.size());
    finish(*location.job, job_state::failed, now);
}

auto scheduler::end_trial(worker_record& worker, run_record& run) -> void
{
    if (run.in_trial)
    {
        run.in_trial = false;
        --worker.trials;
        const auto location = find(run.run.task);
        if (location.step != nullptr)
        {
            --location.step->trials;
        }
    }
}

/// The run has done its worker no harm. Its crashes still count.
auto scheduler::pass_trial(worker_record& worker, run_record& run,
                           time_point now) -> void
{
    if (!run.in_trial)
    {
        return;
    }
    logging::info("trial passed")
        .with("run", to_string(run.run.task))
        .with("number", run.run.number)
        .with("worker", worker.entry.id)
        .with("age", now - run.sent_at)
        .with("trial_time", run.trial_time);
    end_trial(worker, run);
    const auto location = find(run.run.task);
    if (location.task != nullptr)
    {
        location.task->lost = false;
        location.step->trial_passed = true;
    }
}

/// Over its long life a lasting task sees workers crash for other reasons.
auto scheduler::clear_long_running(run_record& run,
                                   const task_location& location,
                                   time_point now) -> void
{
    if (location.task != nullptr && location.step->spec->lasting &&
        !location.task->crashes.empty() &&
        now - *run.first_seen_at >= policy::time_to_clear_lasting)
    {
        location.task->crashes.clear();
        mark_dirty(*location.job);
    }
}

/// Whether a trial decides on further starts of the step: its tasks are alike,
/// so that one that crashes its worker is likely to have company.
auto scheduler::is_trial_needed(const step_record& step) const -> bool
{
    return !step.trial_passed && step.has_suspects();
}

/// Starts suspects in trials: one task of the step first, the other suspects
/// once it has passed.
auto scheduler::place_suspects(const policy::waiting_step& item, time_point now)
    -> void
{
    auto& step = *item.step;
    const bool single = is_trial_needed(step);
    if (item.job->has_unsaved_crash || (single && step.trials > 0))
    {
        return;
    }
    std::vector<std::uint32_t> chosen;
    for (const auto index : step.waiting)
    {
        // While the suspects are still on silent workers, another task takes the
        // step's trial.
        if (single || step.tasks[index].is_suspect())
        {
            chosen.push_back(index);
        }
    }
    if (chosen.empty())
    {
        return;
    }
    std::stable_sort(chosen.begin(), chosen.end(),
                     [&](std::uint32_t left, std::uint32_t right)
                     {
                         return trial_order(step.tasks[left]) >
                                trial_order(step.tasks[right]);
                     });
    const auto candidate_workers = candidates(item, now);
    for (const auto index : chosen)
    {
        auto& task = step.tasks[index];
        if (startable_tasks(item) == 0)
        {
            hold_back(item, now);
            return;
        }
        // The emptiest worker, as a crash costs the others least there, and before
        // all one where nothing has begun just now, so that a crash tells most.
        auto* const worker = policy::cheapest(
            candidate_workers,
            [&](const worker_record& at)
            {
                return fits(at, step);
            },
            [&](const worker_record& at)
            {
                constexpr double new_runs = 1.0;
                return policy::trial_cost(at, *step.spec, task.avoid) +
                       (has_new_runs(at, now) ? new_runs : 0);
            });
        if (worker == nullptr)
        {
            return;
        }
        start(item, index, *worker, next_number(task), now);
        begin_trial(*worker, item, index);
        if (single)
        {
            return;
        }
    }
}

/// Puts the last run of the task, which was just started, on trial.
auto scheduler::begin_trial(worker_record& worker,
                            const policy::waiting_step& item,
                            std::uint32_t index) -> void
{
    auto& task = item.step->tasks[index];
    auto& run = worker.runs.at(task.runs.back());
    run.in_trial = true;
    run.trial_time =
        policy::trial_time(task.crashes, m_crash_ages.suspicious_age());
    ++worker.trials;
    ++item.step->trials;
}

} // namespace pimentoshunt::cell
