/// @file
/// Tests of workers that start again under their id, so that calls for the
/// earlier incarnation reach the later one.
#include "fakes/cell_simulation.hpp"

#include <criterion/criterion.h>

#include <string> // string
#include <vector> // vector

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::simple_job;

namespace
{

const cell::task_ref only_task{{job_id("j1"), 0, 0}, 0};

auto short_leases() -> cell::scheduler_options
{
    cell::scheduler_options out;
    out.longest_lease = milliseconds(6'000);
    return out;
}

/// The longest lease by a worker's clock that is 2% slow, the safety margin, and
/// one lost call.
constexpr milliseconds longest_wait{6'000 + 120 + 200 + 1'200};

/// A start on a worker that has been idle for longer waits for a reading of its
/// clock, and would not reach an incarnation that is not known.
constexpr std::chrono::seconds idle_time_before_blind_start{20};

/// A cell whose worker w1 has been idle for some time.
struct idle_cell
{
    cell_simulation simulation;

    explicit idle_cell(milliseconds idle_time = idle_time_before_blind_start,
                       const cell::scheduler_options& options = short_leases())
        : simulation(1, options)
    {
        simulation.add_worker("w1", 4'000);
        simulation.run_for(idle_time);
    }

    auto w1() -> fakes::fake_cell_worker&
    {
        return simulation.workers.at(worker_id("w1"));
    }

    /// Accepts the only task, which w1 starts.
    auto start_only_task() -> void
    {
        simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
        simulation.run_for(milliseconds(200));
    }

    /// w1 starts again and gets the only task before its entry is known.
    auto restart_and_start(milliseconds answer_delay = milliseconds(0)) -> void
    {
        simulation.restart_worker("w1", false);
        w1().answer_delay = answer_delay;
        simulation.run_for(milliseconds(20));
        simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
        simulation.run_pass();
        cr_assert_eq(w1().runs.size(), 1u);
    }

    /// The machine of w1 is lost with all that runs there.
    auto lose_w1() -> void
    {
        w1().receives_orders = false;
        w1().runs.clear();
        simulation.unregister_worker(w1());
    }
};

} // namespace

// Guards against a task that waits for as long as its lost worker had been up
// (rule LOST): the end of the lease was a time by the clock of an earlier
// incarnation.
Test(cell_incarnations, a_run_of_a_lost_worker_waits_for_the_longest_lease_only)
{
    for (const bool named : {false, true})
    {
        idle_cell cell;
        cell.simulation.names_incarnation = named;
        cell.restart_and_start();
        cell.lose_w1();
        cell.simulation.add_worker("w2", 4'000);
        cell.simulation.run_for(longest_wait);
        cr_assert_eq(cell.simulation.live_runs(only_task), 1u, "named: %d",
                     named);
    }
}

// After a longer idle time the reading that a start waits for shows the new
// incarnation, which gets nothing before its entry.
Test(cell_incarnations, a_restart_of_an_idle_worker_is_seen_before_a_start)
{
    for (const bool named : {false, true})
    {
        idle_cell cell(std::chrono::minutes(1));
        auto& simulation = cell.simulation;
        simulation.names_incarnation = named;
        simulation.restart_worker("w1", false);
        simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
        simulation.run_for(milliseconds(500));
        cr_assert(simulation.starts.empty());
        simulation.register_worker(cell.w1());
        simulation.run_for(milliseconds(200));
        cr_assert_eq(simulation.starts.size(), 1u);
        cr_assert_eq(simulation.live_runs(only_task), 1u);
    }
}

// Guards against a task that runs twice (rule TWICE): the entry of the new
// incarnation is read after it has accepted the run, which was taken for one of
// the earlier incarnation.
Test(cell_incarnations, a_run_that_a_new_incarnation_has_accepted_goes_on)
{
    for (const auto delay : {0, 40, 90, 140, 300})
    {
        for (const auto entry_after : {20, 60, 200, 450, 1'000})
        {
            idle_cell cell;
            auto& simulation = cell.simulation;
            cell.restart_and_start(milliseconds(delay));
            simulation.add_worker("w2", 4'000);
            simulation.run_for(milliseconds(entry_after));
            simulation.register_worker(cell.w1());
            for (int i = 0; i < 50; ++i)
            {
                simulation.run_for(milliseconds(20));
                cr_assert_eq(simulation.live_runs(only_task), 1u,
                             "answers after %d ms, entry after %d ms", delay,
                             entry_after);
            }
            cr_assert_eq(simulation.starts.size(), 1u);
            cr_assert_eq(simulation.stops.size(), 0u);
        }
    }
}

// Guards against an end that is lost: the worker would forget it if the number
// of the last end of the earlier incarnation were acknowledged.
Test(cell_incarnations, ends_of_a_new_incarnation_are_not_acknowledged_unseen)
{
    idle_cell cell(milliseconds(200));
    auto& simulation = cell.simulation;
    simulation.run_time = [](const cell::run_ref&)
    {
        return milliseconds(20);
    };
    simulation.jobs().accept(simple_job("j0", 3, 1'000), simulation.now);
    simulation.run_for(idle_time_before_blind_start);
    cr_assert_eq(simulation.starts.size(), 3u);
    cell.restart_and_start();
    simulation.end_run("w1", simulation.starts.back().run, cell::run_end::done);
    simulation.add_worker("w2", 4'000);
    simulation.run_for(milliseconds(2'000));
    cr_assert_eq(simulation.starts.size(), 4u, "%zu starts",
                 simulation.starts.size());
    cr_assert(simulation.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
    cr_assert(cell.w1().ended.empty(), "the end was not acknowledged");
}

// Guards against runs that are given up for an entry of another writer: only the
// worker itself can tell that it has restarted.
Test(cell_incarnations, an_entry_alone_ends_no_runs)
{
    idle_cell cell(milliseconds(200));
    auto& simulation = cell.simulation;
    cell.start_only_task();
    simulation.add_worker("w2", 4'000);
    for (const auto offset : {std::chrono::hours(1), std::chrono::hours(-1)})
    {
        auto claimed = cell.w1().entry;
        claimed.incarnation += offset;
        simulation.jobs().on_worker_registered(claimed, simulation.now);
        simulation.run_for(milliseconds(1'000));
        cr_assert_eq(simulation.starts.size(), 1u);
        cr_assert_eq(simulation.live_runs(only_task), 1u);
    }
}

// Guards against a worker whose answers are ignored for good, since the clock of
// its machine was set back before it restarted.
Test(cell_incarnations, a_new_incarnation_may_have_an_earlier_time)
{
    idle_cell cell(milliseconds(200));
    auto& simulation = cell.simulation;
    cell.start_only_task();
    simulation.restart_worker("w1", false);
    cell.w1().entry.incarnation -= std::chrono::hours(1);
    simulation.run_for(milliseconds(1'000));
    simulation.register_worker(cell.w1());
    simulation.run_for(milliseconds(1'000));
    cr_assert_eq(simulation.starts.size(), 2u);
    cr_assert_eq(simulation.live_runs(only_task), 1u);
}

namespace
{

/// Writes an entry under the id of w1 as another writer could do.
auto claim(idle_cell& cell, const std::string& address,
           std::chrono::milliseconds offset) -> void
{
    auto claimed = cell.w1().entry;
    claimed.address = address;
    claimed.incarnation += offset;
    cell.simulation.jobs().on_worker_registered(claimed, cell.simulation.now);
}

/// An address at which nothing answers.
const std::string nowhere = "10.0.0.9:9";

} // namespace

// Guards against a worker that is shut out for good by one entry of another
// writer under its id (rule LOST).
Test(cell_incarnations, a_worker_is_used_after_an_odd_entry_under_its_id)
{
    constexpr std::chrono::milliseconds day = std::chrono::hours(24);
    for (const auto offset : {day, -day, 0 * day})
    {
        for (const auto* const address : {"10.0.0.1:2", nowhere.c_str()})
        {
            idle_cell cell(milliseconds(200));
            cr_assert_eq(cell.w1().entry.address, "10.0.0.1:2");
            claim(cell, address, offset);
            cell.simulation.run_for(milliseconds(1'000));
            cell.simulation.register_worker(cell.w1());
            cell.simulation.jobs().accept(simple_job("j1", 1, 1'000),
                                          cell.simulation.now);
            cell.simulation.run_for(milliseconds(1'000));
            cr_assert_eq(cell.simulation.live_runs(only_task), 1u, "%s, %ld",
                         address, static_cast<long>(offset.count()));
        }
    }
}

// The same when a new owner reads the odd entry first.
Test(cell_incarnations, a_new_owner_finds_a_worker_behind_an_odd_entry)
{
    constexpr std::chrono::milliseconds day = std::chrono::hours(24);
    for (const auto offset : {day, -day})
    {
        idle_cell cell(milliseconds(200));
        auto& simulation = cell.simulation;
        const auto job = simple_job("j1", 1, 1'000);
        simulation.jobs().accept(job, simulation.now);
        simulation.run_for(milliseconds(200));
        const auto true_entry = cell.w1().entry;
        cell.w1().entry.address = nowhere;
        cell.w1().entry.incarnation += offset;
        simulation.take_over({job});
        cell.w1().entry = true_entry;
        simulation.add_worker("w2", 4'000);
        simulation.run_for(milliseconds(1'500));
        simulation.register_worker(cell.w1());
        simulation.run_for(milliseconds(15'000));
        cr_assert_eq(simulation.starts.size(), 1u, "%zu starts",
                     simulation.starts.size());
        cr_assert_eq(simulation.live_runs(only_task), 1u);
        simulation.end_run("w1", simulation.starts.front().run,
                           cell::run_end::done);
        simulation.run_for(milliseconds(200));
        simulation.jobs().accept(simple_job("j2", 2, 4'000), simulation.now);
        simulation.run_for(milliseconds(1'000));
        cr_assert_eq(simulation.running(), 2u, "w1 is not used");
    }
}

// Guards against runs that are given up although they go on (rule TWICE): an
// entry under another id names the address of their worker, which is cut off.
Test(cell_incarnations, an_entry_at_the_address_of_a_silent_worker_ends_no_runs)
{
    idle_cell cell(milliseconds(200));
    auto& simulation = cell.simulation;
    cell.start_only_task();
    simulation.add_worker("w2", 4'000);
    cell.w1().receives_orders = false;
    simulation.run_for(milliseconds(1'500));
    auto claimed = cell.w1().entry;
    claimed.id = worker_id("other");
    claimed.incarnation += std::chrono::hours(24);
    simulation.jobs().on_worker_registered(claimed, simulation.now);
    for (int i = 0; i < 400; ++i)
    {
        simulation.run_for(milliseconds(20));
        cr_assert_leq(simulation.live_runs(only_task), 1u);
    }
}

// A worker that has moved is found, and its runs of before are started again.
Test(cell_incarnations, a_worker_that_restarts_at_another_address_is_found)
{
    idle_cell cell(milliseconds(200));
    auto& simulation = cell.simulation;
    cell.start_only_task();
    simulation.restart_worker("w1", false);
    cell.w1().entry.address = "10.0.0.7:7";
    simulation.run_for(milliseconds(700));
    simulation.register_worker(cell.w1());
    simulation.run_for(milliseconds(2'500));
    cr_assert_eq(simulation.starts.size(), 2u);
    cr_assert_eq(simulation.live_runs(only_task), 1u);
}

// Guards against a second run while the first goes on (rule TWICE): the earlier
// owner has asked for a lease by the clock of an earlier incarnation, so that the
// worker has granted its longest one, and is cut off at the takeover.
Test(cell_incarnations, a_new_owner_waits_for_a_misdirected_lease)
{
    for (const bool announced : {false, true})
    {
        idle_cell tested(idle_time_before_blind_start,
                         cell::scheduler_options{});
        auto& simulation = tested.simulation;
        tested.restart_and_start();
        if (announced)
        {
            simulation.run_for(milliseconds(200));
            simulation.register_worker(tested.w1());
            simulation.run_for(milliseconds(200));
        }
        tested.w1().receives_orders = false;
        simulation.add_worker("w2", 4'000);
        simulation.take_over({simple_job("j1", 1, 1'000)});
        for (int i = 0; i < 800; ++i)
        {
            simulation.run_for(milliseconds(20));
            cr_assert_leq(simulation.live_runs(only_task), 1u, "after %d ms",
                          20 * i);
        }
        cr_assert_eq(simulation.live_runs(only_task), 1u);
    }
}
