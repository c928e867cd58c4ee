// Workers: their lives, leases, and the runs that they list.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/logging.hpp>

#include <algorithm> // find, max
#include <set>       // set

namespace pimentoshunt::cell
{
namespace
{

using detail::run_phase;

/// Added to the time after which a lease has certainly ended.
constexpr milliseconds lapse_slack{200};
/// A hold is repeated no sooner after one without an answer.
constexpr milliseconds silent_pause{250};
/// A task that still has to run this much longer than its worker stays is
/// moved elsewhere.
constexpr milliseconds leave_margin{1'200};
/// A filler is slowed when a task beside it exceeds this share of its target,
/// and let go on below the other.
constexpr double slow_above = 0.85;
constexpr double speed_below = 0.6;
constexpr std::uint32_t full_pace = 100;
/// Step by which fillers may speed up, and how often.
constexpr std::uint32_t pace_step = 20;
constexpr milliseconds pace_interval{1'200};

auto blank(const worker_entry& entry) -> detail::worker_record
{
    detail::worker_record made;
    made.entry = entry;
    return made;
}

/// Progress points that may stay away before a task counts as standing still.
constexpr int missing_points = 4;

} // namespace

auto scheduler::target_of(const worker_record& worker) const -> order_target
{
    return {worker.entry.id, worker.entry.address, m_epoch};
}

auto scheduler::worker_listed(const worker_entry& entry, time_point now) -> void
{
    const auto [place, added] = m_workers.try_emplace(entry.id, blank(entry));
    auto& worker = place->second;
    const bool draining_now = entry.draining && !worker.entry.draining;
    if (added)
    {
        m_health.add(entry.id);
        worker.next_hold_at = now;
    }
    else if (entry.born != worker.entry.born)
    {
        if (entry.born < worker.entry.born)
        {
            return;
        }
        new_life(worker, entry.born, now);
    }
    const auto born = worker.entry.born;
    worker.entry = entry;
    worker.entry.born = born;
    worker.listed = true;
    if (added || draining_now)
    {
        logging::info(draining_now ? "worker drains" : "worker listed")
            .with("worker", entry.id)
            .with("leaves_in", entry.leaves_in)
            .with("millicpus", entry.capacity.millicpus);
    }
}

auto scheduler::worker_enrolled(const enrolled_worker& enrolled,
                                std::uint64_t version, time_point now) -> void
{
    const auto& id = enrolled.entry.id;
    const auto [place, added] =
        m_workers.try_emplace(id, blank(enrolled.entry));
    auto& worker = place->second;
    worker.roster_version = version;
    worker.enrolled = !enrolled.closed;
    if (added)
    {
        m_health.add(id);
        worker.next_hold_at = now;
        worker.missing_since = now;
    }
    if (!enrolled.closed || worker.entry.born != enrolled.entry.born)
    {
        return;
    }
    worker.closed = true;
    for (const auto& ref : enrolled.runs)
    {
        auto& run = add_run(worker, find(ref.task), ref, now);
        want_stop(worker, run, now);
    }
}

auto scheduler::take_roster(std::size_t most) -> roster_change
{
    roster_change out;
    for (auto& [id, worker] : m_workers)
    {
        if (out.writes.size() + out.removals.size() >= most)
        {
            break;
        }
        if (worker.roster_in_flight)
        {
            continue;
        }
        const bool answers = worker.adopted && worker.silent_calls == 0;
        const bool away = !worker.listed || worker.silent_calls > 0;
        if (worker.listed && !worker.enrolled && answers)
        {
            out.writes.push_back(
                {{worker.entry, false, {}}, worker.roster_version});
            worker.roster_in_flight = true;
        }
        else if (!worker.listed && worker.runs.empty() &&
                 worker.roster_version > 0 && (worker.adopted || worker.closed))
        {
            out.removals.push_back({id, worker.roster_version});
            worker.enrolled = false;
            worker.roster_in_flight = true;
        }
        else if (away && worker.enrolled && worker.adopted &&
                 !worker.runs.empty())
        {
            out.writes.push_back(
                {{worker.entry, true, {}}, worker.roster_version});
            for (const auto& [ref, run] : worker.runs)
            {
                out.writes.back().worker.runs.push_back(ref);
            }
            // Nothing may start there that the row does not name.
            worker.enrolled = false;
            worker.roster_in_flight = true;
        }
    }
    return out;
}

auto scheduler::roster_stored(const roster_change& change,
                              std::uint64_t version) -> void
{
    for (const auto& item : change.writes)
    {
        auto& worker = m_workers.at(item.worker.entry.id);
        worker.roster_in_flight = false;
        worker.roster_version = version;
        worker.enrolled = !item.worker.closed;
        worker.closed = item.worker.closed;
    }
    for (const auto& item : change.removals)
    {
        auto& worker = m_workers.at(item.worker);
        worker.roster_in_flight = false;
        worker.roster_version = 0;
        worker.enrolled = false;
    }
}

auto scheduler::roster_failed(const roster_change& change) -> void
{
    for (const auto& item : change.writes)
    {
        auto& worker = m_workers.at(item.worker.entry.id);
        worker.roster_in_flight = false;
        // A row that may yet be closed must be written again.
        worker.enrolled = false;
        worker.closed = false;
    }
    for (const auto& item : change.removals)
    {
        m_workers.at(item.worker).roster_in_flight = false;
    }
}

auto scheduler::roster_row_is(const worker_id& worker, std::uint64_t version)
    -> void
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
    {
        found->second.roster_version = version;
    }
}

auto scheduler::worker_unlisted(const worker_id& worker, time_point now) -> void
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || !found->second.listed)
    {
        return;
    }
    found->second.listed = false;
    found->second.missing_since = now;
    logging::info("worker's entry is gone")
        .with("worker", worker)
        .with("runs", found->second.runs.size());
}

