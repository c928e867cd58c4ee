// Jobs: how they are added, advance from step to step, and finish.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/logging.hpp>

#include <algorithm> // clamp, find, min, remove
#include <utility>   // exchange, move

namespace pimentoshunt::cell
{
namespace
{

/// Maximum number of runs of one task in an epoch; see next_number().
constexpr std::uint64_t numbers_per_epoch = 10'000;

/// Whether a run of the job may be alive.
auto has_runs(const detail::job_record& job) -> bool
{
    for (const auto& round : job.rounds)
    {
        for (const auto& step : round.steps)
        {
            for (const auto& task : step.tasks)
            {
                if (!task.runs.empty())
                {
                    return true;
                }
            }
        }
    }
    return false;
}

} // namespace

scheduler::scheduler(std::uint64_t epoch, scheduler_options options,
                     time_point now)
    : m_epoch(epoch), m_options(std::move(options)),
      m_clocks(m_options.clock_slowness), m_started_at(now),
      m_health({.consecutive_failures = 2,
                .min_outcomes = 10,
                .initial_probe_delay = milliseconds(1'500),
                .max_probe_delay = milliseconds(6'000)})
{
    restore_speeds(m_options.speeds);
}

auto scheduler::configure(const configuration& latest) -> void
{
    m_configuration = latest;
    m_usage.configure(latest.workspaces);
    for (auto& [arrival, job] : m_active)
    {
        const auto* const terms = latest.find_queue(job->spec->queue.name);
        if (terms == nullptr)
        {
            continue;
        }
        auto changed = std::make_shared<job_spec>(*job->spec);
        changed->queue = *terms;
        for (auto& round : job->rounds)
        {
            for (auto& step : round.steps)
            {
                step.spec = &changed->steps[step.number];
            }
        }
        job->spec = std::move(changed);
    }
}

auto scheduler::add_job(const job_spec& job, time_point now) -> job_record*
{
    if (m_jobs.contains(job.id))
    {
        return nullptr;
    }
    auto& record = m_jobs[job.id];
    record.spec = std::make_shared<const job_spec>(job);
    policy::set_chains(record);
    record.account = m_usage.account_of(job.workspace);
    m_rates.add(record.account, job.id, job.accepted_at);
    record.accepted_at = now;
    record.arrival = ++m_arrivals;
    m_active[record.arrival] = &record;
    for (std::uint32_t number = 0; number < job.rounds(); ++number)
    {
        add_round(record, number);
    }
    attribute_runs(record);
    return &record;
}

auto scheduler::add_round(job_record& job, std::uint32_t number) -> void
{
    round_record round;
    round.number = number;
    if (job.spec->occurrences > 0)
    {
        round.due = job.spec->first_due + number * job.spec->interval;
    }
    for (const auto& spec : job.spec->steps)
    {
        step_record step;
        step.spec = &spec;
        step.number = static_cast<std::uint32_t>(round.steps.size());
        step.tasks.resize(spec.count);
        for (std::uint32_t i = 0; i < spec.count; ++i)
        {
            step.waiting.insert(i);
        }
        round.steps.push_back(std::move(step));
    }
    job.rounds.push_back(std::move(round));
}

auto scheduler::accept(const job_spec& job, time_point now) -> bool
{
    auto* const record = add_job(job, now);
    if (record != nullptr)
    {
        note_arrival(*record, now);
        apply_early_cancellation(*record, now);
    }
    return record != nullptr;
}

auto scheduler::restore(const job_spec& job, const job_progress& progress,
                        time_point now) -> bool
{
    auto* const record = add_job(job, now);
    if (record == nullptr)
    {
        return false;
    }
    record->inherited = true;
    record->state = progress.state;
    record->published_state = progress.state;
    record->any_started = progress.state != job_state::queued;
    for (const auto& stored : progress.rounds)
    {
        if (stored.round >= record->rounds.size())
        {
            continue;
        }
        auto& round = record->rounds[stored.round];
        for (const auto& [number, indexes] : stored.done)
        {
            for (const auto index : indexes)
            {
                const auto location =
                    find({{job.id, stored.round, number}, index});
                if (location.task == nullptr || location.task->done)
                {
                    continue;
                }
                location.task->done = true;
                location.step->waiting.erase(index);
                ++location.step->done_count;
            }
        }
        for (const auto& run : stored.failures)
        {
            const auto location = find(run.task);
            if (location.task != nullptr)
            {
                location.task->failures.insert(run.number);
            }
        }
        for (const auto& [run, crash] : stored.crashes)
        {
            const auto location = find(run.task);
            if (location.task != nullptr)
            {
                location.task->crashes.emplace(run.number, crash);
                location.step->suspected = true;
            }
        }
        for (const auto& [task, checkpoint] : stored.checkpoints)
        {
            const auto location = find(task);
            if (location.task != nullptr)
            {
                location.task->checkpoint = checkpoint;
            }
        }
        for (const auto& step : round.steps)
        {
            round.steps_done += step.done_count == step.spec->count ? 1 : 0;
        }
        round.done = round.steps_done == round.steps.size();
    }
    if (is_final(progress.state))
    {
        record->ended_at = now;
        m_active.erase(record->arrival);
        m_finished.push_back(job.id);
    }
    apply_early_cancellation(*record, now);
    for (const auto& stored : progress.rounds)
    {
        for (const auto& [run, crash] : stored.crashes)
        {
            give_up_crashing(run.task, now);
        }
    }
    return true;
}

auto scheduler::cancel(const job_id& job, time_point now) -> void
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
    {
        // The cancellation may be read before the job although it was stored
        // after it.
        m_early_cancellations.try_emplace(job, now);
        return;
    }
    if (is_final(found->second.state))
    {
        return;
    }
    logging::info("job cancelled").with("job", job);
    finish(found->second, job_state::cancelled, now);
}

auto scheduler::apply_early_cancellation(job_record& job, time_point now)
    -> void
{
    if (m_early_cancellations.erase(job.spec->id) > 0)
    {
        cancel(job.spec->id, now);
    }
}

auto scheduler::finish(job_record& job, job_state state, time_point now) -> void
{
    job.state = state;
    // A cancellation is durable before the scheduler learns of it.
    if (state == job_state::cancelled)
    {
        job.published_state = state;
    }
    job.ended_at = now;
    mark_dirty(job);
    m_has_unsaved_end = m_has_unsaved_end || state != job_state::cancelled;
    stop_all_runs(job, now);
    for (auto& round : job.rounds)
    {
        for (auto& step : round.steps)
        {
            release_reservation(step);
            release_claims(step);
            // What refers to workers ends with the job.
            step.approvals = {};
            step.placed.clear();
        }
    }
    m_active.erase(job.arrival);
    m_finished.push_back(job.spec->id);
}

auto scheduler::stop_all_runs(job_record& job, time_point now) -> void
{
    // Most jobs finish after all their runs, and visiting all workers is
    // expensive.
    if (!has_runs(job))
    {
        return;
    }
    for (auto& [id, worker] : m_workers)
    {
        for (auto& [ref, run] : worker.runs)
        {
            if (ref.task.step.job == job.spec->id)
            {
                request_stop(worker, run, now);
            }
        }
    }
}

/// When the job was accepted, also by an earlier owner. The wall clocks of two
/// instances may differ.
auto scheduler::accepted_at(const job_record& job, calendar_time calendar,
                            time_point now) const -> time_point
{
    if (!job.inherited || job.spec->accepted_at == calendar_time{})
    {
        return job.accepted_at;
    }
    const auto age = std::clamp(calendar - job.spec->accepted_at,
                                milliseconds(0), m_options.max_inherited_age);
    return std::min(job.accepted_at, now - age);
}

auto scheduler::release_rounds(time_point now, calendar_time calendar) -> void
{
    for (auto& [arrival, job] : m_active)
    {
        for (auto& round : job->rounds)
        {
            if (round.released)
            {
                continue;
            }
            if (round.due && calendar < *round.due)
            {
                continue;
            }
            round.released = true;
            // A due time in the past counts from that time, not from now.
            round.released_at = round.due ? now - (calendar - *round.due)
                                          : accepted_at(*job, calendar, now);
            release_steps(*job, round, now);
        }
    }
}

auto scheduler::release_steps(job_record& job, round_record& round,
                              time_point now) -> void
{
    for (auto& step : round.steps)
    {
        if (step.ready)
        {
            continue;
        }
        bool ready = true;
        for (const auto earlier : step.spec->after)
        {
            const auto& before = round.steps[earlier];
            ready = ready && before.done_count == before.spec->count;
        }
        if (ready)
        {
            step.ready = true;
            step.ready_since = now;
            step.waiting_since = now;
        }
    }
    // Jobs without steps, or with only finished tasks before a takeover.
    if (round.steps_done == round.steps.size() && !round.done)
    {
        round.done = true;
    }
    bool all = true;
    for (const auto& item : job.rounds)
    {
        all = all && item.done;
    }
    if (all && !is_final(job.state))
    {
        job.state = job_state::succeeded;
        mark_dirty(job);
    }
}

auto scheduler::find(const task_ref& task) -> task_location
{
    task_location location;
    const auto found = m_jobs.find(task.step.job);
    if (found == m_jobs.end())
    {
        return location;
    }
    location.job = &found->second;
    if (task.step.round >= location.job->rounds.size())
    {
        return location;
    }
    location.round = &location.job->rounds[task.step.round];
    if (task.step.step >= location.round->steps.size())
    {
        return location;
    }
    location.step = &location.round->steps[task.step.step];
    if (task.index < location.step->tasks.size())
    {
        location.task = &location.step->tasks[task.index];
    }
    return location;
}

auto scheduler::next_number(const task_record& task) const -> std::uint64_t
{
    // Exceeds all numbers of earlier epochs, which are not stored.
    const auto first = (m_epoch - 1) * numbers_per_epoch + 1;
    return std::max(first, task.last_run + 1);
}

auto scheduler::task_done(const task_location& location, time_point now) -> void
{
    if (location.task->done || location.step->spec->lasting)
    {
        return;
    }
    location.task->done = true;
    location.task->checkpoint.clear();
    ++location.step->done_count;
    mark_dirty(*location.job);
    const auto index =
        static_cast<std::uint32_t>(location.task - location.step->tasks.data());
    location.step->waiting.erase(index);
    if (location.step->done_count == location.step->spec->count)
    {
        step_done(location, now);
    }
}

auto scheduler::step_done(const task_location& location, time_point now) -> void
{
    ++location.round->steps_done;
    location.step->times = {};
    if (location.round->steps_done < location.round->steps.size())
    {
        release_steps(*location.job, *location.round, now);
        return;
    }
    location.round->done = true;
    for (const auto& round : location.job->rounds)
    {
        if (!round.done)
        {
            return;
        }
    }
    if (!is_final(location.job->state))
    {
        logging::info("job succeeded")
            .with("job", location.job->spec->id)
            .with("took", now - location.job->accepted_at);
        finish(*location.job, job_state::succeeded, now);
    }
}

auto scheduler::requeue(const task_location& location, std::uint32_t index,
                        time_point now) -> void
{
    if (!location.task->done && location.task->runs.empty() &&
        !is_final(location.job->state))
    {
        if (location.step->waiting.empty())
        {
            location.step->waiting_since = now;
        }
        location.step->waiting.insert(index);
    }
}

auto scheduler::count_failure(const task_location& location, const run_ref& run,
                              time_point now) -> void
{
    if (!location.task->failures.insert(run.number).second)
    {
        return;
    }
    mark_dirty(*location.job);
    const auto& spec = *location.step->spec;
    if (spec.lasting || is_final(location.job->state))
    {
        return;
    }
    auto failures = location.task->failures;
    if (spec.gang)
    {
        for (const auto& member : location.step->tasks)
        {
            failures.insert(member.failures.begin(), member.failures.end());
        }
    }
    if (failures.size() < location.job->spec->queue.most_failures)
    {
        return;
    }
    logging::warn("job failed: a task reached the failure limit")
        .with("job", location.job->spec->id)
        .with("task", to_string(run.task))
        .with("failures", failures.size());
    finish(*location.job, job_state::failed, now);
}

auto scheduler::take_expired(time_point now, std::size_t limit)
    -> std::vector<job_id>
{
    // Forgets cancellations of jobs that have already been removed.
    std::erase_if(m_early_cancellations,
                  [&](const auto& item)
                  {
                      return now - item.second >=
                             m_options.final_state_retention;
                  });
    std::vector<job_id> out;
    while (!m_finished.empty() && out.size() < limit)
    {
        const auto found = m_jobs.find(m_finished.front());
        if (found != m_jobs.end())
        {
            const auto& job = found->second;
            if (now - job.ended_at < m_options.final_state_retention ||
                job.dirty || job.published_state != job.state)
            {
                break;
            }
            m_jobs.erase(found);
        }
        out.push_back(m_finished.front());
        m_finished.erase(m_finished.begin());
    }
    return out;
}

auto scheduler::take_counts() -> scheduler_counts
{
    return std::exchange(m_counts, {});
}

auto scheduler::state_of(const job_id& job) const -> std::optional<job_state>
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
    {
        return std::nullopt;
    }
    const auto& record = found->second;
    if (is_final(record.published_state))
    {
        return record.published_state;
    }
    return record.any_started ? job_state::running : job_state::queued;
}

auto scheduler::pending() const -> std::vector<queue_count>
{
    std::map<queue_name, std::uint64_t> counts;
    for (const auto& [arrival, job] : m_active)
    {
        counts[job->spec->queue.name] += job->any_started ? 0 : 1;
    }
    std::vector<queue_count> out;
    out.reserve(counts.size());
    for (const auto& [queue, count] : counts)
    {
        out.push_back({queue, count});
    }
    return out;
}

} // namespace pimentoshunt::cell
