// Dispatch: the scheduling pass, selection of workers for ready tasks, and
// start orders with their answers.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/cell/policy/worker_choice.hpp>
#include <pimentoshunt/logging.hpp>

#include <algorithm> // any_of, find, max, min
#include <optional>  // optional
#include <utility>   // exchange, move

namespace pimentoshunt::cell
{
namespace
{

using detail::run_phase;

} // namespace

auto to_string(start_outcome outcome) -> std::string
{
    switch (outcome)
    {
    case start_outcome::started:
        return "started";
    case start_outcome::fenced:
        return "fenced";
    case start_outcome::outdated:
        return "outdated";
    case start_outcome::late:
        return "late";
    case start_outcome::no_room:
        return "no room";
    case start_outcome::bad_ticket:
        return "bad ticket";
    case start_outcome::unhealthy:
        return "unhealthy";
    case start_outcome::invalid:
        return "invalid";
    case start_outcome::unreachable:
        return "unreachable";
    case start_outcome::unknown:
        break;
    }
    return "unknown";
}

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

auto scheduler::is_offered(const worker_record& worker, time_point now) const
    -> bool
{
    const bool is_reachable =
        worker.registered && !worker.ended && worker.enrolled &&
        !worker.entry.draining && worker.reconciled &&
        !worker.incarnation_uncertain && worker.unanswered_calls == 0;
    return is_reachable && now >= worker.no_starts_until &&
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
        if (ticket.incarnation == worker->entry.incarnation &&
            ticket.valid_until > now + m_options.ticket_margin &&
            fits(*worker, step) && is_usable(*worker, *item.job, step, now))
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

auto scheduler::start(const policy::waiting_step& item, std::uint32_t index,
                      worker_record& worker, std::uint64_t number,
                      time_point now) -> void
{
    auto& step = *item.step;
    const run_ref ref{
        {{item.job->spec->id, item.round->number, step.number}, index}, number};
    const auto location = find(ref.task);
    auto& run = add_run(worker, location, ref, now);
    run.is_whole =
        !step.spec->keeps_checkpoints || location.task->checkpoint.empty();
    run.probe = m_probed_workers.erase(worker.entry.id) > 0;
    step.held_back_since.reset();
    start_order order;
    order.target = target_of(worker);
    order.run = ref;
    order.job = item.job->spec;
    if (step.spec->keeps_checkpoints)
    {
        order.checkpoint = location.task->checkpoint;
    }
    order.lease_end = lease_end_for(worker, now);
    worker.lease_end = std::max(worker.lease_end, order.lease_end);
    const auto ticket = step.approvals.approved.find(&worker);
    if (ticket != step.approvals.approved.end())
    {
        order.ticket = ticket->second.text;
    }
    m_outbox.starts.push_back(std::move(order));
}

auto scheduler::on_start_answered(const start_order& order,
                                  start_outcome outcome,
                                  const std::optional<worker_reading>& reading,
                                  time_point now) -> void
{
    const auto found = m_workers.find(order.target.worker);
    if (found == m_workers.end())
    {
        return;
    }
    auto& worker = found->second;
    const auto run = worker.runs.find(order.run);
    if (run == worker.runs.end())
    {
        return;
    }
    const bool is_current =
        order.target.incarnation == worker.entry.incarnation;
    const bool is_from_known =
        is_current && (!reading || is_known_incarnation(worker, *reading,
                                                        run->second.sent_at));
    if (reading && is_from_known)
    {
        worker.clock = reading->clock;
        worker.clock_at = now;
    }
    else if (reading && is_current)
    {
        suspect_restart(worker, *reading, now);
    }
    const auto location = find(order.run.task);
    if (outcome == start_outcome::started)
    {
        if (location.job != nullptr)
        {
            location.job->any_started = true;
        }
        if (run->second.phase == run_phase::starting)
        {
            run->second.phase = run_phase::running;
            run->second.percent_changed_at = now;
        }
        run->second.confirmed = true;
        run->second.in_known_incarnation = is_from_known;
        run->second.first_seen_at = now;
        run->second.first_seen_clock =
            reading ? reading->clock : worker_time{0};
        worker.next_heartbeat_at = std::min(worker.next_heartbeat_at, now);
        if (run->second.in_trial)
        {
            // A waiting heartbeat may be answered long after the trial.
            heartbeat_at_once(worker, now);
        }
        return;
    }
    logging::info("start order failed")
        .with("run", to_string(order.run.task))
        .with("number", order.run.number)
        .with("worker", worker.entry.id)
        .with("outcome", to_string(outcome))
        .with("waited", now - run->second.sent_at);
    m_health.record_inconclusive(worker.entry.id, now);
    stop_gang(location, now);
    if (outcome == start_outcome::unknown)
    {
        request_stop(worker, run->second, now);
        mark_unanswered(worker, now);
        return;
    }
    if (outcome == start_outcome::bad_ticket && location.step != nullptr)
    {
        location.step->approvals.approved[&worker].valid_until = {};
    }
    if (outcome == start_outcome::fenced)
    {
        m_overtaken = true;
    }
    if (outcome == start_outcome::no_room ||
        outcome == start_outcome::unhealthy ||
        outcome == start_outcome::unreachable)
    {
        pause_starts(worker, now + m_options.refusal_pause);
    }
    if (location.task != nullptr && run->second.is_copy)
    {
        location.task->is_copied = false;
    }
    erase_run(worker, order.run);
    if (location.task != nullptr)
    {
        requeue(location, order.run.task.index, now);
    }
}

} // namespace pimentoshunt::cell
