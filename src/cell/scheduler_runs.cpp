// Runs: accounting of their resources, stop orders, and reports of workers.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/cell/policy/worker_choice.hpp>
#include <pimentoshunt/logging.hpp>

#include <algorithm> // max
#include <set>       // set

namespace pimentoshunt::cell
{
namespace
{

using detail::run_phase;

} // namespace

auto scheduler::add_run(worker_record& worker, const task_location& location,
                        const run_ref& run, time_point now) -> run_record&
{
    auto& record = worker.runs[run];
    record.run = run;
    record.sent_at = now;
    record.percent_changed_at = now;
    if (location.task == nullptr)
    {
        m_unattributed_runs += record.unattributed ? 0 : 1;
        record.unattributed = true;
        return record;
    }
    charge_run(record, *location.job, *location.step);
    record.taken = policy::resources_for(*location.step->spec, 1);
    record.filler = location.step->spec->filler;
    record.may_be_copied = policy::allows_copies(*location.step->spec);
    worker.used += record.taken;
    m_pool.update_room(worker);
    location.task->runs.push_back(run);
    location.task->last_run = std::max(location.task->last_run, run.number);
    location.step->waiting.erase(run.task.index);
    ++location.step->placed[&worker];
    return record;
}

auto scheduler::erase_run(worker_record& worker, const run_ref& run) -> void
{
    const auto found = worker.runs.find(run);
    if (found == worker.runs.end())
    {
        return;
    }
    end_trial(worker, found->second);
    discharge_run(found->second);
    worker.used -= found->second.taken;
    worker.runs.erase(found);
    m_pool.update_room(worker);
    const auto location = find(run.task);
    if (location.task == nullptr)
    {
        return;
    }
    std::erase(location.task->runs, run);
    const auto placed = location.step->placed.find(&worker);
    if (placed != location.step->placed.end() && placed->second > 0)
    {
        --placed->second;
    }
}

/// Only an outcome ejects or readmits a worker.
auto scheduler::record_outcome(worker_record& worker, const run_ref& run,
                               pimentoshunt::policy::attempt_outcome outcome,
                               time_point now) -> void
{
    m_health.record(worker.entry.id, workload_name(run.task.step.job.str()),
                    outcome, now);
    worker.is_ejected = m_health.ejected(worker.entry.id);
}

auto scheduler::on_run_ended(worker_record& worker, const run_ref& run,
                             run_end how, const std::string& checkpoint,
                             time_point now) -> void
{
    const auto known = worker.runs.find(run);
    if (known != worker.runs.end() && known->second.probe &&
        how != run_end::done && how != run_end::failed)
    {
        m_health.record_inconclusive(worker.entry.id, now);
    }
    const auto age = known == worker.runs.end() ? boot_clock::duration::zero()
                                                : now - known->second.sent_at;
    const bool has_worked = how == run_end::done || how == run_end::failed;
    if (known != worker.runs.end() && has_worked)
    {
        pass_trial(worker, known->second, now);
    }
    const auto location = find(run.task);
    if (known != worker.runs.end() && how == run_end::done)
    {
        learn_run_time(worker, known->second, location, now);
        note_copy_end(known->second, location);
    }
    erase_run(worker, run);
    if (location.task == nullptr)
    {
        return;
    }
    location.task->last_run = std::max(location.task->last_run, run.number);
    if (!checkpoint.empty() && location.step->spec->keeps_checkpoints)
    {
        location.task->checkpoint = checkpoint;
    }
    if (how == run_end::done)
    {
        record_outcome(worker, run,
                       pimentoshunt::policy::attempt_outcome::success, now);
        if (location.step->spec->gang)
        {
            for (std::uint32_t i = 0; i < location.step->tasks.size(); ++i)
            {
                task_done(find({run.task.step, i}), now);
            }
        }
        task_done(location, now);
        // Copies of a finished task are useless.
        stop_runs_of(*location.task, now);
    }
    if (how == run_end::failed)
    {
        location.task->avoid = worker.entry.id;
        record_outcome(worker, run,
                       pimentoshunt::policy::attempt_outcome::failure, now);
        count_failure(location, run, now);
    }
    requeue(location, run.task.index, now);
    if (how != run_end::done)
    {
        logging::info("run ended without success")
            .with("run", to_string(run.task))
            .with("number", run.number)
            .with("worker", worker.entry.id)
            .with("how", to_string(how))
            .with("age", age)
            .with("other_runs", worker.runs.size());
    }
}

auto scheduler::end_all_runs(worker_record& worker, run_end how, time_point now)
    -> void
{
    std::vector<run_ref> ending;
    for (const auto& [ref, run] : worker.runs)
    {
        ending.push_back(ref);
    }
    for (const auto& ref : ending)
    {
        on_run_ended(worker, ref, how, "", now);
    }
}

auto scheduler::request_stop(worker_record& worker, run_record& run,
                             time_point now) -> void
{
    if (run.phase == run_phase::stopping && run.stop_in_flight)
    {
        return;
    }
    run.phase = run_phase::stopping;
    worker.may_have_stops = true;
    run.stop_in_flight = true;
    run.stop_sent_at = now;
    m_outbox.stops.push_back({target_of(worker), run.run});
}

auto scheduler::stop_runs_of(const task_record& task, time_point now) -> void
{
    for (const auto& ref : task.runs)
    {
        for (auto& [id, worker] : m_workers)
        {
            const auto run = worker.runs.find(ref);
            if (run != worker.runs.end())
            {
                request_stop(worker, run->second, now);
            }
        }
    }
}

/// Stops all members of a gang: the others would wait for one that may never
/// start.
auto scheduler::stop_gang(const task_location& location, time_point now) -> void
{
    if (location.step == nullptr || !location.step->spec->gang)
    {
        return;
    }
    for (const auto& member : location.step->tasks)
    {
        stop_runs_of(member, now);
    }
}

auto scheduler::retry_stops(worker_record& worker, time_point now) -> void
{
    if (!worker.may_have_stops)
    {
        return;
    }
    worker.may_have_stops = false;
    for (auto& [ref, run] : worker.runs)
    {
        if (run.phase != run_phase::stopping)
        {
            continue;
        }
        worker.may_have_stops = true;
        const bool due = !run.stop_in_flight && !run.stop_answered_at &&
                         now - run.stop_sent_at >= m_options.stop_retry;
        if (due)
        {
            request_stop(worker, run, now);
        }
    }
}

auto scheduler::on_stop_answered(const stop_order& order, bool answered,
                                 time_point now) -> void
{
    const auto worker = m_workers.find(order.target.worker);
    // A restarted worker does not know of stop orders that it answered before.
    if (worker == m_workers.end() ||
        order.target.incarnation != worker->second.entry.incarnation)
    {
        return;
    }
    const auto run = worker->second.runs.find(order.run);
    if (run == worker->second.runs.end())
    {
        return;
    }
    run->second.stop_in_flight = false;
    if (answered)
    {
        run->second.stop_answered_at = now;
        // A run that never started produces no end for which the worker would
        // answer a waiting heartbeat.
        heartbeat_at_once(worker->second, now);
    }
}

auto scheduler::apply_end(worker_record& worker, const reported_end& end,
                          time_point now) -> void
{
    if (end.number <= worker.ends_received)
    {
        return;
    }
    worker.ends_received = end.number;
    m_with_unsaved_ends.insert(worker.entry.id);
    if (find(end.run.task).task == nullptr)
    {
        ++m_counts.unknown_ends;
        logging::warn("run of an unknown job ended")
            .with("run", to_string(end.run.task))
            .with("number", end.run.number)
            .with("worker", worker.entry.id)
            .with("end", end.number)
            .with("how", to_string(end.how))
            .with("epoch", m_epoch);
    }
    on_run_ended(worker, end.run, end.how, end.checkpoint, now);
}

auto scheduler::apply_present_run(worker_record& worker,
                                  const reported_run& seen, time_point now)
    -> void
{
    const auto location = find(seen.run.task);
    auto known = worker.runs.find(seen.run);
    if (known == worker.runs.end())
    {
        auto& run = add_run(worker, location, seen.run, now);
        run.phase = run_phase::running;
        end_superseded_runs(location, seen.run, now);
        known = worker.runs.find(seen.run);
        const bool is_expected = location.task != nullptr &&
                                 !location.task->done &&
                                 !is_final(location.job->state) &&
                                 (location.task->runs.size() == 1 ||
                                  location.step->spec->copies_allowed);
        if (location.job != nullptr)
        {
            location.job->any_started = true;
        }
        const bool job_known = location.task != nullptr;
        m_counts.unknown_runs += job_known ? 0 : 1;
        if (!is_expected)
        {
            logging::warn("stopping an unexpected run")
                .with("run", to_string(seen.run.task))
                .with("number", seen.run.number)
                .with("worker", worker.entry.id)
                .with("job_known", job_known)
                .with("epoch", m_epoch);
            request_stop(worker, run, now);
        }
    }
    auto& run = known->second;
    run.in_known_incarnation = true;
    if (!run.first_seen_at)
    {
        run.confirmed = true;
        run.first_seen_at = now;
        run.first_seen_clock = *worker.clock;
    }
    if (run.in_trial && *worker.clock - run.first_seen_clock >= run.trial_time)
    {
        pass_trial(worker, run, now);
    }
    clear_long_running(run, location, now);
    if (run.phase == run_phase::starting)
    {
        run.phase = run_phase::running;
    }
    if (run.percent != seen.percent)
    {
        run.percent = seen.percent;
        run.percent_changed_at = now;
    }
    run.load = seen.load;
    if (location.task != nullptr && !seen.checkpoint.empty() &&
        location.step->spec->keeps_checkpoints)
    {
        location.task->checkpoint = seen.checkpoint;
    }
}

/// A task starts again only once its earlier runs have ended, so that those which
/// only the row of a worker names are over.
auto scheduler::end_superseded_runs(const task_location& location,
                                    const run_ref& later, time_point now)
    -> void
{
    if (location.task == nullptr || location.step->spec->copies_allowed)
    {
        return;
    }
    const auto known = location.task->runs;
    for (const auto& ref : known)
    {
        if (ref.number >= later.number)
        {
            continue;
        }
        for (auto& [id, worker] : m_workers)
        {
            const auto run = worker.runs.find(ref);
            if (run != worker.runs.end() && run->second.restored &&
                !worker.clock)
            {
                on_run_ended(worker, ref, run_end::stopped, "", now);
            }
        }
    }
}

auto scheduler::end_absent_runs(worker_record& worker, const run_report& report,
                                time_point sent_at, time_point now) -> void
{
    if (!report.all_ends_listed)
    {
        // The run may have ended with an end that is not listed yet.
        return;
    }
    std::set<run_ref> present;
    for (const auto& seen : report.present)
    {
        present.insert(seen.run);
    }
    std::vector<run_ref> absent;
    for (const auto& [ref, run] : worker.runs)
    {
        if (present.contains(ref))
        {
            continue;
        }
        // The report may have been made before the run arrived.
        const bool was_present =
            run.first_seen_at && *run.first_seen_at < sent_at;
        const bool stop_was_answered =
            run.stop_answered_at && *run.stop_answered_at < sent_at;
        // A worker that has answered this owner refuses starts of earlier ones.
        if (was_present || stop_was_answered || run.restored)
        {
            absent.push_back(ref);
        }
    }
    for (const auto& ref : absent)
    {
        on_run_ended(worker, ref, run_end::stopped, "", now);
    }
}

} // namespace pimentoshunt::cell