auto scheduler::new_life(worker_record& worker, calendar_time born,
                         time_point now) -> void
{
    logging::info("worker has started again")
        .with("worker", worker.entry.id)
        .with("runs", worker.runs.size());
    worker.entry.born = born;
    worker.ends_seen = 0;
    worker.ends_noted = 0;
    worker.ends_told = 0;
    worker.clock.reset();
    worker.lease_end = worker_time{0};
    worker.adopted = false;
    worker.closed_until = {};
    worker.next_hold_at = now;
    // Its answer, if there is one, is of the earlier life.
    worker.hold_in_flight = false;
    ++worker.hold_number;
    for (auto& [number, ends] : m_ends_of_batch)
    {
        std::erase_if(ends,
                      [&](const auto& item)
                      {
                          return item.first == worker.entry.id;
                      });
    }
    // What it had begun has gone with its earlier life. A start without an
    // answer may yet reach the new one.
    std::vector<run_ref> gone;
    for (const auto& [ref, run] : worker.runs)
    {
        if (run.seen_at)
        {
            gone.push_back(ref);
        }
    }
    for (const auto& ref : gone)
    {
        run_over(worker, ref, run_end::lapsed, "", now);
    }
}

auto scheduler::lease_for(const worker_record& worker, time_point now) const
    -> worker_time
{
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(now - worker.clock_at);
    return *worker.clock + elapsed +
           (worker.entry.draining ? m_options.leaving_lease : m_options.lease);
}

auto scheduler::lapses_at(const worker_record& worker) const -> time_point
{
    if (!worker.clock)
    {
        // Whatever runs there is under the lease of an earlier owner, which
        // may have been renewed until that owner noticed its end.
        const auto longest = std::chrono::duration<double, std::milli>(
            static_cast<double>(m_options.lease.count()) *
            (1 + m_options.clock_slowness));
        const auto unaware = m_options.earlier_owner_over
                                 ? milliseconds(0)
                                 : m_options.earlier_owner_limit;
        return m_since + unaware +
               std::chrono::duration_cast<milliseconds>(longest) + lapse_slack;
    }
    const auto left =
        std::max(worker.lease_end - *worker.clock, worker_time{0});
    const auto stretched = std::chrono::duration<double, std::milli>(
        static_cast<double>(left.count()) * (1 + m_options.clock_slowness));
    return worker.clock_at +
           std::chrono::duration_cast<milliseconds>(stretched) + lapse_slack;
}

