// Incarnations of workers: what an entry claims, what an answer shows, and which
// runs end with the incarnation that has begun them.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/logging.hpp>

#include <algorithm> // max
#include <memory>    // make_unique
#include <set>       // set
#include <utility>   // exchange
#include <vector>    // vector

namespace pimentoshunt::cell
{
namespace
{

/// Largest error of a reading of a worker's clock, which counts whole
/// milliseconds, in the comparison with an earlier one.
constexpr milliseconds clock_resolution{2};

} // namespace

auto scheduler::on_worker_registered(const worker_entry& entry, time_point now)
    -> void
{
    auto& worker = find_or_add_worker(entry, now);
    if (worker.ended && names_same_process(entry, worker.entry))
    {
        return;
    }
    // A change is only a claim once the worker has answered or may have runs of
    // an earlier owner.
    const bool is_claim = worker.clock || worker.roster_version > 0;
    const bool changed = !names_same_process(entry, worker.entry);
    if (changed && is_claim && !worker.ended)
    {
        verify_entry(worker, entry, now);
        return;
    }
    if (changed)
    {
        reset_incarnation(worker, now);
    }
    apply_entry(worker, entry);
    update_pool(worker, now);
}

auto scheduler::apply_entry(worker_record& worker, const worker_entry& entry)
    -> void
{
    const bool draining_now = entry.draining && !worker.entry.draining;
    if (!worker.registered || draining_now)
    {
        logging::info(draining_now ? "worker started draining"
                                   : "worker registered")
            .with("worker", entry.id)
            .with("address", entry.address)
            .with("leaves_in", entry.leaves_in)
            .with("millicpus", entry.capacity.millicpus);
    }
    m_kinds_version += !worker.registered ||
                               worker.entry.capacity != entry.capacity ||
                               worker.entry.labels != entry.labels
                           ? 1
                           : 0;
    worker.entry = entry;
    worker.is_row_outdated = worker.stored_incarnation != entry.incarnation;
    worker.registered = true;
    worker.unconfirmed_entry.reset();
}

/// The worker itself shows which incarnation is up. Until it answers, its runs
/// are as they were, and nothing is started there.
auto scheduler::verify_entry(worker_record& worker, const worker_entry& entry,
                             time_point now) -> void
{
    const bool is_new = !worker.unconfirmed_entry ||
                        !names_same_process(*worker.unconfirmed_entry, entry);
    worker.unconfirmed_entry = std::make_unique<worker_entry>(entry);
    if (!is_new)
    {
        return;
    }
    logging::info("entry names another process: asking the worker")
        .with("worker", entry.id)
        .with("address", entry.address)
        .with("known_address", worker.entry.address)
        .with("known", worker.entry.incarnation.time_since_epoch().count())
        .with("named", entry.incarnation.time_since_epoch().count())
        .with("runs", worker.runs.size());
    worker.incarnation_uncertain = true;
    if (!worker.clock)
    {
        // An earlier owner may not have known of the restart.
        bound_misdirected_leases(worker, worker.earlier_orders_end);
    }
    heartbeat_at_once(worker, now);
}

/// Applies the entry that waits for a report, unless the report contradicts it.
auto scheduler::resolve_entry(worker_record& worker) -> void
{
    worker.incarnation_uncertain = false;
    if (!worker.unconfirmed_entry)
    {
        return;
    }
    const auto claimed = std::exchange(worker.unconfirmed_entry, nullptr);
    const auto& entry = *claimed;
    if (names_same_process(entry, worker.entry))
    {
        apply_entry(worker, entry);
        return;
    }
    ++m_counts.contradicted_entries;
    logging::warn("worker contradicts its entry; ignoring the entry")
        .with("worker", entry.id)
        .with("address", entry.address)
        .with("answered_at", worker.entry.address)
        .with("reported", worker.entry.incarnation.time_since_epoch().count())
        .with("named", entry.incarnation.time_since_epoch().count());
}

/// The worker reports another incarnation than the one that was known.
auto scheduler::begin_incarnation(worker_record& worker,
                                  const run_report& report, time_point now)
    -> void
{
    logging::info("worker restarted")
        .with("worker", worker.entry.id)
        .with("known", worker.entry.incarnation.time_since_epoch().count())
        .with("reported", report.incarnation.time_since_epoch().count())
        .with("clock", report.clock)
        .with("runs", worker.runs.size())
        .with("reported_runs", report.present.size())
        .with("reported_ends", report.ended.size());
    withdraw_waiting_starts(worker, now);
    std::set<run_ref> reported;
    for (const auto& run : report.present)
    {
        reported.insert(run.run);
    }
    for (const auto& end : report.ended)
    {
        reported.insert(end.run);
    }
    record_crashes(worker, now, reported);
    // Its capacity and kind may have changed: only a new entry shows them. An
    // entry without the time of its start never does.
    worker.registered =
        worker.registered && worker.entry.incarnation == calendar_time{};
    worker.unregistered_at = now;
    if (report.incarnation != calendar_time{})
    {
        worker.entry.incarnation = report.incarnation;
    }
    reset_incarnation(worker, now);
    end_runs_of_earlier_incarnation(worker, reported, report.clock, now);
    bound_misdirected_leases(worker, now);
}

/// Forgets what is only valid for one incarnation.
auto scheduler::reset_incarnation(worker_record& worker, time_point now) -> void
{
    worker.silent_since.reset();
    worker.incarnation_uncertain = false;
    worker.ends_received = 0;
    worker.ends_durable = 0;
    m_with_unsaved_ends.erase(worker.entry.id);
    worker.ends_acknowledged = 0;
    if (worker.clock)
    {
        worker.earlier_orders_end = now;
    }
    worker.clock.reset();
    worker.lease_end = worker_time{0};
    worker.reconciled = false;
    worker.leases_expired = false;
    worker.ended = false;
    worker.no_starts_until = {};
    worker.next_heartbeat_at = now;
    // An answer that is still on its way comes from the earlier incarnation.
    worker.heartbeat_in_flight = false;
    ++worker.heartbeat_number;
    for (auto& [number, ends] : m_ends_of_batch)
    {
        std::erase_if(ends,
                      [&](const auto& item)
                      {
                          return item.first == worker.entry.id;
                      });
    }
}

/// Runs that had started ended with the earlier incarnation, except those that
/// the later one reports. A start order that is unanswered, or was answered by
/// an incarnation that was not known, may have reached the later one, which does
/// not know of any stop.
auto scheduler::end_runs_of_earlier_incarnation(
    worker_record& worker, const std::set<run_ref>& reported,
    worker_time reported_clock, time_point now) -> void
{
    std::vector<run_ref> lost;
    for (auto& [ref, run] : worker.runs)
    {
        if (reported.contains(ref))
        {
            if (run.in_known_incarnation)
            {
                run.first_seen_at = now;
                run.first_seen_clock = reported_clock;
            }
        }
        else if (run.in_known_incarnation)
        {
            lost.push_back(ref);
            continue;
        }
        if (run.phase == detail::run_phase::stopping)
        {
            run.stop_in_flight = false;
            run.stop_answered_at.reset();
            request_stop(worker, run, now);
        }
    }
    for (const auto& ref : lost)
    {
        on_run_ended(worker, ref, run_end::lease_expired, "", now);
    }
}

/// The clock of one incarnation never goes back and is slow only by a bounded
/// share, so that a reading below that is of another one. A later incarnation
/// that has been up for longer than the time since the last reading is not
/// recognised, but its entry arrives long before.
auto scheduler::is_known_incarnation(const worker_record& worker,
                                     const worker_reading& reading,
                                     time_point sent_at) const -> bool
{
    if (reading.incarnation != calendar_time{})
    {
        return reading.incarnation == worker.entry.incarnation;
    }
    if (!worker.clock || sent_at < worker.clock_at)
    {
        // Calls on different connections are answered in any order.
        return true;
    }
    const auto least = m_clocks.least_by_worker(sent_at - worker.clock_at);
    return reading.clock >= *worker.clock + least - clock_resolution;
}

/// The reading may be of an incarnation that has begun unnoticed: asks for a
/// report, which shows it, and starts nothing on the worker until then.
auto scheduler::suspect_restart(worker_record& worker,
                                const worker_reading& reading, time_point now)
    -> void
{
    logging::warn("worker may have restarted: asking it for a report")
        .with("worker", worker.entry.id)
        .with("clock", reading.clock)
        .with("last_clock", worker.clock.value_or(worker_time{0}))
        .with("last_clock_age", now - worker.clock_at)
        .with("runs", worker.runs.size());
    bound_misdirected_leases(worker, now);
    worker.incarnation_uncertain = true;
    heartbeat_at_once(worker, now);
}

/// Orders sent so far may have reached a later incarnation. On its clock, which
/// began anew, the lease that they ask for may end in the far future, so that
/// only the longest lease is a bound.
auto scheduler::bound_misdirected_leases(worker_record& worker,
                                         time_point until) -> void
{
    worker.misdirected_lease_ends_at =
        std::max(worker.misdirected_lease_ends_at,
                 until + m_clocks.longest_by_owner(m_options.longest_lease));
    worker.longest_lease = !worker.runs.empty();
}

} // namespace pimentoshunt::cell
