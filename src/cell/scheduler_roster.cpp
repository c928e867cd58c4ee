// Roster: the durable list of workers that a later owner has to ask for runs.
#include <pimentoshunt/cell/scheduler.hpp>

#include <algorithm> // max, min
#include <utility>   // move

namespace pimentoshunt::cell
{
auto scheduler::restore_worker(const roster_entry& enrolled,
                               std::uint64_t version, time_point now) -> void
{
    auto& worker = find_or_add_worker(enrolled.entry, now);
    worker.roster_version = version;
    worker.closed = enrolled.closed;
    worker.stored_incarnation = enrolled.entry.incarnation;
    worker.inherited_capacity = enrolled.entry.capacity;
    worker.stored_runs = enrolled.runs.size();
    worker.silence_shown = enrolled.shows_silence();
    worker.enrolled = !enrolled.closed && !enrolled.shows_silence();
    if (enrolled.shows_silence() &&
        enrolled.no_orders_epoch >= m_options.silence_kept_since)
    {
        // The row was written before this ownership began.
        worker.earlier_orders_end = std::min<time_point>(
            worker.earlier_orders_end, m_started_at - enrolled.no_orders_for);
        worker.shown_silence =
            std::max(worker.shown_silence, enrolled.no_orders_for);
    }
    if (const auto listed = worker.entry;
        !names_same_process(listed, enrolled.entry))
    {
        // The row names the process that may have runs, and the entry perhaps
        // another one.
        worker.entry = enrolled.entry;
        verify_entry(worker, listed, now);
    }
    if (!enrolled.closed)
    {
        return;
    }
    restore_runs(worker, enrolled, now);
    if (enrolled.longest_lease)
    {
        // The earlier owner knew of the restart before it wrote the row.
        bound_misdirected_leases(
            worker, std::min(m_started_at, worker.earlier_orders_end));
    }
}

auto scheduler::restore_runs(worker_record& worker,
                             const roster_entry& enrolled, time_point now)
    -> void
{
    const bool is_leaving = worker.registered && worker.entry.draining;
    for (const auto& item : enrolled.runs)
    {
        auto& run = add_run(worker, find(item.ref.task), item.ref, now);
        run.confirmed = item.confirmed;
        run.in_known_incarnation = item.confirmed;
        run.restored = true;
        const auto location = find(item.ref.task);
        const bool is_wanted = location.task != nullptr &&
                               !location.task->done &&
                               !is_final(location.job->state);
        if (is_leaving && is_wanted)
        {
            // What ends in time need not be stopped.
            run.phase = detail::run_phase::running;
            continue;
        }
        // Counts if the worker turns out to have restarted.
        worker.lost_suspects[item.ref] = {milliseconds(0), item.confirmed, true,
                                          false};
        request_stop(worker, run, now);
    }
}

/// What the next owner assumes of a worker whose row shows no silence: orders of
/// an owner before this one may arrive for that time.
auto scheduler::initial_silence() const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(m_started_at -
                                                    earlier_owner_ends_at());
}

/// Time for which no owner can have extended a lease on a silent worker that this
/// owner has not reached either: the next one need not wait for it again. One
/// missed call is no silence, as leases are not extended while a row shows one.
auto scheduler::silence_of(const worker_record& worker, time_point now) const
    -> std::optional<milliseconds>
{
    constexpr std::uint32_t min_unanswered_calls = 2;
    if (worker.clock || worker.ended ||
        worker.unanswered_calls < min_unanswered_calls)
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now -
                                                    worker.earlier_orders_end);
}

/// The row that the durable roster should have for the worker; nothing if it
/// has that row.
auto scheduler::outdated_row(const worker_record& worker) const
    -> std::optional<roster_entry>
{
    const bool is_leaving = !worker.registered || worker.unanswered_calls > 0 ||
                            worker.entry.draining || worker.longest_lease;
    if (!is_leaving)
    {
        // With an open row a later owner would wait for as long as the longest
        // lease before it starts any job of before.
        const bool must_open =
            worker.reconciled && (!worker.enrolled || worker.is_row_outdated);
        return must_open
                   ? std::optional(roster_entry{worker.entry, false, {}, false})
                   : std::nullopt;
    }
    if (worker.roster_version == 0)
    {
        return std::nullopt;
    }
    // A later owner does not wait for reports of a closed worker: all ends that
    // the row does not show must be durable.
    const bool are_runs_known =
        worker.reconciled || (worker.closed && worker.leases_expired);
    const bool is_list_outdated =
        !worker.closed || worker.stored_runs != worker.runs.size() ||
        worker.is_row_outdated || (worker.clock && worker.silence_shown);
    if (are_runs_known && is_list_outdated &&
        worker.ends_received <= worker.ends_durable)
    {
        return closed_row(worker);
    }
    const auto silence = silence_of(worker, m_supervised_at);
    const bool is_list_empty = worker.closed && worker.runs.empty();
    if (silence && !is_list_empty &&
        *silence >= worker.shown_silence + m_options.silence_write_interval &&
        worker.shown_silence <
            m_clocks.longest_by_owner(m_options.longest_lease))
    {
        auto out = closed_row(worker);
        out.closed = worker.closed;
        return out;
    }
    return std::nullopt;
}

