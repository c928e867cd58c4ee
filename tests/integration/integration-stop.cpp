/// @file
/// Checks that an instance told to stop interrupts no request, hands over its
/// workers before it exits, and answers the requests that still wait.
#include "support/balanced_callers.hpp"
#include "support/operator_calls.hpp"
#include "support/wait_until.hpp"

#include <criterion/criterion.h>

#include <algorithm> // max, sort
#include <mutex>     // mutex

using namespace pimentoshunt::testing;
using pimentoshunt::boot_clock;
using pimentoshunt::milliseconds;

namespace
{

constexpr std::int64_t worker_count = 8;
/// Longest time to stop: an instance withdraws its readiness first and then
/// waits for the requests in flight.
constexpr milliseconds stop_timeout{10'000};
constexpr milliseconds ready_timeout{12'000};

/// Lists calls without a complete answer or with a status other than 200.
auto describe_unserved_calls(const std::vector<call_record>& calls)
    -> std::string
{
    std::string text;
    for (const auto& call : calls)
    {
        if (!call.answered || call.status != 200)
        {
            text += call.request_id + ": " + std::to_string(call.status) + " " +
                    call.transport_error + "\n";
        }
    }
    return text;
}

/// Longest time without a start of a request, from @p after_us to the last
/// start.
auto longest_gap(const run_history& history, std::int64_t after_us)
    -> milliseconds
{
    std::vector<std::int64_t> starts{after_us};
    for (const auto& event : history.events)
    {
        if (event.kind == observed_kind::start && event.at_us > after_us)
        {
            starts.push_back(event.at_us);
        }
    }
    std::sort(starts.begin(), starts.end());
    std::int64_t longest = 0;
    for (std::size_t i = 1; i < starts.size(); ++i)
    {
        longest = std::max(longest, starts[i] - starts[i - 1]);
    }
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::microseconds(longest));
}

} // namespace

Test(planned_stop, rolling_restart_of_all_instances_interrupts_no_request)
{
    cell_options options;
    options.instances = 3;
    options.workers_per_process = worker_count;
    cell test_cell(options);
    const auto start_error =
        start_with_plan(test_cell, plan_text(), worker_count);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    balanced_caller_options callers;
    callers.max_run_time = milliseconds{200};
    balanced_callers load(test_cell, callers);
    for (std::size_t number = 0; number < test_cell.instances().size();
         ++number)
    {
        auto& instance = test_cell.instances()[number];
        const auto before = load.served();
        cr_assert(wait_until(
            [&]
            {
                return load.served() > before + 50;
            },
            stop_timeout));
        instance.program.terminate();
        const auto status = instance.program.wait(stop_timeout);
        cr_assert(status.has_value(), "%s still runs", instance.name.c_str());
        cr_assert(*status == 0, "the instance exited with status %d", *status);
        test_cell.restart_instance(number);
        cr_assert(test_cell.wait_ready(number, ready_timeout));
    }
    const auto calls = load.stop();
    const auto unserved = describe_unserved_calls(calls);
    cr_assert(unserved.empty(), "%s", unserved.c_str());
    const auto violations = find_violations(test_cell.collect_history(calls));
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
}

Test(planned_stop, workers_are_handed_over_before_the_instance_ends)
{
    cell_options options;
    options.instances = 2;
    options.workers_per_process = 1;
    cell test_cell(options);
    const auto start_error = start_with_plan(test_cell, plan_text(), 1);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    const std::size_t owner =
        count_owned_workers(test_cell.instances()[0]) > 0 ? 0 : 1;
    balanced_caller_options callers;
    callers.pause = milliseconds{1};
    callers.max_run_time = milliseconds{10};
    balanced_callers load(test_cell, callers);
    cr_assert(wait_until(
        [&]
        {
            return load.served() > 50;
        },
        stop_timeout));
    const auto stop_requested_at_us =
        std::chrono::duration_cast<std::chrono::microseconds>(
            boot_clock::now().time_since_epoch())
            .count();
    auto& leaving = test_cell.instances()[owner];
    leaving.program.terminate();
    cr_assert(leaving.program.wait(stop_timeout) == 0);
    const auto after = load.served();
    cr_assert(wait_until(
        [&]
        {
            return load.served() > after + 50;
        },
        stop_timeout));
    const auto calls = load.stop();
    const auto unserved = describe_unserved_calls(calls);
    cr_assert(unserved.empty(), "%s", unserved.c_str());
    // Shorter than the time without messages after which an instance counts as
    // failed: a takeover after a failure would leave a longer gap.
    constexpr milliseconds max_start_gap{800};
    const auto gap =
        longest_gap(test_cell.collect_history(calls), stop_requested_at_us);
    cr_assert(gap < max_start_gap, "no request started for %ld ms",
              gap.count());
}

Test(planned_stop, waiting_requests_get_a_final_answer)
{
    cell_options options;
    options.instances = 2;
    options.workers_per_process = 1;
    options.worker_flags = {"--slots=1"};
    options.settings = {{"drain_timeout_ms", 3'000}};
    cell test_cell(options);
    plan_service service;
    service.deadline = milliseconds{30'000};
    const auto start_error = start_with_plan(test_cell, plan_text(service), 1);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    auto& leaving = test_cell.instances()[0];
    std::vector<call_record> calls;
    std::mutex mutex;
    std::vector<std::jthread> callers;
    constexpr int waiting = 10;
    callers.reserve(waiting);
    for (int i = 0; i < waiting; ++i)
    {
        callers.emplace_back(
            [&, i]
            {
                call_spec spec;
                spec.request_id = "q" + std::to_string(i);
                spec.subpath = "x?run_ms=2000";
                spec.body = spec.request_id;
                const auto record = call(leaving.caller_port, spec);
                const std::lock_guard lock(mutex);
                calls.push_back(record);
            });
    }
    cr_assert(wait_until(
        [&]
        {
            return count_waiting_requests(leaving) == waiting - 1;
        },
        stop_timeout));
    leaving.program.terminate();
    cr_assert(leaving.program.wait(stop_timeout) == 0);
    callers.clear();
    int served = 0;
    for (const auto& item : calls)
    {
        cr_assert(item.answered, "%s: %s", item.request_id.c_str(),
                  item.transport_error.c_str());
        served += item.status == 200 ? 1 : 0;
        cr_assert(item.status == 200 ||
                  (item.ran == ran_header::no && item.has_retry_after));
    }
    cr_assert(served >= 2);
    cr_assert(served < waiting);
    const auto violations = find_violations(test_cell.collect_history(calls));
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
}
