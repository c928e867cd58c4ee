/// @file
/// What a series of owners, each too short to wait for the leases of silent
/// workers, may start of the jobs that it inherits.
#include "fakes/cell_simulation.hpp"

#include <criterion/criterion.h>

#include <algorithm> // any_of, max
#include <cstdint>   // uint32_t
#include <map>       // map
#include <string>    // string, to_string
#include <vector>    // vector

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::simple_job;

namespace
{

/// How long each owner holds the cell: less than a lease.
constexpr milliseconds tenure{2'000};
/// A task that lasts counts as lost when it has had no run for this long
/// although workers had room: 6 s after its last run, for 3 s.
constexpr milliseconds longest_absence{9'000};

/// Each owner releases the cell before the next one begins.
auto released_by_earlier_owner() -> cell::scheduler_options
{
    cell::scheduler_options out;
    out.earlier_owner_ended = true;
    return out;
}

/// A cell whose owners follow one another.
struct owner_series
{
    explicit owner_series(
        const cell::scheduler_options& options = released_by_earlier_owner())
        : simulation(1, options)
    {
    }

    cell_simulation simulation;
    std::vector<cell::job_spec> jobs;
    /// When the workers that drain leave.
    std::map<std::string, time_point> leaves_at;

    auto accept(const cell::job_spec& job) -> void
    {
        jobs.push_back(job);
        simulation.jobs().accept(job, simulation.now);
    }

    /// Adds the worker w1 and accepts a job, which then runs there.
    auto start_on_w1(const cell::job_spec& job) -> fakes::fake_cell_worker&
    {
        auto& worker = simulation.add_worker("w1", 4'000);
        simulation.run_for(milliseconds(500));
        accept(job);
        simulation.run_for(milliseconds(500));
        return worker;
    }

    auto take_over() -> void
    {
        simulation.take_over(jobs);
    }

    /// The worker ends without having said that it leaves.
    auto lose(const std::string& name) -> void
    {
        simulation.workers.at(worker_id(name)).receives_orders = false;
        simulation.workers.at(worker_id(name)).runs.clear();
    }

    /// The worker announces that it leaves in @p time.
    auto drain(const std::string& name, milliseconds time) -> void
    {
        auto& worker = simulation.workers.at(worker_id(name));
        worker.entry.draining = true;
        worker.entry.leaves_in = time;
        leaves_at[name] = simulation.now + time;
        simulation.register_worker(worker);
        simulation.schedule_in(time,
                               [this, name]
                               {
                                   lose(name);
                                   simulation.unregister_worker(
                                       simulation.workers.at(worker_id(name)));
                               });
    }

    /// The workers that leave within @p gap do so, and their entries are removed,
    /// while no instance owns the cell.
    auto leave_unobserved(milliseconds gap) -> void
    {
        for (const auto& [name, at] : leaves_at)
        {
            if (at <= simulation.now + gap)
            {
                lose(name);
                simulation.workers.at(worker_id(name)).registered = false;
            }
        }
    }

    /// Runs the cell until the job has no waiting task, with a new owner every
    /// @ref tenure.
    /// @return the time that it took, or @p limit
    auto time_until_started(const cell::job_spec& job, milliseconds limit)
        -> milliseconds
    {
        constexpr milliseconds step{100};
        milliseconds took{0};
        milliseconds held{0};
        while (took < limit && !is_started(job))
        {
            if (held >= tenure)
            {
                take_over();
                held = milliseconds(0);
            }
            simulation.run_for(step);
            took += step;
            held += step;
        }
        return took;
    }

    [[nodiscard]] auto is_started(const cell::job_spec& job) const -> bool
    {
        for (std::uint32_t i = 0; i < job.steps.front().count; ++i)
        {
            if (simulation.live_runs({{job.id, 0, 0}, i}) == 0)
            {
                return false;
            }
        }
        return true;
    }
};

auto lasting_job(const std::string& id, std::uint32_t tasks) -> cell::job_spec
{
    auto out = simple_job(id, tasks, 1'000);
    out.steps.front().lasting = true;
    out.steps.front().keeps_checkpoints = true;
    return out;
}

/// Runs a service of five tasks while a worker announces every @p between_leaves
/// that it leaves, first after @p phase, and owners follow one another.
/// @return the longest time for which a task had no run
auto longest_absence_with(milliseconds between_leaves, milliseconds phase)
    -> milliseconds
{
    constexpr std::uint32_t tasks = 5;
    constexpr int first_workers = 12;
    constexpr milliseconds notice{2'500};
    constexpr milliseconds duration{16'000};
    constexpr milliseconds step{100};
    constexpr milliseconds gap_between_owners{200};
    owner_series series;
    int workers = 0;
    const auto add_worker = [&]
    {
        series.simulation.add_worker("w" + std::to_string(100 + workers++),
                                     2'000);
    };
    while (workers < first_workers)
    {
        add_worker();
    }
    series.simulation.run_for(milliseconds(500));
    const auto job = lasting_job("j1", tasks);
    series.accept(job);
    series.simulation.run_for(milliseconds(500));
    std::map<std::uint32_t, milliseconds> absent_for;
    milliseconds longest{0};
    int left = 0;
    for (milliseconds at{0}; at < duration; at += step)
    {
        if (at % between_leaves == phase)
        {
            series.drain("w" + std::to_string(100 + left++), notice);
            add_worker();
        }
        if (at % tenure == milliseconds(0) && at > milliseconds(0))
        {
            series.leave_unobserved(gap_between_owners);
            series.take_over();
        }
        series.simulation.run_for(step);
        for (std::uint32_t i = 0; i < tasks; ++i)
        {
            const auto runs = series.simulation.live_runs({{job.id, 0, 0}, i});
            cr_assert_leq(runs, 1u);
            auto& absent = absent_for[i];
            absent = runs == 0 ? absent + step : milliseconds(0);
            longest = std::max(longest, absent);
        }
    }
    return longest;
}

} // namespace

// Guards against a wait for the leases of a silent worker that each owner begins
// anew (scenario wischwerk-zh, rule LOST).
Test(cell_owner_series, owners_share_the_wait_for_a_silent_worker)
{
    owner_series series;
    const auto job = lasting_job("j1", 1);
    series.start_on_w1(job);
    series.simulation.add_worker("w2", 4'000);
    series.simulation.run_for(milliseconds(500));
    series.lose("w1");
    series.take_over();
    const auto took = series.time_until_started(job, longest_absence);
    cr_assert_lt(took.count(), longest_absence.count(), "%ld ms",
                 static_cast<long>(took.count()));
}

// The same while it is not certain that an owner before the series has ended, which
// adds to the wait.
Test(cell_owner_series, owners_share_the_wait_for_an_owner_that_may_still_act)
{
    const cell::scheduler_options options;
    owner_series series(options);
    const auto job = lasting_job("j1", 1);
    series.start_on_w1(job);
    series.simulation.add_worker("w2", 4'000);
    series.simulation.run_for(milliseconds(500));
    series.lose("w1");
    series.take_over();
    const auto limit = longest_absence + options.earlier_owner_limit;
    const auto took = series.time_until_started(job, limit);
    cr_assert_lt(took.count(), limit.count(), "%ld ms",
                 static_cast<long>(took.count()));
    cr_assert_gt(took.count(),
                 (options.earlier_owner_limit + options.lease).count());
}

// The same for a task whose run the row of a lost worker lists.
Test(cell_owner_series, owners_share_the_wait_for_a_listed_run)
{
    owner_series series;
    const auto job = lasting_job("j1", 1);
    series.start_on_w1(job);
    series.simulation.add_worker("w2", 4'000);
    series.lose("w1");
    series.simulation.run_for(milliseconds(1'000));
    const auto& row = series.simulation.stored_roster.at(worker_id("w1"));
    cr_assert(row.first.closed);
    cr_assert_eq(row.first.runs.size(), 1u);
    series.take_over();
    const auto took = series.time_until_started(job, longest_absence);
    cr_assert_lt(took.count(), longest_absence.count(), "%ld ms",
                 static_cast<long>(took.count()));
}

// A lease must not outlast what the row of a silent worker promises the next owner:
// once the worker answers, it is extended only after the row has been changed.
Test(cell_owner_series, a_lease_is_extended_only_after_the_row_shows_no_silence)
{
    for (const bool store_answers : {true, false})
    {
        owner_series series;
        const auto job = lasting_job("j1", 1);
        auto& worker = series.start_on_w1(job);
        worker.receives_orders = false;
        series.take_over();
        series.simulation.run_for(milliseconds(1'500));
        const auto& row = series.simulation.stored_roster.at(worker_id("w1"));
        cr_assert(row.first.shows_silence());
        const auto lease_end = worker.lease_end;
        series.simulation.store_answers = store_answers;
        worker.receives_orders = true;
        series.simulation.run_for(milliseconds(1'000));
        cr_assert(series.is_started(job));
        cr_assert_eq(worker.lease_end > lease_end, store_answers);
        cr_assert_eq(!row.first.shows_silence(), store_answers);
    }
}

// An owner of an earlier version of the program does not keep what a row promises.
Test(cell_owner_series, a_silence_of_a_broken_series_is_not_relied_on)
{
    auto options = released_by_earlier_owner();
    options.silence_kept_since = 3;
    cell_simulation simulation(3, options);
    auto& worker = simulation.add_worker("w1", 4'000);
    worker.receives_orders = false;
    simulation.add_worker("w2", 4'000);
    cell::roster_entry row;
    row.entry = worker.entry;
    row.no_orders_for = longest_absence;
    row.no_orders_epoch = 2;
    simulation.jobs().restore_worker(row, 1, simulation.now);
    cell::job_progress none;
    none.id = job_id("j1");
    simulation.jobs().restore(simple_job("j1", 1, 1'000), none, simulation.now);
    simulation.run_for(milliseconds(4'000));
    cr_assert(simulation.starts.empty());
}

// Guards against inherited jobs that wait for the report of a worker which had
// said to an earlier owner that it leaves.
Test(cell_owner_series, a_worker_that_left_between_two_owners_blocks_no_job)
{
    owner_series series;
    const auto job = lasting_job("j1", 1);
    series.start_on_w1(job);
    cr_assert(series.is_started(job));
    series.drain("w1", milliseconds(2'000));
    series.simulation.run_for(milliseconds(1'900));
    cr_assert(!series.is_started(job));
    series.simulation.add_worker("w2", 4'000);
    series.take_over();
    series.lose("w1");
    series.simulation.run_for(milliseconds(500));
    cr_assert(series.is_started(job));
}

// The same for a worker that fell silent while it had no runs.
Test(cell_owner_series, a_silent_worker_without_runs_blocks_no_job)
{
    owner_series series;
    series.simulation.add_worker("w1", 4'000);
    series.simulation.run_for(milliseconds(500));
    series.lose("w1");
    const auto job = lasting_job("j1", 1);
    series.accept(job);
    series.simulation.run_for(milliseconds(1'500));
    series.take_over();
    series.simulation.add_worker("w2", 4'000);
    series.simulation.run_for(milliseconds(500));
    cr_assert(series.is_started(job));
}

// Guards against inherited jobs that wait for the report of a worker which has just
// registered: without a row in the roster no owner can have given it work.
Test(cell_owner_series, a_worker_that_no_owner_has_used_blocks_no_job)
{
    owner_series series;
    series.simulation.add_worker("w1", 4'000);
    series.simulation.run_for(milliseconds(500));
    const auto job = simple_job("j1", 1, 1'000);
    series.accept(job);
    series.take_over();
    series.simulation.add_worker("w2", 4'000).receives_orders = false;
    series.simulation.run_for(milliseconds(500));
    cr_assert(series.is_started(job));
}

// A worker that leaves finishes what it can: a new owner does not stop its runs.
Test(cell_owner_series, a_new_owner_leaves_the_runs_of_a_draining_worker)
{
    owner_series series;
    const auto job = simple_job("j1", 2, 1'000);
    series.start_on_w1(job);
    series.drain("w1", milliseconds(3'000));
    series.simulation.run_for(milliseconds(500));
    series.take_over();
    series.simulation.run_for(milliseconds(500));
    cr_assert(series.is_started(job));
    cr_assert(series.simulation.stops.empty());
    cr_assert_eq(series.simulation.starts.size(), 2u);
}

// Guards against a run of a cancelled job that a new owner adopts on a worker that
// drains, and never stops.
Test(cell_owner_series, a_cancelled_run_on_a_draining_worker_is_stopped)
{
    owner_series series;
    const auto job = simple_job("j1", 1, 1'000);
    series.start_on_w1(job);
    series.drain("w1", milliseconds(4'000));
    series.simulation.run_for(milliseconds(500));
    const auto row = series.simulation.stored_roster.at(worker_id("w1"));
    cr_assert(row.first.closed && row.first.runs.size() == 1);
    cell_simulation next(2, released_by_earlier_owner());
    next.now = series.simulation.now;
    next.workers = series.simulation.workers;
    cell::job_progress none;
    none.id = job.id;
    next.jobs().restore(job, none, next.now);
    next.jobs().cancel(job.id, next.now);
    next.jobs().on_worker_registered(row.first.entry, next.now);
    next.jobs().restore_worker(row.first, row.second, next.now);
    next.run_for(milliseconds(500));
    cr_assert_eq(next.stops.size(), 1u);
    cr_assert_eq(next.running(), 0u);
}

// Guards against a task that runs twice: with its row, a worker would take the only
// trace of an end that is not durable yet.
Test(cell_owner_series, a_row_stays_until_the_ends_of_its_worker_are_durable)
{
    owner_series series;
    const auto job = simple_job("j1", 1, 1'000);
    auto& worker = series.start_on_w1(job);
    series.simulation.store_answers = false;
    series.simulation.end_run("w1", series.simulation.starts.front().run,
                              cell::run_end::done);
    series.simulation.run_for(milliseconds(500));
    series.simulation.unregister_worker(worker);
    auto& jobs = series.simulation.jobs();
    cr_assert(jobs.take_roster_changes(10).removals.empty());
    const auto batch = jobs.take_progress(10);
    cr_assert(batch.has_value());
    jobs.on_progress_stored(*batch, series.simulation.now);
    cr_assert_eq(jobs.take_roster_changes(10).removals.size(), 1u);
}

// Guards against a valid run that a new owner stops for an earlier run of its
// task, which the roster row of a silent worker still lists.
Test(cell_owner_series, a_run_is_kept_beside_the_row_of_an_earlier_one)
{
    owner_series series;
    const auto job = lasting_job("j1", 1);
    series.start_on_w1(job);
    series.simulation.add_worker("w2", 4'000);
    series.lose("w1");
    series.simulation.run_for(longest_absence);
    cr_assert(series.is_started(job));
    const auto starts = series.simulation.starts.size();
    series.take_over();
    series.simulation.run_for(longest_absence);
    cr_assert(series.is_started(job));
    cr_assert_eq(series.simulation.starts.size(), starts);
    cr_assert(series.simulation.workers.at(worker_id("w2")).ended.empty());
}

// Workers leave and owners change all the time, in all phases to each other: the
// tasks of a service must run nearly all of it.
Test(cell_owner_series, a_service_runs_while_workers_leave_and_owners_change)
{
    constexpr milliseconds between_leaves{700};
    constexpr milliseconds phase_step{100};
    milliseconds longest{0};
    for (milliseconds phase{0}; phase < between_leaves; phase += phase_step)
    {
        longest =
            std::max(longest, longest_absence_with(between_leaves, phase));
    }
    cr_assert_leq(longest.count(), 1'000, "%ld ms without a run",
                  static_cast<long>(longest.count()));
}
