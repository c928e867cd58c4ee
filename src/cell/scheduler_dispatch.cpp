// Dispatch: the scheduling pass, and selection of workers for ready tasks.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/cell/policy/worker_choice.hpp>
#include <pimentoshunt/logging.hpp>

#include <algorithm> // any_of, find, max, min
#include <optional>  // optional
#include <utility>   // exchange, move

namespace pimentoshunt::cell
{
auto scheduler::advance(time_point now, calendar_time calendar,
                        const owner_authority& authority) -> outbox
{
    m_authority = authority;
    m_slow_request_slots_left = authority.slow_request_slots;
    release_rounds(now, calendar);
    if (now - m_supervised_at >= m_options.supervision_interval)
    {
        m_supervised_at = now;
        for (auto& [id, worker] : m_workers)
        {
            retry_stops(worker, now);
            end_expired_runs(worker, now);
            stop_outlasting(worker, now);
            update_pool(worker, now);
        }
        forget_gone_workers(now);
        refresh_speeds(now);
        begin_due_probes(now);
    }
    const bool may_act = authority.may_act && !m_overtaken;
    if (may_act)
    {
        send_waiting_starts(now);
        dispatch(now);
    }
    for (auto& [id, worker] : m_workers)
    {
        plan_heartbeat(worker, now, may_act);
    }
    count_workspaces(now);
    m_last_pass.examined_workers = std::exchange(m_examined_workers, 0);
    return std::exchange(m_outbox, {});
}

auto scheduler::begin_due_probes(time_point now) -> void
{
    for (const auto& id : m_health.take_due_probes(now))
    {
        m_probed_workers.insert(id);
        const auto worker = m_workers.find(id);
        if (worker != m_workers.end())
        {
            update_pool(worker->second, now);
        }
    }
}

/// Whether the worker has not reported yet and may still run work of an earlier
/// owner, which wrote a row for it before its first start.
auto scheduler::is_report_awaited(const worker_record& worker,
                                  time_point now) const -> bool
{
    return !worker.reconciled && worker.roster_version > 0 && !worker.closed &&
           !worker.ended && now < lease_expires_at(worker);
}

auto scheduler::earlier_runs_possible(time_point now) const -> bool
{
    return std::any_of(m_workers.begin(), m_workers.end(),
                       [&](const auto& item)
                       {
                           return is_report_awaited(item.second, now);
                       });
}

auto scheduler::ready_steps(time_point now) -> std::vector<policy::waiting_step>
{
    std::vector<policy::waiting_step> out;
    // Evaluated at most once as it visits all workers, and only if there is
    // such a job.
    std::optional<bool> blocked;
    for (auto& [arrival, job] : m_active)
    {
        if (job->inherited && !blocked)
        {
            blocked = earlier_runs_possible(now);
            log_blocked_jobs(*blocked, now);
        }
        if (job->inherited && *blocked)
        {
            continue;
        }
        for (auto& round : job->rounds)
        {
            if (!round.released || round.done)
            {
                continue;
            }
            for (auto& step : round.steps)
            {
                if (!step.ready || step.waiting.empty())
                {
                    continue;
                }
                policy::waiting_step item;
                item.job = job;
                item.round = &round;
                item.step = &step;
                policy::compute_deadlines(item, now, time_factor(item));
                item.beyond_rate = job->beyond_rate;
                out.push_back(item);
            }
        }
    }
    apply_selection(out, now);
    policy::admit_aged(out, now);
    policy::sort(out);
    order_by_shares(out);
    return out;
}

auto scheduler::accepts_starts(const worker_record& worker) const -> bool
{
    return worker.registered && !worker.ended && worker.enrolled &&
           !worker.entry.draining && worker.reconciled &&
           !worker.incarnation_uncertain && worker.unanswered_calls == 0;
}

auto scheduler::is_offered(const worker_record& worker, time_point now) const
    -> bool
{
    return accepts_starts(worker) && now >= worker.no_starts_until &&
           (!worker.is_ejected || m_probed_workers.contains(worker.entry.id));
}

auto scheduler::update_pool(worker_record& worker, time_point now) -> void
{
    m_pool.update(worker, {is_offered(worker, now), offers_capacity(worker)});
}

auto scheduler::is_usable(const worker_record& worker, const job_record& job,
                          const step_record& step, time_point now) const -> bool
{
    ++m_examined_workers;
    if (!is_offered(worker, now) ||
        worker.entry.service != job.spec->queue.service)
    {
        return false;
    }
    const auto& label = step.spec->required_label;
    const auto& labels = worker.entry.labels;
    return label.empty() ||
           std::find(labels.begin(), labels.end(), label) != labels.end();
}

auto scheduler::fits(const worker_record& worker, const step_record& step) const
    -> bool
{
    const auto limit = step.spec->most_per_worker;
    const auto placed = step.placed.find(&worker);
    const auto here = placed == step.placed.end() ? 0 : placed->second;
    return worker.trials == 0 &&
           policy::resources_for(*step.spec, 1).fits_in(worker.room()) &&
           (limit == 0 || here < limit);
}

auto scheduler::permitted_workers(const policy::waiting_step& item,
                                  time_point now) -> std::vector<worker_record*>
{
    const auto& step = *item.step;
    std::vector<worker_record*> out;
    if (!item.job->spec->queue.approval.required)
    {
        for (auto& [id, worker] : m_workers)
        {
            if (is_usable(worker, *item.job, step, now))
            {
                out.push_back(&worker);
            }
        }
        return out;
    }
    for (const auto& [worker, ticket] : step.approvals.approved)
    {
        if (ticket.incarnation == worker->entry.incarnation &&
            is_usable(*worker, *item.job, step, now))
        {
            out.push_back(worker);
        }
    }
    policy::sort_by_id(out);
    return out;
}

auto scheduler::candidates(const policy::waiting_step& item, time_point now)
    -> std::vector<worker_record*>
{
    const auto& step = *item.step;
    const auto& queue = item.job->spec->queue;
    std::vector<worker_record*> out;
    if (!queue.approval.required)
    {
        const auto one = policy::resources_for(*step.spec, 1).millicpus;
        for (auto* const worker : m_pool.with_room(queue.service, one))
        {
            if (fits(*worker, step) && is_usable(*worker, *item.job, step, now))
            {
                out.push_back(worker);
            }
        }
        return out;
    }
    for (const auto& [worker, ticket] : step.approvals.approved)
    {
        if (is_ticket_valid(ticket, *worker, now) && fits(*worker, step) &&
            is_usable(*worker, *item.job, step, now))
        {
            out.push_back(worker);
        }
    }
    policy::sort_by_id(out);
    return out;
}

auto scheduler::log_starts(const policy::waiting_step& item, std::size_t count,
                           time_point now) const -> void
{
    logging::info("tasks are started")
        .with("job", item.job->spec->id)
        .with("epoch", m_epoch)
        .with("inherited", item.job->inherited)
        .with("confirmed_age", m_authority.confirmed_age)
        .with("step", item.step->number)
        .with("tasks", count)
        .with("still_waiting", item.step->waiting.size())
        .with("ready_for", now - item.step->ready_since)
        .with("approved_workers", item.step->approvals.approved.size())
        .with("time_left", item.due - now);
}

auto scheduler::dispatch(time_point now) -> void
{
    m_usage.begin_pass();
    count_unreported_runs(now);
    mark_rates();
    auto waiting = ready_steps(now);
    m_last_pass.waiting_steps = waiting.size();
    m_partially_reserving.clear();
    for (const auto& item : waiting)
    {
        const auto before = item.step->waiting.size();
        if (item.step->spec->gang)
        {
            place_gang(item, now);
        }
        else
        {
            place_tasks(item, now);
        }
        if (item.step->waiting.size() < before)
        {
            log_starts(item, before - item.step->waiting.size(), now);
            item.step->waiting_since = now;
        }
        if (!item.step->waiting.empty() &&
            item.job->spec->queue.approval.required)
        {
            request_approval(item, false, now);
            count_requested(item);
        }
        claim_limit(item, now);
        log_long_wait(item, now);
    }
    release_unvisited_reservations(now);
    request_early_approvals(now);
    place_copies(waiting, now);
}

auto scheduler::place_tasks(const policy::waiting_step& item, time_point now)
    -> void
{
    // The limit is checked first: it costs less than the search for workers.
    if (startable_tasks(item) == 0)
    {
        hold_back(item, now);
        return;
    }
    if (item.step->suspected)
    {
        place_suspects(item, now);
        if (is_trial_needed(*item.step))
        {
            return;
        }
    }
    const auto candidate_workers = candidates(item, now);
    if (candidate_workers.empty())
    {
        return;
    }
    const policy::speed_cost speed_cost(preference_of(item, now));
    const std::vector<std::uint32_t> indexes(item.step->waiting.begin(),
                                             item.step->waiting.end());
    for (const auto index : indexes)
    {
        auto& task = item.step->tasks[index];
        if (task.is_suspect())
        {
            continue;
        }
        if (startable_tasks(item) == 0)
        {
            hold_back(item, now);
            return;
        }
        auto* const worker = policy::cheapest(
            candidate_workers,
            [&](const worker_record& at)
            {
                return fits(at, *item.step);
            },
            [&](const worker_record& at)
            {
                return policy::placement_cost(at, *item.step->spec,
                                              task.avoid) +
                       speed_cost(at.log_speed);
            });
        if (worker == nullptr)
        {
            return;
        }
        start(item, index, *worker, next_number(task), now);
    }
}

} // namespace pimentoshunt::cell