auto scheduler::closed_row(const worker_record& worker) const -> roster_entry
{
    roster_entry out{worker.entry, true, {}, worker.longest_lease};
    if (const auto silence = silence_of(worker, m_supervised_at))
    {
        out.no_orders_for = *silence;
        out.no_orders_epoch = m_epoch;
    }
    for (const auto& [ref, run] : worker.runs)
    {
        out.runs.push_back({ref, run.confirmed && worker.lost_connection &&
                                     worker.silent_since.has_value()});
    }
    return out;
}

auto scheduler::take_roster_changes(std::size_t limit) -> roster_change
{
    roster_change out;
    for (auto& [id, worker] : m_workers)
    {
        if (out.writes.size() + out.removals.size() >= limit)
        {
            break;
        }
        if (worker.roster_in_flight)
        {
            continue;
        }
        if (!worker.registered && worker.runs.empty() &&
            worker.roster_version > 0 &&
            worker.ends_received <= worker.ends_durable &&
            (worker.reconciled || worker.closed || worker.leases_expired))
        {
            out.removals.push_back({id, worker.roster_version});
            worker.enrolled = false;
            worker.roster_in_flight = true;
        }
        else if (auto row = outdated_row(worker))
        {
            // No run may start that a closed row does not list, and no lease be
            // extended while the row shows that none is.
            worker.enrolled =
                worker.enrolled && !row->closed && !row->shows_silence();
            worker.silence_shown = worker.silence_shown || row->shows_silence();
            worker.roster_in_flight = true;
            out.writes.push_back({std::move(*row), worker.roster_version});
        }
    }
    return out;
}

auto scheduler::on_roster_stored(const roster_change& change,
                                 std::uint64_t version) -> void
{
    for (const auto& item : change.writes)
    {
        auto& worker = m_workers.at(item.worker.entry.id);
        worker.roster_in_flight = false;
        worker.roster_version = version;
        worker.silence_shown = item.worker.shows_silence();
        worker.shown_silence = item.worker.shows_silence()
                                   ? item.worker.no_orders_for
                                   : initial_silence();
        worker.enrolled = !item.worker.closed && !item.worker.shows_silence();
        worker.closed = item.worker.closed;
        worker.stored_runs = item.worker.runs.size();
        worker.stored_incarnation = item.worker.entry.incarnation;
        worker.is_row_outdated =
            worker.stored_incarnation != worker.entry.incarnation;
    }
    for (const auto& item : change.removals)
    {
        auto& worker = m_workers.at(item.worker);
        worker.roster_in_flight = false;
        worker.roster_version = 0;
        worker.silence_shown = false;
        worker.enrolled = false;
    }
}

auto scheduler::on_roster_write_failed(const roster_change& change) -> void
{
    for (const auto& item : change.writes)
    {
        auto& worker = m_workers.at(item.worker.entry.id);
        worker.roster_in_flight = false;
        // The failed write may still take effect and close the row, so that it
        // must be written again.
        worker.enrolled = false;
        worker.closed = worker.closed && item.worker.closed;
        worker.stored_runs.reset();
    }
    for (const auto& item : change.removals)
    {
        m_workers.at(item.worker).roster_in_flight = false;
    }
}

/// Each life of a worker may have an id of its own, so that the records of
/// earlier ones would only ever grow in number.
auto scheduler::forget_gone_workers(time_point now) -> void
{
    for (auto next = m_workers.begin(); next != m_workers.end();)
    {
        const auto current = next++;
        auto& [id, worker] = *current;
        const bool is_gone =
            !worker.registered && !worker.unconfirmed_entry &&
            worker.runs.empty() && worker.roster_version == 0 &&
            !worker.enrolled && !worker.roster_in_flight &&
            worker.ends_received <= worker.ends_durable &&
            now - worker.unregistered_at >= m_options.gone_worker_retention;
        if (!is_gone)
        {
            continue;
        }
        remove_from_steps(worker);
        m_pool.remove(worker);
        m_with_unsaved_ends.erase(id);
        m_health.remove(id);
        m_probed_workers.erase(id);
        const auto latest = m_latest_at_address.find(worker.entry.address);
        if (latest != m_latest_at_address.end() && latest->second == id)
        {
            m_latest_at_address.erase(latest);
        }
        m_workers.erase(current);
    }
}

/// Removes the worker from the records of unfinished jobs, which refer to it by
/// address.
auto scheduler::remove_from_steps(worker_record& worker) -> void
{
    const auto is_worker = [&](const auto& item)
    {
        return item.first == &worker;
    };
    for (auto& [arrival, job] : m_active)
    {
        for (auto& round : job->rounds)
        {
            for (auto& step : round.steps)
            {
                step.approvals.approved.erase(&worker);
                step.approvals.refused.erase(&worker);
                std::erase_if(step.approvals.claims, is_worker);
                std::erase_if(step.reservation.reserved, is_worker);
                step.placed.erase(&worker);
            }
        }
    }
}

auto scheduler::set_roster_version(const worker_id& worker,
                                   std::uint64_t version) -> void
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
    {
        found->second.roster_version = version;
    }
}

} // namespace pimentoshunt::cell