auto scheduler::add_run(worker_record& worker, const task_place& place,
                        const run_ref& run, time_point now) -> run_record&
{
    auto& record = worker.runs[run];
    record.run = run;
    record.sent_at = now;
    record.percent_since = now;
    if (place.task == nullptr)
    {
        return record;
    }
    record.taken = place.step->spec->need;
    record.filler = place.step->spec->filler;
    if (record.filler)
    {
        record.taken.millicpus = 0;
    }
    worker.used += record.taken;
    place.task->runs.push_back(run);
    place.task->last_run = std::max(place.task->last_run, run.number);
    place.step->waiting.erase(run.task.index);
    ++place.step->placed[&worker];
    return record;
}

auto scheduler::erase_run(worker_record& worker, const run_ref& run) -> void
{
    const auto found = worker.runs.find(run);
    if (found == worker.runs.end())
    {
        return;
    }
    worker.used -= found->second.taken;
    worker.runs.erase(found);
    const auto place = find(run.task);
    if (place.task == nullptr)
    {
        return;
    }
    std::erase(place.task->runs, run);
    const auto placed = place.step->placed.find(&worker);
    if (placed != place.step->placed.end() && placed->second > 0)
    {
        --placed->second;
    }
}

auto scheduler::run_over(worker_record& worker, const run_ref& run, run_end how,
                         const std::string& checkpoint, time_point now) -> void
{
    erase_run(worker, run);
    const auto place = find(run.task);
    if (place.task == nullptr)
    {
        return;
    }
    place.task->last_run = std::max(place.task->last_run, run.number);
    if (!checkpoint.empty() && place.step->spec->keeps_checkpoints)
    {
        place.task->checkpoint = checkpoint;
    }
    const workload_name blame(run.task.step.job.str());
    if (how == run_end::done)
    {
        m_health.record(worker.entry.id, blame,
                        pimentoshunt::policy::attempt_outcome::success, now);
        if (place.step->spec->gang)
        {
            for (std::uint32_t i = 0; i < place.step->tasks.size(); ++i)
            {
                task_done(find({run.task.step, i}), now);
            }
        }
        task_done(place, now);
        // A copy of it is of no use any more.
        for (const auto& other : place.task->runs)
        {
            for (auto& [id, holder] : m_workers)
            {
                const auto copy = holder.runs.find(other);
                if (copy != holder.runs.end())
                {
                    want_stop(holder, copy->second, now);
                }
            }
        }
    }
    if (how == run_end::failed)
    {
        place.task->avoid = worker.entry.id;
        m_health.record(worker.entry.id, blame,
                        pimentoshunt::policy::attempt_outcome::failure, now);
        count_failure(place, run, now);
    }
    put_back(place, run.task.index);
    if (how != run_end::done)
    {
        logging::info("run ended early")
            .with("run", to_string(run.task))
            .with("number", run.number)
            .with("worker", worker.entry.id)
            .with("how", to_string(how));
    }
}

auto scheduler::want_stop(worker_record& worker, run_record& run,
                          time_point now) -> void
{
    if (run.phase == run_phase::stopping && run.stop_in_flight)
    {
        return;
    }
    run.phase = run_phase::stopping;
    run.stop_in_flight = true;
    run.stop_sent_at = now;
    m_out.stops.push_back({target_of(worker), run.run});
}

auto scheduler::retry_stops(worker_record& worker, time_point now) -> void
{
    for (auto& [ref, run] : worker.runs)
    {
        const bool due = run.phase == run_phase::stopping &&
                         !run.stop_in_flight && !run.stop_answered_at &&
                         now - run.stop_sent_at >= m_options.stop_retry;
        if (due)
        {
            want_stop(worker, run, now);
        }
    }
}

