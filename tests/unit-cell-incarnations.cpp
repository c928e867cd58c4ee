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

/// A cell whose worker w1 has been idle for some time. Calls name only the id of
/// a worker, so that a later incarnation accepts them.
struct idle_cell
{
    cell_simulation simulation{1, short_leases()};

    explicit idle_cell(milliseconds idle_time = std::chrono::minutes(1))
    {
        simulation.refuses_other_incarnations = false;
        simulation.add_worker("w1", 4'000);
        simulation.run_for(idle_time);
    }

    auto w1() -> fakes::fake_cell_worker&
    {
        return simulation.workers.at(worker_id("w1"));
    }

    /// w1 starts again and gets the only task before its entry is known.
    auto restart_and_start() -> void
    {
        simulation.restart_worker("w1", false);
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
