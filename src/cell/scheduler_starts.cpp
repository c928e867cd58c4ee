// Starts: orders and their answers, and starts that wait for a reading of their
// worker's clock.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/logging.hpp>

#include <algorithm> // max, min
#include <optional>  // optional
#include <utility>   // exchange, move
#include <vector>    // vector

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
    if (!is_clock_outdated(worker, now))
    {
        send_start(worker, run, location, now);
        return;
    }
    run.is_waiting = true;
    if (m_with_waiting_starts.insert(worker.entry.id).second)
    {
        logging::info("starts wait for a reading of their worker's clock")
            .with("worker", worker.entry.id)
            .with("last_clock_age", now - worker.clock_at);
        heartbeat_at_once(worker, now);
    }
}

auto scheduler::send_start(worker_record& worker, run_record& run,
                           const task_location& location, time_point now)
    -> void
{
    run.sent_at = now;
    run.percent_changed_at = now;
    start_order order;
    order.target = target_of(worker);
    order.run = run.run;
    order.job = location.job->spec;
    if (location.step->spec->keeps_checkpoints)
    {
        order.checkpoint = location.task->checkpoint;
    }
    order.lease_end = lease_end_for(worker, now);
    worker.lease_end = std::max(worker.lease_end, order.lease_end);
    const auto ticket = location.step->approvals.approved.find(&worker);
    if (ticket != location.step->approvals.approved.end())
    {
        order.ticket = ticket->second.text;
    }
    m_outbox.starts.push_back(std::move(order));
}

/// Sends the starts that waited for a reading of their worker's clock. Only a pass
/// does so, as only it knows whether the owner may still act.
auto scheduler::send_waiting_starts(time_point now) -> void
{
    const auto waiting = m_with_waiting_starts;
    for (const auto& id : waiting)
    {
        const auto found = m_workers.find(id);
        if (found == m_workers.end())
        {
            m_with_waiting_starts.erase(id);
            continue;
        }
        auto& worker = found->second;
        if (!accepts_starts(worker))
        {
            withdraw_waiting_starts(worker, now);
            continue;
        }
        if (is_clock_outdated(worker, now))
        {
            continue;
        }
        m_with_waiting_starts.erase(id);
        send_waiting_starts_to(worker, now);
    }
}

auto scheduler::send_waiting_starts_to(worker_record& worker, time_point now)
    -> void
{
    std::vector<run_ref> without_ticket;
    for (auto& [ref, run] : worker.runs)
    {
        const bool is_due = std::exchange(run.is_waiting, false) &&
                            run.phase == run_phase::starting;
        const auto location = find(ref.task);
        if (!is_due || location.task == nullptr)
        {
            continue;
        }
        if (!is_permitted(worker, location, now))
        {
            without_ticket.push_back(ref);
            continue;
        }
        send_start(worker, run, location, now);
    }
    for (const auto& ref : without_ticket)
    {
        give_up_start(worker, ref, now);
    }
}

auto scheduler::is_ticket_valid(const detail::approval_record::ticket& ticket,
                                const worker_record& worker,
                                time_point now) const -> bool
{
    return ticket.incarnation == worker.entry.incarnation &&
           ticket.valid_until > now + m_options.ticket_margin;
}

/// Whether the step needs no ticket for the worker, or has one that is valid.
auto scheduler::is_permitted(worker_record& worker,
                             const task_location& location,
                             time_point now) const -> bool
{
    if (!location.job->spec->queue.approval.required)
    {
        return true;
    }
    const auto& approved = location.step->approvals.approved;
    const auto ticket = approved.find(&worker);
    return ticket != approved.end() &&
           is_ticket_valid(ticket->second, worker, now);
}

/// The worker does not answer, has restarted or takes no more work. What waited has
/// not been sent, so that its tasks can start elsewhere at once.
auto scheduler::withdraw_waiting_starts(worker_record& worker, time_point now)
    -> void
{
    if (m_with_waiting_starts.erase(worker.entry.id) == 0)
    {
        return;
    }
    std::vector<run_ref> waiting;
    for (const auto& [ref, run] : worker.runs)
    {
        if (run.is_waiting)
        {
            waiting.push_back(ref);
        }
    }
    logging::info("starts that waited for their worker are withdrawn")
        .with("worker", worker.entry.id)
        .with("starts", waiting.size());
    m_health.record_inconclusive(worker.entry.id, now);
    for (const auto& ref : waiting)
    {
        give_up_start(worker, ref, now);
    }
}

/// Forgets a run that has certainly not begun, and its gang with it.
auto scheduler::give_up_start(worker_record& worker, const run_ref& run,
                              time_point now) -> void
{
    const auto location = find(run.task);
    const auto known = worker.runs.find(run);
    if (location.task != nullptr && known->second.is_copy)
    {
        location.task->is_copied = false;
    }
    stop_gang(location, now);
    erase_run(worker, run);
    if (location.task != nullptr)
    {
        requeue(location, run.task.index, now);
    }
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
    if (outcome == start_outcome::unknown)
    {
        stop_gang(location, now);
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
    give_up_start(worker, order.run, now);
}

} // namespace pimentoshunt::cell