auto scheduler::stop_answered(const stop_order& order, bool answered,
                              time_point now) -> void
{
    const auto worker = m_workers.find(order.target.worker);
    if (worker == m_workers.end())
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
        worker->second.next_hold_at = now;
    }
}

auto scheduler::hold_answered(const hold_order& order,
                              const std::optional<run_report>& report,
                              time_point now) -> void
{
    const auto found = m_workers.find(order.target.worker);
    if (found == m_workers.end())
    {
        return;
    }
    auto& worker = found->second;
    if (order.number != worker.hold_number)
    {
        return;
    }
    const auto sent_at = worker.hold_sent_at;
    worker.hold_in_flight = false;
    if (!report)
    {
        ++worker.silent_calls;
        worker.next_hold_at = now + silent_pause;
        copy_silent(worker);
        if (worker.silent_calls == 1)
        {
            logging::warn("worker does not answer")
                .with("worker", worker.entry.id)
                .with("runs", worker.runs.size())
                .with("last_answer_age", now - worker.answered_at);
        }
        return;
    }
    worker.silent_calls = 0;
    worker.answered_at = now;
    if (report->born != calendar_time{} && report->born != worker.entry.born)
    {
        if (report->born < worker.entry.born)
        {
            return;
        }
        new_life(worker, report->born, now);
    }
    worker.clock = report->clock;
    worker.clock_at = now;
    worker.adopted = true;
    worker.ends_told = std::max(worker.ends_told, order.ends_noted);
    worker.next_hold_at = now;
    take_report(worker, *report, sent_at, now);
}

/// After an order without an answer: nothing new until the worker answers.
auto scheduler::look_again(worker_record& worker, time_point now) -> void
{
    worker.silent_calls = std::max<std::uint32_t>(worker.silent_calls, 1);
    // A hold that waits for an end would tell too late.
    worker.hold_in_flight = false;
    ++worker.hold_number;
    worker.next_hold_at = now;
}

/// Tasks that may run twice need not wait for the end of the lease.
auto scheduler::copy_silent(worker_record& worker) -> void
{
    for (const auto& [ref, run] : worker.runs)
    {
        const auto place = find(ref.task);
        const bool copied =
            place.task != nullptr && place.step->spec->copies_allowed &&
            !place.step->spec->gang && !place.task->done &&
            !is_final(place.job->state) && place.task->runs.size() == 1;
        if (copied)
        {
            place.task->avoid = worker.entry.id;
            place.step->waiting.insert(ref.task.index);
        }
    }
}

auto scheduler::take_report(worker_record& worker, const run_report& report,
                            time_point sent_at, time_point now) -> void
{
    for (const auto& end : report.ended)
    {
        take_end(worker, end, now);
    }
    for (const auto& seen : report.present)
    {
        take_present(worker, seen, now);
    }
    drop_absent(worker, report, sent_at, now);
    stop_stalled(worker, now);
    set_paces(worker, now);
}

auto scheduler::take_end(worker_record& worker, const listed_end& end,
                         time_point now) -> void
{
    if (end.number <= worker.ends_seen)
    {
        return;
    }
    worker.ends_seen = end.number;
    run_over(worker, end.run, end.how, end.checkpoint, now);
}

auto scheduler::take_present(worker_record& worker, const listed_run& seen,
                             time_point now) -> void
{
    const auto place = find(seen.run.task);
    auto known = worker.runs.find(seen.run);
    if (known == worker.runs.end())
    {
        auto& run = add_run(worker, place, seen.run, now);
        run.phase = run_phase::running;
        run.seen_at = now;
        known = worker.runs.find(seen.run);
        const bool wanted =
            place.task != nullptr && !place.task->done &&
            !is_final(place.job->state) &&
            (place.task->runs.size() == 1 || place.step->spec->copies_allowed);
        if (place.job != nullptr)
        {
            place.job->any_started = true;
        }
        if (!wanted)
        {
            logging::warn("a run is not wanted here")
                .with("run", to_string(seen.run.task))
                .with("number", seen.run.number)
                .with("worker", worker.entry.id);
            want_stop(worker, run, now);
        }
    }
    auto& run = known->second;
    if (!run.seen_at)
    {
        run.seen_at = now;
    }
    if (run.phase == run_phase::starting)
    {
        run.phase = run_phase::running;
    }
    if (run.percent != seen.percent)
    {
        run.percent = seen.percent;
        run.percent_since = now;
    }
    run.load = seen.load;
    if (place.task != nullptr && !seen.checkpoint.empty() &&
        place.step->spec->keeps_checkpoints)
    {
        place.task->checkpoint = seen.checkpoint;
    }
}

