/// @file
/// Checks that a retry of an idempotent request never overlaps an earlier
/// attempt that still runs.
#include "cell_run.hpp"

#include <string> // string

using namespace pimentoshunt;
using namespace pimentoshunt::testing;

namespace
{

/// Options of callers whose requests may run again, but not on two workers at
/// the same time.
auto reader_load(const cell_run& run, const std::string& prefix)
    -> caller_options
{
    auto options = run.load(prefix);
    options.workload = "reader";
    options.idempotent = true;
    options.callers = 20;
    options.requests_per_caller = 6;
    options.min_run_time = milliseconds(100);
    options.max_run_time = milliseconds(400);
    return options;
}

} // namespace

Test(one_place, worker_unreachable_but_running)
{
    auto options = small_cell_options();
    options.proxy_workers = true;
    cell_run run(options);
    run.begin(reader_load(run, "cut"));
    auto& link = *run.test_cell().workers().front().from_instances;
    for (int round = 0; round < 6; ++round)
    {
        cr_assert(run.wait_for_running_attempts(15));
        link.set_faults({.cut = true});
        // The link is restored before the requests end; they kept running
        // while it was cut.
        link.clear_faults();
    }
    run.verify_history(75);
}

Test(one_place, owner_killed_after_the_start)
{
    cell_run run(small_cell_options());
    run.begin(reader_load(run, "kill"));
    cr_assert(run.wait_for_running_attempts(15));
    run.test_cell().instances().front().program.kill();
    cr_assert(run.wait_for_ownership("i0", false),
              "no other instance took over its workers");
    run.verify_history(45);
}

Test(one_place, owner_paused_and_resumed)
{
    cell_run run(small_cell_options());
    run.begin(reader_load(run, "pause"));
    cr_assert(run.wait_for_running_attempts(15));
    auto& paused = run.test_cell().instances()[1].program;
    paused.pause();
    cr_assert(run.wait_for_ownership("i1", false),
              "no other instance took over its workers");
    paused.resume();
    run.verify_history(75);
}
