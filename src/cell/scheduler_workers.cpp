// Workers: records, leases and heartbeats.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/logging.hpp>

#include <algorithm> // max, min

namespace pimentoshunt::cell
{
namespace
{

/// Delay before the next heartbeat after one without an answer.
constexpr milliseconds unanswered_pause{100};
/// Upper bound of the growing delay for a worker that holds up no work.
constexpr milliseconds max_unanswered_pause{1'000};

} // namespace

auto scheduler::target_of(const worker_record& worker) const -> order_target
{
    return {worker.entry.id, worker.entry.address, m_epoch,
            worker.entry.incarnation};
}

auto scheduler::find_or_add_worker(const worker_entry& entry, time_point now)
    -> worker_record&
{
    const auto [location, added] = m_workers.try_emplace(entry.id);
    auto& worker = location->second;
    if (added)
    {
        worker.entry = entry;
        worker.next_heartbeat_at = now;
        worker.earlier_orders_end = earlier_owner_ends_at();
        worker.shown_silence = initial_silence();
        m_health.add(entry.id);
    }
    return worker;
}

auto scheduler::on_worker_unregistered(const worker_id& worker, time_point now)
    -> void
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
    {
        return;
    }
    found->second.unconfirmed_entry.reset();
    if (!found->second.registered)
    {
        return;
    }
    found->second.registered = false;
    found->second.unregistered_at = now;
    logging::info("worker unregistered")
        .with("worker", worker)
        .with("address", found->second.entry.address)
        .with("unanswered_calls", found->second.unanswered_calls)
        .with("runs", found->second.runs.size());
}

/// The worker's clock now is at least what its last reading and the slowest clock
/// give, so that no lease is longer than a later owner assumes, however old the
/// reading is.
auto scheduler::lease_end_for(const worker_record& worker, time_point now) const
    -> worker_time
{
    return *worker.clock + m_clocks.least_by_worker(now - worker.clock_at) +
           (worker.entry.draining ? m_options.leaving_lease : m_options.lease);
}

/// Whether the last reading of the worker's clock is so old that a lease which is
/// reckoned from it could be too short.
auto scheduler::is_clock_outdated(const worker_record& worker,
                                  time_point now) const -> bool
{
    constexpr int max_share = 10;
    return !worker.clock || m_clocks.uncertainty(now - worker.clock_at) >
                                m_options.lease / max_share;
}

/// Until then an earlier owner may have acted without noticing that it was
/// replaced.
auto scheduler::earlier_owner_ends_at() const -> time_point
{
    return m_options.earlier_owner_ended
               ? m_started_at
               : m_started_at + m_options.earlier_owner_limit;
}

auto scheduler::lease_expires_at(const worker_record& worker) const
    -> time_point
{
    if (!worker.clock)
    {
        // Runs on the worker have a lease of an earlier owner.
        return std::max(worker.earlier_orders_end +
                            m_clocks.longest_by_owner(m_options.lease),
                        worker.misdirected_lease_ends_at);
    }
    const auto left =
        std::max(worker.lease_end - *worker.clock, worker_time{0});
    return std::max(worker.clock_at + m_clocks.longest_by_owner(left),
                    worker.misdirected_lease_ends_at);
}

auto scheduler::on_heartbeat_answered(const heartbeat_order& order,
                                      const heartbeat_answer& answer,
                                      time_point now) -> void
{
    const auto found = m_workers.find(order.target.worker);
    if (found == m_workers.end())
    {
        return;
    }
    auto& worker = found->second;
    if (order.number != worker.heartbeat_number)
    {
        apply_outdated_answer(worker, answer, now);
        return;
    }
    const auto& report = answer.report;
    const auto sent_at = worker.heartbeat_sent_at;
    worker.heartbeat_in_flight = false;
    // At an address that only an entry names, another worker's answer shows
    // nothing.
    if (answer.replaced && order.target.address == worker.entry.address)
    {
        on_worker_ended(worker, now);
    }
    if (!report)
    {
        withdraw_waiting_starts(worker, now);
        ++worker.unanswered_calls;
        on_worker_silent(worker, answer.connection_lost, now);
        const bool holds_up_work = !worker.reconciled || !worker.runs.empty();
        worker.next_heartbeat_at =
            now + (holds_up_work
                       ? unanswered_pause
                       : std::min(unanswered_pause * worker.unanswered_calls,
                                  max_unanswered_pause));
        if (worker.unanswered_calls == 1)
        {
            log_unanswered(worker, answer, now);
        }
        return;
    }
    worker.unanswered_calls = 0;
    worker.answered_at = now;
    const bool restarted = !is_known_incarnation(
        worker, {report->clock, report->incarnation}, sent_at);
    if (restarted)
    {
        begin_incarnation(worker, *report, now);
    }
    worker.entry.address = order.target.address;
    resolve_entry(worker);
    if (worker.silent_since || !worker.lost_suspects.empty())
    {
        on_worker_answers(worker);
    }
    if (!worker.clock)
    {
        end_replaced_worker(worker, now);
        // An earlier owner may have granted a full lease just before this
        // answer.
        worker.lease_end =
            std::max(worker.lease_end, report->clock + m_options.lease);
    }
    worker.clock = report->clock;
    worker.clock_at = now;
    // Only a complete report shows all runs that an earlier owner has started.
    worker.reconciled = worker.reconciled || report->all_ends_listed;
    if (!restarted)
    {
        worker.ends_acknowledged =
            std::max(worker.ends_acknowledged, order.ends_durable);
    }
    worker.next_heartbeat_at =
        worker.reconciled ? now : now + m_options.heartbeat_retry;
    apply_report(worker, *report, sent_at, now);
    update_pool(worker, now);
}

/// The ends in an outdated answer hold: the worker may leave before it can list
/// them again.
auto scheduler::apply_outdated_answer(worker_record& worker,
                                      const heartbeat_answer& answer,
                                      time_point now) -> void
{
    if (!answer.report ||
        answer.report->incarnation != worker.entry.incarnation)
    {
        return;
    }
    for (const auto& end : answer.report->ended)
    {
        apply_end(worker, end, now);
    }
}

/// Replaces a waiting heartbeat, which would be answered too late, by one that
/// is answered immediately.
auto scheduler::heartbeat_at_once(worker_record& worker, time_point now) -> void
{
    worker.heartbeat_in_flight = false;
    ++worker.heartbeat_number;
    worker.next_heartbeat_at = now;
    worker.immediate_heartbeat = true;
}

/// After an order without an answer, the worker gets no new work until it
/// answers.
auto scheduler::mark_unanswered(worker_record& worker, time_point now) -> void
{
    worker.unanswered_calls =
        std::max<std::uint32_t>(worker.unanswered_calls, 1);
    heartbeat_at_once(worker, now);
}

/// Logs what distinguishes a crash from a cut: how the call failed, and which
/// run began last before.
auto scheduler::log_unanswered(const worker_record& worker,
                               const heartbeat_answer& answer,
                               time_point now) const -> void
{
    const detail::run_record* youngest = nullptr;
    for (const auto& [ref, run] : worker.runs)
    {
        if (youngest == nullptr || youngest->sent_at < run.sent_at)
        {
            youngest = &run;
        }
    }
    logging::warn("worker did not answer a heartbeat")
        .with("worker", worker.entry.id)
        .with("address", worker.entry.address)
        .with("failure", answer.failure)
        .with("runs", worker.runs.size())
        .with("youngest_run",
              youngest == nullptr ? "" : to_string(youngest->run.task))
        .with("youngest_age", youngest == nullptr ? boot_clock::duration::zero()
                                                  : now - youngest->sent_at)
        .with("last_answer_age", now - worker.answered_at);
}

/// Tasks that may run twice need not wait for the lease to expire.
auto scheduler::requeue_copyable(worker_record& worker) -> void
{
    for (const auto& [ref, run] : worker.runs)
    {
        const auto location = find(ref.task);
        const bool copied =
            location.task != nullptr && location.step->spec->copies_allowed &&
            !location.step->spec->gang && !location.task->done &&
            !is_final(location.job->state) && location.task->runs.size() == 1;
        if (copied)
        {
            location.task->avoid = worker.entry.id;
            location.step->waiting.insert(ref.task.index);
        }
    }
}

auto scheduler::apply_report(worker_record& worker, const run_report& report,
                             time_point sent_at, time_point now) -> void
{
    for (const auto& end : report.ended)
    {
        apply_end(worker, end, now);
    }
    for (const auto& seen : report.present)
    {
        apply_present_run(worker, seen, now);
    }
    end_absent_runs(worker, report, sent_at, now);
    stop_stalled(worker, now);
    adjust_filler_pace(worker, now);
}

auto scheduler::end_expired_runs(worker_record& worker, time_point now) -> void
{
    const bool unanswered = worker.unanswered_calls > 0 || !worker.reconciled;
    if (worker.longest_lease)
    {
        worker.longest_lease =
            !worker.runs.empty() && now < worker.misdirected_lease_ends_at;
    }
    const bool lease_expired = unanswered && now >= lease_expires_at(worker);
    worker.leases_expired = worker.ended || lease_expired;
    if (!lease_expired)
    {
        return;
    }
    if (worker.runs.empty())
    {
        return;
    }
    logging::warn("lease of an unanswering worker expired")
        .with("worker", worker.entry.id)
        .with("runs", worker.runs.size());
    if (!worker.entry.draining)
    {
        worker.lost_suspects = suspects_on(worker);
    }
    end_all_runs(worker, run_end::lease_expired, now);
}

auto scheduler::plan_heartbeat(worker_record& worker, time_point now,
                               bool may_extend) -> void
{
    // Most workers have a waiting heartbeat, for which nothing else is
    // computed.
    if (worker.heartbeat_in_flight || worker.ended ||
        now < worker.next_heartbeat_at)
    {
        return;
    }
    const bool must_reconcile =
        !worker.reconciled &&
        (worker.registered || now < lease_expires_at(worker));
    const bool has_unsaved_ends = worker.ends_received > worker.ends_durable;
    const bool has_unacknowledged_ends =
        worker.ends_durable > worker.ends_acknowledged;
    // Only an answer shows that the worker can be used again.
    const bool must_answer = worker.registered && worker.unanswered_calls > 0;
    const bool needed = must_reconcile || must_answer || has_unsaved_ends ||
                        has_unacknowledged_ends || !worker.runs.empty() ||
                        (worker.incarnation_uncertain &&
                         (worker.registered || worker.unconfirmed_entry));
    if (!needed)
    {
        return;
    }
    heartbeat_order order;
    order.target = target_of(worker);
    if (worker.unconfirmed_entry && worker.unanswered_calls % 2 == 1)
    {
        order.target.address = worker.unconfirmed_entry->address;
    }
    // Another incarnation would take the end of a lease for a time by its own
    // clock, and forget its own ends for those of the earlier one.
    const bool may_have_restarted =
        worker.unanswered_calls > 0 || worker.incarnation_uncertain;
    order.ends_durable = has_unacknowledged_ends && !may_have_restarted
                             ? worker.ends_durable
                             : 0;
    bool may_wait =
        worker.reconciled && !may_have_restarted && !worker.immediate_heartbeat;
    worker.immediate_heartbeat = false;
    bool has_filler = false;
    auto longest_wait = m_options.heartbeat_wait;
    for (const auto& [ref, run] : worker.runs)
    {
        has_filler = has_filler || run.filler;
        if (run.in_trial)
        {
            longest_wait = std::min(longest_wait, run.trial_time);
        }
    }
    // The lease of an unanswering worker is not renewed, so that it expires.
    // Nor is that of a worker whose row says that no lease was extended.
    if (may_extend && !is_clock_outdated(worker, now) && !worker.runs.empty() &&
        !may_have_restarted && !worker.silence_shown)
    {
        order.lease_end = lease_end_for(worker, now);
        worker.lease_end = std::max(worker.lease_end, *order.lease_end);
    }
    if (has_unsaved_ends)
    {
        // Ends that are being stored would be listed again immediately, so that
        // the next heartbeat waits for the store.
        const bool lease_is_old =
            now - worker.clock_at > m_options.lease / 4 || !worker.reconciled;
        if (!lease_is_old && worker.runs.empty())
        {
            return;
        }
        if (!lease_is_old)
        {
            worker.next_heartbeat_at = now + m_options.heartbeat_retry;
            return;
        }
        may_wait = false;
    }
    if (may_wait && !worker.runs.empty())
    {
        order.wait =
            has_filler ? std::min(longest_wait, m_options.paced_heartbeat_wait)
                       : longest_wait;
        if (worker.entry.draining)
        {
            order.wait = std::min(order.wait, m_options.leaving_heartbeat_wait);
        }
    }
    worker.heartbeat_in_flight = true;
    worker.heartbeat_sent_at = now;
    order.number = ++worker.heartbeat_number;
    m_outbox.heartbeats.push_back(order);
}

auto scheduler::pause_starts(worker_record& worker, time_point until) -> void
{
    worker.no_starts_until = std::max(worker.no_starts_until, until);
}

} // namespace pimentoshunt::cell