auto scheduler::drop_absent(worker_record& worker, const run_report& report,
                            time_point sent_at, time_point now) -> void
{
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
        // The list may have been made before the run came.
        const bool was_there = run.seen_at && *run.seen_at < sent_at;
        const bool refused_for_good =
            run.stop_answered_at && *run.stop_answered_at < sent_at;
        if (was_there || refused_for_good)
        {
            absent.push_back(ref);
        }
    }
    for (const auto& ref : absent)
    {
        run_over(worker, ref, run_end::stopped, "", now);
    }
}

auto scheduler::stop_stalled(worker_record& worker, time_point now) -> void
{
    for (auto& [ref, run] : worker.runs)
    {
        const auto place = find(ref.task);
        if (run.phase != run_phase::running || place.task == nullptr ||
            place.step->spec->gang || place.step->spec->filler ||
            (place.step->spec->lasting && run.percent >= full_pace))
        {
            continue;
        }
        const auto still = now - run.percent_since;
        const auto worked = run.percent_since - run.sent_at;
        // At its pace so far, several points should have come.
        const auto expected =
            run.percent > 0
                ? missing_points * worked / run.percent
                : boot_clock::duration(2 * place.step->spec->estimate);
        if (still <
            std::max<boot_clock::duration>(m_options.stall_limit, expected))
        {
            continue;
        }
        logging::warn("a run stands still: it is stopped and moved")
            .with("run", to_string(ref.task))
            .with("worker", worker.entry.id)
            .with("percent", run.percent)
            .with("unchanged_for", still);
        place.task->avoid = worker.entry.id;
        m_health.record(worker.entry.id, workload_name(ref.task.step.job.str()),
                        pimentoshunt::policy::attempt_outcome::failure, now);
        want_stop(worker, run, now);
    }
}

auto scheduler::watch_starts(worker_record& worker, time_point now) -> void
{
    worker.slow_to_answer = false;
    for (const auto& [ref, run] : worker.runs)
    {
        const bool waits = run.phase == run_phase::starting && !run.seen_at &&
                           now - run.sent_at >= m_options.slow_answer;
        worker.slow_to_answer = worker.slow_to_answer || waits;
    }
}

auto scheduler::give_up_lapsed(worker_record& worker, time_point now) -> void
{
    const bool silent = worker.silent_calls > 0 || !worker.adopted;
    if (!silent || now < lapses_at(worker))
    {
        return;
    }
    std::vector<run_ref> gone;
    for (const auto& [ref, run] : worker.runs)
    {
        gone.push_back(ref);
    }
    if (!gone.empty())
    {
        logging::warn("the lease of a silent worker is over")
            .with("worker", worker.entry.id)
            .with("runs", gone.size());
    }
    for (const auto& ref : gone)
    {
        run_over(worker, ref, run_end::lapsed, "", now);
    }
}

auto scheduler::leave_draining(worker_record& worker, time_point now) -> void
{
    if (!worker.entry.draining || !worker.adopted)
    {
        return;
    }
    for (auto& [ref, run] : worker.runs)
    {
        const auto place = find(ref.task);
        if (run.phase != run_phase::running || place.task == nullptr ||
            place.step->spec->gang)
        {
            continue;
        }
        const auto& spec = *place.step->spec;
        const auto worked = now - run.sent_at;
        const auto whole = run.percent > 0 ? worked * full_pace / run.percent
                                           : worked + spec.estimate;
        const bool outlasts =
            whole - worked > worker.entry.leaves_in + leave_margin;
        if (spec.lasting || (spec.keeps_checkpoints && outlasts))
        {
            want_stop(worker, run, now);
        }
    }
}

