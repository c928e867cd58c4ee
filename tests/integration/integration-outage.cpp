/// @file
/// Checks that a cell serves requests while the store is down, replaces owners
/// that were killed or paused, and empties its queues after bursts of requests.
#include "support/balanced_callers.hpp"
#include "support/operator_calls.hpp"
#include "support/wait_until.hpp"

#include <criterion/criterion.h>

#include <mutex>  // mutex
#include <thread> // jthread

using namespace pimentoshunt::testing;
using pimentoshunt::milliseconds;

namespace
{

constexpr std::int64_t worker_count = 8;
constexpr milliseconds configuration_timeout{12'000};

auto three_instances() -> cell_options
{
    cell_options options;
    options.instances = 3;
    options.workers_per_process = worker_count;
    return options;
}

auto send_call(int port, const std::string& id,
               milliseconds timeout = milliseconds{10'000}) -> call_record
{
    call_spec spec;
    spec.request_id = id;
    spec.body = id;
    spec.timeout = timeout;
    return call(port, spec);
}

/// Sends @p count requests at once, spread over the instances.
auto send_calls_at_once(cell& test_cell, std::size_t count,
                        milliseconds timeout) -> std::vector<call_record>
{
    std::vector<call_record> records(count);
    std::vector<std::jthread> callers;
    callers.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto port =
            test_cell.instances()[i % test_cell.instances().size()].caller_port;
        callers.emplace_back(
            [&records, i, port, timeout]
            {
                records[i] =
                    send_call(port, "wave-" + std::to_string(i), timeout);
            });
    }
    callers.clear();
    return records;
}

auto are_queues_empty(cell& test_cell) -> bool
{
    for (const auto& instance : test_cell.instances())
    {
        if (count_waiting_requests(instance) != 0)
        {
            return false;
        }
    }
    return true;
}

/// Options of a cell whose workers have one slot each, so that nearly all of
/// many simultaneous requests wait.
auto overloaded_cell_options() -> cell_options
{
    auto options = three_instances();
    options.worker_flags = {"--slots=1"};
    options.settings = {{"caller_threads", 512}};
    return options;
}

} // namespace

Test(outage, an_instance_starts_while_the_store_is_down)
{
    cell test_cell(three_instances());
    const auto text = plan_text();
    const auto start_error = start_with_plan(test_cell, text, worker_count);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    cr_assert(test_cell.set_platform_faults({{"outage", "refuse"}}));
    test_cell.restart_instance(0);
    cr_assert(test_cell.wait_ready(0, configuration_timeout));
    cr_assert(is_plan_in_force(test_cell, 1, text));
    cr_assert(wait_until(
        [&]
        {
            return are_workers_owned(test_cell, worker_count);
        },
        configuration_timeout));
    const auto answer =
        send_call(test_cell.instances()[0].caller_port, "fresh");
    cr_assert(answer.status == 200, "status %d", answer.status);
}

Test(outage, an_owner_dies_while_the_store_is_down)
{
    cell test_cell(three_instances());
    const auto start_error =
        start_with_plan(test_cell, plan_text(), worker_count);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    balanced_callers load(test_cell, {});
    cr_assert(test_cell.set_platform_faults({{"outage", "hang"}}));
    test_cell.instances()[1].program.kill();
    cr_assert(wait_until(
        [&]
        {
            return are_workers_owned(test_cell, worker_count);
        },
        configuration_timeout));
    const auto before = load.served();
    cr_assert(wait_until(
        [&]
        {
            return load.served() > before + 50;
        },
        configuration_timeout));
    const auto calls = load.stop();
    cr_assert(test_cell.set_platform_faults({{"outage", "none"}}));
    const auto violations = find_violations(test_cell.collect_history(calls));
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
}

Test(outage, the_last_instance_takes_all_workers_over)
{
    cell test_cell(three_instances());
    const auto start_error =
        start_with_plan(test_cell, plan_text(), worker_count);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    test_cell.instances()[0].program.kill();
    test_cell.instances()[1].program.kill();
    cr_assert(wait_until(
        [&]
        {
            return are_workers_owned(test_cell, worker_count);
        },
        configuration_timeout));
}

Test(outage, a_paused_owner_is_replaced)
{
    constexpr std::size_t instances = 8;
    constexpr std::int64_t workers = 32;
    cell_options options;
    options.instances = instances;
    options.workers_per_process = workers;
    cell test_cell(options);
    const auto start_error = start_with_plan(test_cell, plan_text(), workers);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    balanced_caller_options callers;
    callers.callers = 16;
    callers.timeout = milliseconds{2'000};
    balanced_callers load(test_cell, callers);
    cr_assert(wait_until(
        [&]
        {
            return load.served() > 500;
        },
        configuration_timeout));
    test_cell.instances()[1].program.pause();
    const auto others_own_all = [&]
    {
        std::int64_t owned = 0;
        for (std::size_t i = 0; i < instances; ++i)
        {
            owned += i == 1 ? 0 : count_owned_workers(test_cell.instances()[i]);
        }
        return owned == workers;
    };
    const bool replaced = wait_until(others_own_all, configuration_timeout);
    load.stop();
    cr_assert(replaced);
}

Test(outage, a_burst_of_expired_requests_leaves_no_queue)
{
    cell test_cell(overloaded_cell_options());
    plan_service service;
    service.deadline = milliseconds{1'500};
    const auto start_error =
        start_with_plan(test_cell, plan_text(service), worker_count);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    cr_assert(test_cell.set_worker_faults(0, {{"slow_ms", 3'000}}));
    const auto calls =
        send_calls_at_once(test_cell, 1'000, milliseconds{10'000});
    std::size_t unanswered = 0;
    std::size_t refused_after_waiting = 0;
    for (const auto& item : calls)
    {
        unanswered += item.answered ? 0 : 1;
        refused_after_waiting +=
            item.ran == ran_header::no && item.has_retry_after ? 1 : 0;
    }
    cr_assert(unanswered == 0, "%zu calls got no answer", unanswered);
    cr_assert(refused_after_waiting > 900,
              "only %zu calls were refused after waiting",
              refused_after_waiting);
    cr_assert(are_queues_empty(test_cell));
    cr_assert(test_cell.set_worker_faults(0, {{"slow_ms", 0}}));
    cr_assert(wait_until(
        [&]
        {
            return test_cell.workers_idle();
        },
        configuration_timeout));
    cr_assert(wait_until(
        [&]
        {
            return send_call(test_cell.instances()[0].caller_port, "after")
                       .status == 200;
        },
        configuration_timeout));
    const auto violations = find_violations(test_cell.collect_history(calls));
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
}

Test(outage, a_burst_of_disconnected_callers_leaves_no_queue)
{
    cell test_cell(overloaded_cell_options());
    plan_service service;
    service.deadline = milliseconds{2'000};
    const auto start_error =
        start_with_plan(test_cell, plan_text(service), worker_count);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    cr_assert(test_cell.set_worker_faults(0, {{"slow_ms", 1'000}}));
    const auto calls = send_calls_at_once(test_cell, 1'000, milliseconds{400});
    cr_assert(test_cell.set_worker_faults(0, {{"slow_ms", 0}}));
    // Requests leave the queue no later than their deadline of 2 s.
    constexpr milliseconds queue_timeout{2'500};
    cr_assert(wait_until(
        [&]
        {
            return are_queues_empty(test_cell);
        },
        queue_timeout));
    cr_assert(send_call(test_cell.instances()[0].caller_port, "after").status ==
              200);
    const auto violations = find_violations(test_cell.collect_history(calls));
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
}
