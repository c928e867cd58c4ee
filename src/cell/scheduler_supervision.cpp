// Supervision of runs: stops stalled runs and those on draining workers, and
// adjusts the pace of best-effort runs.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/logging.hpp>

#include <algorithm> // max, min

namespace pimentoshunt::cell
{
namespace
{

using detail::run_phase;

/// A task is moved when its remaining time exceeds the time until its worker
/// leaves by more than this.
constexpr milliseconds leave_margin{1'200};
/// Best-effort runs are slowed when a task on the same worker exceeds the first
/// share of its tail target, and sped up when all are below the second.
constexpr double slow_above = 0.85;
constexpr double speed_below = 0.6;
constexpr std::uint32_t full_pace = 100;
/// Increase of the pace in one adjustment, and minimum time since the last one.
constexpr std::uint32_t pace_step = 20;
constexpr milliseconds pace_interval{1'200};
/// Number of percent points that must be overdue before a run counts as
/// stalled.
constexpr int missing_points = 4;

} // namespace

auto scheduler::stop_stalled(worker_record& worker, time_point now) -> void
{
    for (auto& [ref, run] : worker.runs)
    {
        const auto location = find(ref.task);
        if (run.phase != run_phase::running || location.task == nullptr ||
            location.step->spec->gang || location.step->spec->filler ||
            (location.step->spec->lasting && run.percent >= full_pace))
        {
            continue;
        }
        const auto unchanged_for = now - run.percent_changed_at;
        const auto elapsed = run.percent_changed_at - run.sent_at;
        // At its pace so far, several points should have been reported.
        const auto expected =
            run.percent > 0
                ? missing_points * elapsed / run.percent
                : boot_clock::duration(2 * location.step->spec->estimate);
        if (unchanged_for <
            std::max<boot_clock::duration>(m_options.stall_limit, expected))
        {
            continue;
        }
        logging::warn("stopping a stalled run")
            .with("run", to_string(ref.task))
            .with("worker", worker.entry.id)
            .with("percent", run.percent)
            .with("unchanged_for", unchanged_for);
        location.task->avoid = worker.entry.id;
        record_outcome(worker, ref,
                       pimentoshunt::policy::attempt_outcome::failure, now);
        request_stop(worker, run, now);
    }
}

auto scheduler::stop_outlasting(worker_record& worker, time_point now) -> void
{
    if (!worker.entry.draining || !worker.reconciled)
    {
        return;
    }
    for (auto& [ref, run] : worker.runs)
    {
        const auto location = find(ref.task);
        if (run.phase != run_phase::running || location.task == nullptr ||
            location.step->spec->gang)
        {
            continue;
        }
        const auto& spec = *location.step->spec;
        const auto elapsed = now - run.sent_at;
        const auto expected_total = run.percent > 0
                                        ? elapsed * full_pace / run.percent
                                        : elapsed + spec.estimate;
        const bool outlasts =
            expected_total - elapsed > worker.entry.leaves_in + leave_margin;
        if (spec.lasting || (spec.keeps_checkpoints && outlasts))
        {
            request_stop(worker, run, now);
        }
    }
}

auto scheduler::adjust_filler_pace(worker_record& worker, time_point now)
    -> void
{
    double worst_ratio = 0;
    bool any_filler = false;
    for (auto& [ref, run] : worker.runs)
    {
        any_filler = any_filler || run.filler;
        const auto location = find(ref.task);
        if (location.task == nullptr ||
            location.step->spec->tail_target.count() == 0)
        {
            continue;
        }
        worst_ratio = std::max(
            worst_ratio,
            static_cast<double>(run.load) /
                static_cast<double>(location.step->spec->tail_target.count()));
    }
    if (!any_filler)
    {
        return;
    }
    const bool slow_down = worst_ratio > slow_above;
    const bool speed_up = worst_ratio < speed_below &&
                          now - worker.pace_raised_at >= pace_interval;
    if (!slow_down && !speed_up)
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
        const auto wanted = slow_down
                                ? (worst_ratio > 1.0 ? 0 : run.pace / 2)
                                : std::min(full_pace, run.pace + pace_step);
        if (wanted != run.pace)
        {
            run.pace = wanted;
            m_outbox.paces.push_back({target_of(worker), ref, wanted});
        }
    }
}

} // namespace pimentoshunt::cell