auto scheduler::set_paces(worker_record& worker, time_point now) -> void
{
    double worst = 0;
    bool any_filler = false;
    for (auto& [ref, run] : worker.runs)
    {
        any_filler = any_filler || run.filler;
        const auto place = find(ref.task);
        if (place.task == nullptr || place.step->spec->tail_target.count() == 0)
        {
            continue;
        }
        worst = std::max(worst, static_cast<double>(run.load) /
                                    static_cast<double>(
                                        place.step->spec->tail_target.count()));
    }
    if (!any_filler)
    {
        return;
    }
    const bool slower = worst > slow_above;
    const bool faster =
        worst < speed_below && now - worker.pace_raised_at >= pace_interval;
    if (!slower && !faster)
    {
        return;
    }
    worker.pace_raised_at = now;
    for (auto& [ref, run] : worker.runs)
    {
        if (!run.filler || run.phase != run_phase::running)
        {
            continue;
        }
        const auto wanted = slower ? (worst > 1.0 ? 0 : run.pace / 2)
                                   : std::min(full_pace, run.pace + pace_step);
        if (wanted != run.pace)
        {
            run.pace = wanted;
            m_out.paces.push_back({target_of(worker), ref, wanted});
        }
    }
}

auto scheduler::plan_hold(worker_record& worker, time_point now,
                          bool may_extend) -> void
{
    const bool to_adopt =
        !worker.adopted && (worker.listed || now < lapses_at(worker));
    const bool to_note = worker.ends_seen > worker.ends_noted;
    const bool to_tell = worker.ends_noted > worker.ends_told;
    const bool needed = to_adopt || to_note || to_tell || !worker.runs.empty();
    if (worker.hold_in_flight || now < worker.next_hold_at || !needed)
    {
        return;
    }
    hold_order order;
    order.target = target_of(worker);
    order.ends_noted = worker.ends_noted;
    bool quiet = worker.adopted && worker.silent_calls == 0;
    bool paced = false;
    for (const auto& [ref, run] : worker.runs)
    {
        // A run that is to go must be seen to be gone.
        quiet = quiet &&
                !(run.phase == run_phase::stopping && run.stop_answered_at);
        paced = paced || run.filler;
    }
    // A worker that does not answer gets no longer lease: its end must come.
    const bool silent = worker.silent_calls > 0;
    if (may_extend && worker.clock && !worker.runs.empty() && !silent)
    {
        order.lease_end = lease_for(worker, now);
        worker.lease_end = std::max(worker.lease_end, *order.lease_end);
    }
    if (to_note)
    {
        // Ends that are being stored come again at once; wait for the store.
        const bool lease_low =
            now - worker.clock_at > m_options.lease / 4 || !worker.adopted;
        if (!lease_low && worker.runs.empty())
        {
            return;
        }
        if (!lease_low)
        {
            worker.next_hold_at = now + m_options.hold_retry;
            return;
        }
        quiet = false;
    }
    if (quiet && !worker.runs.empty())
    {
        order.wait = paced ? m_options.paced_hold_wait : m_options.hold_wait;
        if (worker.entry.draining)
        {
            order.wait = std::min(order.wait, m_options.leaving_hold_wait);
        }
    }
    worker.hold_in_flight = true;
    worker.hold_sent_at = now;
    order.number = ++worker.hold_number;
    m_out.holds.push_back(order);
}

auto scheduler::close_worker(worker_record& worker, time_point until) -> void
{
    worker.closed_until = std::max(worker.closed_until, until);
}

auto scheduler::workers_not_adopted() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto& [id, worker] : m_workers)
    {
        count += worker.adopted ? 0 : 1;
    }
    return count;
}

} // namespace pimentoshunt::cell
