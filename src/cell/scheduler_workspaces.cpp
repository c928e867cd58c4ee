// Workspaces: what their runs count, what a limit keeps back, and what may run
// unseen after a takeover.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/logging.hpp>

#include <algorithm> // max, min
#include <cstddef>   // size_t
#include <cstdint>   // int64_t, uint32_t
#include <map>       // map
#include <string>    // string, to_string

namespace pimentoshunt::cell
{
namespace
{

/// Need of a step at one start: a task's, or that of the whole gang.
auto need_at_start(const step_spec& step) -> resources
{
    return policy::charge_for(step, step.gang ? step.count : 1);
}

/// Number of runs of the task that an earlier owner may have begun and that no
/// report has shown: one, or two where copies may run.
auto unknown_runs(const detail::task_record& task, const step_spec& step)
    -> std::size_t
{
    const bool may_be_copied = step.copies_allowed && !step.gang;
    // A copy of a finished task may still be running.
    const std::size_t possible = (task.done ? 0 : 1) + (may_be_copied ? 1 : 0);
    return possible - std::min(possible, task.runs.size());
}

/// What runs of a job may take that no report has shown.
struct unknown_use
{
    resources needed;
    std::int64_t best_effort_millicpus = 0;
};

auto add_unknown_runs(unknown_use& sum, const detail::job_record& job) -> void
{
    for (const auto& round : job.rounds)
    {
        for (const auto& step : round.steps)
        {
            std::size_t runs = 0;
            for (const auto& task : step.tasks)
            {
                runs += unknown_runs(task, *step.spec);
            }
            const auto needed = policy::charge_for(
                *step.spec, static_cast<std::uint32_t>(runs));
            sum.needed += needed;
            sum.best_effort_millicpus +=
                step.spec->filler ? needed.millicpus : 0;
        }
    }
}

/// For each resource the larger amount: a worker that has shrunk may still hold
/// what it was given before.
auto larger_of(const resources& left, const resources& right) -> resources
{
    return {std::max(left.slots, right.slots),
            std::max(left.millicpus, right.millicpus),
            std::max(left.memory_mb, right.memory_mb),
            std::max(left.accelerators, right.accelerators)};
}

} // namespace

/// Charges the run to the account of its job's workspace, once.
auto scheduler::charge_run(run_record& run, const job_record& job,
                           const step_record& step) -> void
{
    m_unattributed_runs -= run.unattributed ? 1 : 0;
    run.unattributed = false;
    if (job.account == nullptr || run.account != nullptr)
    {
        return;
    }
    run.account = job.account;
    run.charged = policy::charge_for(*step.spec);
    run.account->used += run.charged;
}

/// The record itself holds what it was charged, so that the account is right
/// also when the job has been removed before its run ended.
auto scheduler::discharge_run(run_record& run) -> void
{
    m_unattributed_runs -= run.unattributed ? 1 : 0;
    run.unattributed = false;
    if (run.account != nullptr)
    {
        run.account->used -= run.charged;
        run.account = nullptr;
    }
}

/// Charges runs that were reported before their job was known.
auto scheduler::attribute_runs(const job_record& job) -> void
{
    if (m_unattributed_runs == 0)
    {
        return;
    }
    for (auto& [id, worker] : m_workers)
    {
        for (auto& [ref, run] : worker.runs)
        {
            const bool is_of_job =
                run.unattributed && ref.task.step.job == job.spec->id;
            const auto location = is_of_job ? find(ref.task) : task_location{};
            if (location.task != nullptr)
            {
                charge_run(run, job, *location.step);
            }
        }
    }
}

/// While a worker may have runs of an earlier owner that it has not reported,
/// the most that these can take counts for their workspaces. Inherited jobs wait
/// for these reports, but the workspaces' new jobs don't.
auto scheduler::count_unreported_runs(time_point now) -> void
{
    if (!m_usage.has_limits())
    {
        return;
    }
    resources capacity;
    bool is_any_awaited = false;
    for (const auto& [id, worker] : m_workers)
    {
        if (is_report_awaited(worker, now))
        {
            is_any_awaited = true;
            capacity +=
                larger_of(worker.entry.capacity, worker.inherited_capacity);
        }
    }
    if (!is_any_awaited)
    {
        return;
    }
    std::map<policy::workspace_account*, unknown_use> uses;
    for (const auto& [id, job] : m_jobs)
    {
        // A job that has ended may still have runs that are being stopped.
        if (job.inherited && job.account != nullptr &&
            job.account->is_limited())
        {
            add_unknown_runs(uses[job.account], job);
        }
    }
    for (const auto& [account, use] : uses)
    {
        account->unreported = policy::unreported_use(
            use.needed, use.best_effort_millicpus, capacity);
    }
}

/// How many tasks of the step its workspace may start now; of a gang all or
/// none.
auto scheduler::startable_tasks(const policy::waiting_step& item) const
    -> std::uint32_t
{
    const auto& spec = *item.step->spec;
    const auto waiting = static_cast<std::uint32_t>(item.step->waiting.size());
    const auto starts = policy::startable(
        item.job->account, need_at_start(spec), spec.gang ? 1 : waiting);
    return spec.gang ? starts * waiting : starts;
}

/// For how many tasks approval may be requested. What precedes an early request
/// will have ended by the time of its answer.
auto scheduler::requestable_tasks(const policy::waiting_step& item,
                                  bool early) const -> std::uint32_t
{
    const auto& spec = *item.step->spec;
    const auto* const account = item.job->account;
    // A request for a step without a waiting task is for a copy of one.
    const auto waiting =
        std::max(static_cast<std::uint32_t>(item.step->waiting.size()), 1u);
    if (account == nullptr || !account->is_limited())
    {
        return waiting;
    }
    const auto need = need_at_start(spec);
    const auto wanted = spec.gang ? 1 : waiting;
    const auto starts =
        early ? policy::places_within(account->limit, {}, need, wanted)
              : policy::requestable(account, need, wanted);
    return spec.gang ? starts * waiting : starts;
}

/// Counts a request in flight, so that later steps of the workspace don't ask
/// for the same room.
auto scheduler::count_requested(const policy::waiting_step& item) const -> void
{
    if (item.job->account != nullptr && item.step->approvals.in_flight)
    {
        item.job->account->requested += policy::charge_for(
            *item.step->spec, requestable_tasks(item, false));
    }
}

auto scheduler::is_gang_held_back(const policy::waiting_step& item,
                                  time_point now) -> bool
{
    const bool is_held_back = startable_tasks(item) == 0;
    if (is_held_back)
    {
        hold_back(item, now);
    }
    return is_held_back;
}

/// Notes that the limit of its workspace keeps the step back.
auto scheduler::hold_back(const policy::waiting_step& item, time_point now)
    -> void
{
    auto& step = *item.step;
    auto& account = *item.job->account;
    step.held_back_at = now;
    if (step.held_back_since)
    {
        return;
    }
    step.held_back_since = now;
    ++account.held_back;
    if (now - account.logged_at < m_options.wait_log_interval)
    {
        return;
    }
    account.logged_at = now;
    logging::info("limit of a workspace keeps a step back")
        .with("workspace", account.name)
        .with("job", item.job->spec->id)
        .with("step", step.number)
        .with("waiting", step.waiting.size())
        .with("millicpus_used", account.used.millicpus)
        .with("millicpus_limit", account.limit.millicpus)
        .with("memory_mb_used", account.used.memory_mb)
        .with("memory_mb_limit", account.limit.memory_mb)
        .with("accelerators_used", account.used.accelerators)
        .with("accelerators_limit", account.limit.accelerators)
        .with("millicpus_unreported", account.unreported.millicpus);
}

/// A step that needs much of the limit at once would wait for good while smaller
/// steps of its workspace take all that becomes free. After a while it claims
/// its need, the first such step of a workspace in each pass.
auto scheduler::claim_limit(const policy::waiting_step& item,
                            time_point now) const -> void
{
    const auto& step = *item.step;
    auto* const account = item.job->account;
    if (account == nullptr || !step.held_back_since || step.waiting.empty() ||
        now - *step.held_back_since < m_options.limit_claim_after ||
        now - step.held_back_at > m_options.limit_claim_duration ||
        account->claimed != resources{})
    {
        return;
    }
    const auto need = need_at_start(*step.spec);
    if (policy::places_within(account->limit, {}, need, 1) > 0)
    {
        account->claimed = need;
    }
}

/// Marks the jobs that were added since the last pass.
auto scheduler::mark_rates() -> void
{
    for (const auto& mark : m_rates.update())
    {
        const auto job = m_jobs.find(mark.job);
        if (job != m_jobs.end())
        {
            job->second.beyond_rate = mark.is_beyond;
        }
    }
}

/// Sorts again by the shares of the workspaces, if more than one has a step that
/// waits.
auto scheduler::order_by_shares(std::vector<policy::waiting_step>& items) const
    -> void
{
    if (!policy::are_workspaces_competing(items))
    {
        return;
    }
    policy::cell_load load;
    for (const auto& [id, worker] : m_workers)
    {
        if (worker.registered)
        {
            load.capacity += worker.entry.capacity;
        }
        load.used += worker.used;
    }
    policy::set_share_increments(items, m_usage.accounts(), load);
    policy::sort(items);
}

/// Counts the workspaces for the metrics, about once a second.
auto scheduler::count_workspaces(time_point now) -> void
{
    constexpr milliseconds count_interval{1'000};
    if (m_usage.accounts().empty() ||
        now - m_workspaces_counted_at < count_interval)
    {
        return;
    }
    m_workspaces_counted_at = now;
    std::map<const policy::workspace_account*, std::uint64_t> waiting_jobs;
    for (const auto& [arrival, job] : m_active)
    {
        waiting_jobs[job->account] += job->any_started ? 0 : 1;
    }
    m_counts.workspaces = m_usage.take_counts(waiting_jobs);
}

auto scheduler::check_usage() const -> std::string
{
    std::map<const policy::workspace_account*, resources> sums;
    std::size_t unattributed = 0;
    for (const auto& [id, worker] : m_workers)
    {
        for (const auto& [ref, run] : worker.runs)
        {
            unattributed += run.unattributed ? 1 : 0;
            if (run.account != nullptr)
            {
                sums[run.account] += run.charged;
            }
            const auto job = m_jobs.find(ref.task.step.job);
            const bool is_lost = !run.unattributed && job != m_jobs.end() &&
                                 job->second.account != run.account;
            if (is_lost)
            {
                return "not counted: " + to_string(ref.task);
            }
        }
    }
    for (const auto& [name, account] : m_usage.accounts())
    {
        if (account.used != sums[&account])
        {
            return "wrong sum for " + name.str() + ": " +
                   std::to_string(account.used.millicpus) + " of " +
                   std::to_string(sums[&account].millicpus) + " millicpus";
        }
    }
    return unattributed == m_unattributed_runs ? "" : "unattributed runs";
}

} // namespace pimentoshunt::cell
