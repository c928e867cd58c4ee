/// @file
/// Checks that no worker exceeds its resources or connections while instances
/// are killed, paused, restarted or cut off from each other under load.
#include "cell_run.hpp"

#include "support/random_faults.hpp"

#include <string> // string

using namespace pimentoshunt;
using namespace pimentoshunt::testing;

namespace
{

/// Options of callers whose requests run until after a takeover.
auto long_load(const cell_run& run, const std::string& prefix) -> caller_options
{
    auto options = run.load(prefix);
    options.callers = 36;
    options.requests_per_caller = 6;
    options.min_run_time = milliseconds(100);
    options.max_run_time = milliseconds(500);
    return options;
}

/// Starts callers of "desk" and of "wide", so that more than one resource
/// of the workers becomes a limit.
auto start_mixed_load(cell_run& run, caller_options options) -> void
{
    options.callers /= 2;
    run.begin(options);
    options.workload = "wide";
    options.id_prefix += "w";
    ++options.seed;
    run.begin(options);
}

} // namespace

Test(capacity, peak_load_at_three_instances_with_slow_peers)
{
    auto options = small_cell_options();
    options.proxy_peers = true;
    cell_run run(options);
    for (const auto& link : run.test_cell().links())
    {
        link.proxy->set_faults(
            {.delay = milliseconds(5), .jitter = milliseconds(40)});
    }
    auto load = run.load("crest");
    load.requests_per_caller = 20;
    start_mixed_load(run, load);
    run.verify_history(400);
}

Test(capacity, owner_paused_past_its_takeover_and_resumed_under_load)
{
    cell_run run(small_cell_options());
    start_mixed_load(run, long_load(run, "pause"));
    cr_assert(run.wait_for_running_attempts(15));
    auto& paused = run.test_cell().instances().front().program;
    paused.pause();
    cr_assert(run.wait_for_ownership("i0", false),
              "no other instance took over its workers");
    paused.resume();
    run.verify_history(110);
    cr_assert(run.wait_for_ownership("i0", true),
              "the resumed instance owns no worker");
}

Test(capacity, owner_killed_with_work_that_outlasts_its_takeover)
{
    cell_run run(small_cell_options());
    auto long_running = run.load("lasting");
    // Callers use only the instances that survive; the killed one owns some of
    // the workers that run their requests.
    long_running.ports.erase(long_running.ports.begin());
    long_running.callers = 16;
    long_running.requests_per_caller = 1;
    long_running.min_run_time = milliseconds(3'000);
    long_running.max_run_time = milliseconds(3'500);
    auto short_work = run.load("short");
    short_work.ports = long_running.ports;
    short_work.callers = 30;
    short_work.requests_per_caller = 8;
    run.begin(long_running);
    cr_assert(run.wait_for_running_attempts(12));
    run.test_cell().instances().front().program.kill();
    run.begin(short_work);
    cr_assert(run.wait_for_ownership("i0", false),
              "no other instance took over its workers");
    run.verify_history(100);
}

Test(capacity, owner_paused_while_the_table_is_down)
{
    cell_run run(small_cell_options());
    cr_assert(run.test_cell().set_platform_faults({{"outage", "hang"}}));
    start_mixed_load(run, long_load(run, "outage"));
    cr_assert(run.wait_for_running_attempts(15));
    auto& paused = run.test_cell().instances()[1].program;
    paused.pause();
    cr_assert(run.wait_for_ownership("i1", false),
              "no other instance took over its workers");
    paused.resume();
    run.verify_history(110);
}

Test(capacity, replies_to_fences_lost_in_a_takeover)
{
    auto options = small_cell_options();
    options.proxy_workers = true;
    cell_run run(options);
    start_mixed_load(run, long_load(run, "fence"));
    cr_assert(run.wait_for_running_attempts(15));
    for (const auto& link : run.test_cell().links())
    {
        link.proxy->add({.fault = exchange_fault::drop_reply,
                         .times = 4,
                         .request_text = "/fence"});
    }
    run.test_cell().instances()[2].program.kill();
    cr_assert(run.wait_for_ownership("i2", false),
              "no other instance took over its workers");
    run.verify_history(60);
    cr_assert(run.triggered_count() > 0, "no reply to a fence was lost");
}

Test(capacity, instance_joins_at_peak_load)
{
    cell_run run(small_cell_options());
    run.test_cell().instances()[2].program.kill();
    cr_assert(run.wait_for_ownership("i2", false),
              "no other instance took over its workers");
    auto load = long_load(run, "join");
    load.requests_per_caller = 6;
    load.ports.pop_back();
    start_mixed_load(run, load);
    cr_assert(run.wait_for_running_attempts(15));
    run.test_cell().restart_instance(2);
    cr_assert(run.wait_for_ownership("i2", true),
              "the restarted instance owns no worker");
    run.verify_history(100);
}

Test(capacity, instances_with_interrupted_peer_links)
{
    auto options = small_cell_options();
    options.proxy_peers = true;
    cell_run run(options);
    auto load = long_load(run, "sight");
    load.requests_per_caller = 6;
    start_mixed_load(run, load);
    cr_assert(run.wait_for_running_attempts(15));
    {
        const random_faults faults(run.test_cell().links(),
                                   {.seed = 7,
                                    .min_fault_duration = milliseconds(900),
                                    .max_fault_duration = milliseconds(1'500)});
        run.join_callers();
    }
    run.verify_history(100);
}
