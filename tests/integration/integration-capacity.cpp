#include "cell_run.hpp"

#include "support/random_faults.hpp"

#include <string> // string

using namespace pimentoshunt;
using namespace pimentoshunt::testing;

namespace
{

/// Work that outlasts a takeover.
auto long_load(const cell_run& run, const std::string& prefix) -> caller_options
{
    auto options = run.load(prefix);
    options.callers = 36;
    options.requests_per_caller = 6;
    options.min_run_time = milliseconds(100);
    options.max_run_time = milliseconds(500);
    return options;
}

/// Two kinds of work at once, so that more than one amount binds.
auto begin_mixed(cell_run& run, caller_options options) -> void
{
    options.callers /= 2;
    run.begin(options);
    options.workload = "wide";
    options.id_prefix += "w";
    ++options.seed;
    run.begin(options);
}

} // namespace

Test(capacity, crest_at_three_instances_with_slow_peers)
{
    auto options = small_cell();
    options.proxy_peers = true;
    cell_run run(options);
    for (const auto& link : run.parts().links())
    {
        link.proxy->set_faults(
            {.delay = milliseconds(5), .jitter = milliseconds(40)});
    }
    auto load = run.load("crest");
    load.requests_per_caller = 20;
    begin_mixed(run, load);
    run.judge(400);
}

Test(capacity, owner_paused_past_its_takeover_and_resumed_under_load)
{
    cell_run run(small_cell());
    begin_mixed(run, long_load(run, "pause"));
    cr_assert(run.wait_running(15));
    auto& paused = run.parts().instances().front().program;
    paused.pause();
    cr_assert(run.wait_held("i0", false), "nobody takes over");
    paused.resume();
    run.judge(110);
    cr_assert(run.wait_held("i0", true), "it gets no workers back");
}

Test(capacity, owner_killed_with_work_that_outlasts_its_takeover)
{
    cell_run run(small_cell());
    auto lasting = run.load("lasting");
    // The entries live, the owner of some of their workers doesn't.
    lasting.ports.erase(lasting.ports.begin());
    lasting.callers = 16;
    lasting.requests_per_caller = 1;
    lasting.min_run_time = milliseconds(3'000);
    lasting.max_run_time = milliseconds(3'500);
    auto short_work = run.load("short");
    short_work.ports = lasting.ports;
    short_work.callers = 30;
    short_work.requests_per_caller = 8;
    run.begin(lasting);
    cr_assert(run.wait_running(12));
    run.parts().instances().front().program.kill();
    run.begin(short_work);
    cr_assert(run.wait_held("i0", false), "nobody takes over");
    run.judge(100);
}

Test(capacity, owner_paused_while_the_table_is_down)
{
    cell_run run(small_cell());
    cr_assert(run.parts().set_platform_faults({{"outage", "hang"}}));
    begin_mixed(run, long_load(run, "outage"));
    cr_assert(run.wait_running(15));
    auto& paused = run.parts().instances()[1].program;
    paused.pause();
    cr_assert(run.wait_held("i1", false), "nobody takes over");
    paused.resume();
    run.judge(110);
}

Test(capacity, replies_to_fences_lost_in_a_takeover)
{
    auto options = small_cell();
    options.proxy_workers = true;
    cell_run run(options);
    begin_mixed(run, long_load(run, "fence"));
    cr_assert(run.wait_running(15));
    for (const auto& link : run.parts().links())
    {
        link.proxy->add({.fault = exchange_fault::drop_reply,
                         .times = 4,
                         .request_text = "/fence"});
    }
    run.parts().instances()[2].program.kill();
    cr_assert(run.wait_held("i2", false), "nobody takes over");
    run.judge(60);
    cr_assert(run.triggered_count() > 0, "no fence lost its reply");
}

Test(capacity, instance_joins_at_the_crest)
{
    cell_run run(small_cell());
    run.parts().instances()[2].program.kill();
    cr_assert(run.wait_held("i2", false), "nobody takes over");
    auto load = long_load(run, "join");
    load.requests_per_caller = 6;
    load.ports.pop_back();
    begin_mixed(run, load);
    cr_assert(run.wait_running(15));
    run.parts().restart_instance(2);
    cr_assert(run.wait_held("i2", true), "it gets no workers");
    run.judge(100);
}

Test(capacity, instances_that_lose_sight_of_each_other)
{
    auto options = small_cell();
    options.proxy_peers = true;
    cell_run run(options);
    auto load = long_load(run, "sight");
    load.requests_per_caller = 6;
    begin_mixed(run, load);
    cr_assert(run.wait_running(15));
    {
        const random_faults faults(run.parts().links(),
                                   {.seed = 7,
                                    .min_fault_duration = milliseconds(900),
                                    .max_fault_duration = milliseconds(1'500)});
        run.join();
    }
    run.judge(100);
}
