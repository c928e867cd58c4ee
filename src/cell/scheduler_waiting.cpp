// Waits: logs what a ready step that starts nothing for long waits for. Steps are
// logged one at a time, since each visits all workers.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/cell/policy/worker_choice.hpp>
#include <pimentoshunt/logging.hpp>

#include <cstddef> // size_t
#include <string>  // string
#include <utility> // exchange

namespace pimentoshunt::cell
{
namespace
{

/// Minimum time between the lines of two steps.
constexpr milliseconds pause_between_steps{100};

/// What the workers of a service offer a step.
struct worker_offer
{
    std::size_t usable = 0;
    std::size_t ejected = 0;
    std::size_t paused = 0;
    std::size_t in_trial = 0;
    /// Usable workers without an answer of the approval service for the step.
    std::size_t not_asked = 0;
    /// Usable workers with a valid ticket, and those of them with room.
    std::size_t with_ticket = 0;
    std::size_t with_ticket_and_room = 0;
    /// Tasks for which usable workers that are not refused have room, and the
    /// same on empty workers.
    std::uint64_t places = 0;
    std::uint64_t places_when_empty = 0;
};

} // namespace

auto scheduler::log_long_wait(const policy::waiting_step& item, time_point now)
    -> void
{
    auto& step = *item.step;
    const auto waited = now - step.waiting_since;
    if (step.waiting.empty() || waited < m_options.wait_log_interval ||
        now - step.wait_logged_at < m_options.wait_log_interval ||
        now - m_wait_logged_at < pause_between_steps)
    {
        return;
    }
    step.wait_logged_at = now;
    m_wait_logged_at = now;
    ++m_counts.long_waits;
    if (!logging::is_enabled(logging::level::info))
    {
        return;
    }
    const auto& approvals = step.approvals;
    const bool needs_approval = item.job->spec->queue.approval.required;
    worker_offer offer;
    for (auto& [id, worker] : m_workers)
    {
        offer.ejected += m_health.ejected(id) ? 1 : 0;
        offer.paused += now < worker.no_starts_until ? 1 : 0;
        offer.in_trial += worker.trials > 0 ? 1 : 0;
        if (!is_usable(worker, *item.job, step, now))
        {
            continue;
        }
        ++offer.usable;
        const auto ticket = approvals.approved.find(&worker);
        const bool approved = ticket != approvals.approved.end();
        const bool valid =
            !needs_approval ||
            (approved && is_ticket_valid(ticket->second, worker, now));
        offer.not_asked +=
            !approved && !approvals.refused.contains(&worker) ? 1 : 0;
        offer.with_ticket += valid ? 1 : 0;
        offer.with_ticket_and_room += valid && fits(worker, step) ? 1 : 0;
        if (!approvals.refused.contains(&worker))
        {
            offer.places += policy::places_on(worker, *step.spec);
            offer.places_when_empty +=
                policy::places_when_empty(worker, *step.spec);
        }
    }
    const auto in_flight_for = approvals.in_flight
                                   ? now - approvals.requested_at
                                   : boot_clock::duration::zero();
    logging::info("ready step has started nothing for long")
        .with("job", item.job->spec->id)
        .with("step", step.number)
        .with("queue", item.job->spec->queue.name)
        .with("gang", step.spec->gang)
        .with("inherited", item.job->inherited)
        .with("expired", item.expired)
        .with("workspace", item.job->spec->workspace)
        .with("held_back_by_limit",
              step.held_back_since && step.held_back_at == now)
        .with("tasks", step.spec->count)
        .with("waiting", step.waiting.size())
        .with("done", step.done_count)
        .with("millicpus", step.spec->need.millicpus)
        .with("waited", waited)
        .with("workers", m_workers.size())
        .with("usable", offer.usable)
        .with("ejected", offer.ejected)
        .with("paused", offer.paused)
        .with("in_trial", offer.in_trial)
        .with("needs_trial", is_trial_needed(step))
        .with("unsaved_crash", item.job->has_unsaved_crash)
        .with("approved", approvals.approved.size())
        .with("refused", approvals.refused.size())
        .with("not_asked", offer.not_asked)
        .with("with_ticket", offer.with_ticket)
        .with("with_ticket_and_room", offer.with_ticket_and_room)
        .with("places", offer.places)
        .with("places_when_empty", offer.places_when_empty)
        .with("in_flight", approvals.in_flight)
        .with("in_flight_for", in_flight_for)
        .with("slow_slots_left", m_slow_request_slots_left)
        .with("approval_rate", approval_rate(item.job->spec->queue.name))
        .with("reserving", step.reservation.since.has_value())
        .with("reservation_complete", step.reservation.complete)
        .with("reservations", m_reserving_steps.size());
}

auto scheduler::log_blocked_jobs(bool blocked, time_point now) -> void
{
    const bool was_blocked = std::exchange(m_jobs_blocked, blocked);
    if (!blocked)
    {
        if (was_blocked)
        {
            logging::info("inherited jobs no longer wait for reports")
                .with("epoch", m_epoch)
                .with("owned_for", now - m_started_at);
        }
        return;
    }
    if (now - m_blocked_logged_at < m_options.wait_log_interval)
    {
        return;
    }
    m_blocked_logged_at = now;
    ++m_counts.long_waits;
    log_awaited_workers("inherited jobs wait for reports of workers", now);
}

auto scheduler::log_end(time_point now) const -> void
{
    if (m_jobs_blocked)
    {
        log_awaited_workers(
            "ownership ends while inherited jobs wait for reports", now);
    }
}

/// Logs how many workers are awaited, and of the one that is awaited longest what
/// distinguishes a worker that has left from one that is slow or new.
auto scheduler::log_awaited_workers(const std::string& message,
                                    time_point now) const -> void
{
    std::size_t awaited = 0;
    const worker_record* last = nullptr;
    for (const auto& [id, worker] : m_workers)
    {
        if (!is_report_awaited(worker, now))
        {
            continue;
        }
        ++awaited;
        if (last == nullptr ||
            lease_expires_at(*last) < lease_expires_at(worker))
        {
            last = &worker;
        }
    }
    if (last == nullptr)
    {
        return;
    }
    logging::info(message)
        .with("epoch", m_epoch)
        .with("owned_for", now - m_started_at)
        .with("awaited", awaited)
        .with("last", last->entry.id)
        .with("wait_left", lease_expires_at(*last) - now)
        .with("in_roster", last->roster_version > 0)
        .with("registered", last->registered)
        .with("draining", last->entry.draining)
        .with("unanswered_calls", last->unanswered_calls);
}

} // namespace pimentoshunt::cell
