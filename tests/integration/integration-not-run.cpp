/// @file
/// Checks that an answer says truthfully whether its request ran when links
/// to workers break, replies are lost, deadlines pass, or processes stop.
#include "cell_run.hpp"

#include <string> // string

using namespace pimentoshunt;
using namespace pimentoshunt::testing;

namespace
{

auto options_with_worker_proxies() -> cell_options
{
    auto options = small_cell_options();
    options.proxy_workers = true;
    return options;
}

auto add_run_faults(cell_run& run, exchange_fault fault, std::int64_t times,
                    std::size_t bytes) -> void
{
    for (const auto& link : run.test_cell().links())
    {
        link.proxy->add({fault, times, bytes, "/run/"});
    }
}

auto count_ran_headers(const cell_run& run, ran_header ran_value) -> std::size_t
{
    return run.count(
        [ran_value](const call_record& record)
        {
            return record.ran == ran_value;
        });
}

auto are_all_answered(const cell_run& run) -> bool
{
    return run.count(
               [](const call_record& record)
               {
                   return !record.answered;
               }) == 0;
}

} // namespace

Test(not_run, worker_links_cut_while_requests_are_sent_and_run)
{
    cell_run run(options_with_worker_proxies());
    run.begin(run.load("cut"));
    auto& link = *run.test_cell().workers().front().from_instances;
    for (int round = 0; round < 4; ++round)
    {
        cr_assert(run.wait_for_running_attempts(2));
        link.set_faults({.cut = true});
        const auto before = run.events().size();
        cr_assert(wait_until(
            [&]
            {
                return run.events().size() > before + 20;
            },
            settle_timeout));
        link.clear_faults();
    }
    run.verify_history(400);
    cr_assert(are_all_answered(run));
}

Test(not_run, connections_closed_before_and_within_the_request)
{
    cell_run run(options_with_worker_proxies());
    for (const std::size_t bytes : {0, 1, 40, 300, 2'000})
    {
        add_run_faults(run, exchange_fault::close_request_after, 12, bytes);
    }
    auto load = run.load("within");
    load.min_body_size = 4'000;
    run.begin(load);
    run.verify_history(1'000);
    cr_assert(are_all_answered(run));
}

Test(not_run, replies_lost_after_the_effect)
{
    cell_run run(options_with_worker_proxies());
    add_run_faults(run, exchange_fault::drop_reply, 30, 0);
    add_run_faults(run, exchange_fault::close_reply_after, 30, 60);
    run.begin(run.load("after"));
    run.verify_history(1'000);
    cr_assert(are_all_answered(run));
    cr_assert(run.triggered_count() == 120);
    // A lost reply is either that of a run, which is answered as "unknown", or
    // that of a refusal, which is settled as "revoked". There is no third case.
    const auto unknown = count_ran_headers(run, ran_header::unknown);
    std::size_t revoked = 0;
    std::size_t starts = 0;
    for (const auto& event : run.events())
    {
        revoked += event.kind_name == "revoked" ? 1 : 0;
        const auto counted = event.request_id.rfind("after-", 0) == 0;
        starts += counted && event.kind == observed_kind::start ? 1 : 0;
    }
    const auto triggered_count =
        static_cast<std::size_t>(run.triggered_count());
    cr_assert(unknown > 0 && unknown + revoked >= triggered_count,
              "%zu unknown, %zu revoked, %zu replies lost", unknown, revoked,
              triggered_count);
    cr_assert(starts == unknown + count_ran_headers(run, ran_header::yes));
}

Test(not_run, settlement_replies_lost_too)
{
    cell_run run(options_with_worker_proxies());
    add_run_faults(run, exchange_fault::close_request_after, 30, 300);
    add_run_faults(run, exchange_fault::drop_reply, 30, 0);
    for (const auto& link : run.test_cell().links())
    {
        link.proxy->add({exchange_fault::drop_reply, 30, 0, "/revoke"});
    }
    run.begin(run.load("settle"));
    run.verify_history(900);
    cr_assert(are_all_answered(run));
}

Test(not_run, deadline_passes_in_the_queue)
{
    cell_run run(small_cell_options());
    auto busy = run.load("busy");
    busy.callers = 30;
    busy.requests_per_caller = 2;
    busy.min_run_time = milliseconds(400);
    busy.max_run_time = milliseconds(800);
    run.begin(busy);
    cr_assert(run.wait_for_running_attempts(20));
    auto brief = run.load("brief");
    brief.workload = "brief";
    brief.callers = 20;
    brief.requests_per_caller = 3;
    run.begin(brief);
    run.verify_history(50);
    cr_assert(are_all_answered(run));
    cr_assert(count_ran_headers(run, ran_header::no) > 0);
    cr_assert(run.count(
                  [](const call_record& record)
                  {
                      return record.ran == ran_header::no &&
                             !record.has_retry_after;
                  }) == 0);
}

Test(not_run, callers_disconnect_while_requests_wait_or_run)
{
    cell_run run(small_cell_options());
    auto impatient = run.load("leave");
    impatient.min_run_time = milliseconds(50);
    impatient.max_run_time = milliseconds(300);
    impatient.requests_per_caller = 6;
    impatient.timeout = milliseconds(120);
    run.begin(impatient);
    run.join_callers();
    auto load = run.load("stay");
    load.requests_per_caller = 5;
    run.begin(load);
    run.verify_history(200);
}

Test(not_run, instance_stops_under_load)
{
    cell_run run(small_cell_options());
    auto load = run.load("stop");
    load.min_run_time = milliseconds(20);
    load.max_run_time = milliseconds(200);
    load.requests_per_caller = 20;
    run.begin(load);
    cr_assert(run.wait_for_running_attempts(15));
    run.test_cell().instances().front().program.terminate();
    run.verify_history(300);
}

Test(not_run, workers_frozen_past_the_deadline)
{
    cell_run run(options_with_worker_proxies());
    auto load = run.load("frozen");
    load.workload = "brief";
    load.requests_per_caller = 15;
    run.begin(load);
    cr_assert(run.wait_for_running_attempts(2));
    auto& link = *run.test_cell().workers().front().from_instances;
    link.set_faults({.freeze = true});
    run.join_callers();
    // The requests held back by the link arrive now, long after their callers
    // were answered.
    link.clear_faults();
    run.verify_history(20);
    cr_assert(are_all_answered(run));
}

Test(not_run, workers_killed_with_requests_running_and_restarted)
{
    cell_run run(small_cell_options());
    auto load = run.load("died");
    load.min_run_time = milliseconds(20);
    load.max_run_time = milliseconds(200);
    load.requests_per_caller = 15;
    run.begin(load);
    cr_assert(run.wait_for_running_attempts(15));
    run.test_cell().kill_workers(0);
    run.test_cell().restart_workers(0);
    run.verify_history(200);
    cr_assert(are_all_answered(run));
}
