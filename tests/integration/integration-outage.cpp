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
constexpr milliseconds configuration_bound{12'000};

auto three_instances() -> cell_options
{
    cell_options options;
    options.instances = 3;
    options.workers_per_process = worker_count;
    return options;
}

auto ask(int port, const std::string& id,
         milliseconds timeout = milliseconds{10'000}) -> call_record
{
    call_spec spec;
    spec.request_id = id;
    spec.body = id;
    spec.timeout = timeout;
    return call(port, spec);
}

/// Many requests at once, spread over the instances.
auto ask_at_once(cell& whole, std::size_t count, milliseconds timeout)
    -> std::vector<call_record>
{
    std::vector<call_record> records(count);
    std::vector<std::jthread> callers;
    callers.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto port =
            whole.instances()[i % whole.instances().size()].caller_port;
        callers.emplace_back(
            [&records, i, port, timeout]
            {
                records[i] = ask(port, "wave-" + std::to_string(i), timeout);
            });
    }
    callers.clear();
    return records;
}

auto nothing_waits(cell& whole) -> bool
{
    for (const auto& instance : whole.instances())
    {
        if (count_waiting_requests(instance) != 0)
        {
            return false;
        }
    }
    return true;
}

/// A cell whose workers take nothing in, so that all requests wait.
auto wave_cell() -> cell_options
{
    auto options = three_instances();
    options.worker_flags = {"--slots=1"};
    options.settings = {{"caller_threads", 512}};
    return options;
}

} // namespace

Test(outage, an_instance_starts_while_the_store_is_down)
{
    cell whole(three_instances());
    const auto text = plan_text();
    const auto trouble = start_with_plan(whole, text, worker_count);
    cr_assert(trouble.empty(), "%s", trouble.c_str());
    cr_assert(whole.set_platform_faults({{"outage", "refuse"}}));
    whole.restart_instance(0);
    cr_assert(whole.wait_ready(0, configuration_bound));
    cr_assert(is_plan_in_force(whole, 1, text));
    cr_assert(wait_until(
        [&]
        {
            return are_workers_owned(whole, worker_count);
        },
        configuration_bound));
    const auto answer = ask(whole.instances()[0].caller_port, "fresh");
    cr_assert(answer.status == 200, "answered %d", answer.status);
}

Test(outage, an_owner_dies_while_the_store_is_down)
{
    cell whole(three_instances());
    const auto trouble = start_with_plan(whole, plan_text(), worker_count);
    cr_assert(trouble.empty(), "%s", trouble.c_str());
    balanced_callers load(whole, {});
    cr_assert(whole.set_platform_faults({{"outage", "hang"}}));
    whole.instances()[1].program.kill();
    cr_assert(wait_until(
        [&]
        {
            return are_workers_owned(whole, worker_count);
        },
        configuration_bound));
    const auto before = load.served();
    cr_assert(wait_until(
        [&]
        {
            return load.served() > before + 50;
        },
        configuration_bound));
    const auto calls = load.stop();
    cr_assert(whole.set_platform_faults({{"outage", "none"}}));
    const auto violations = find_violations(whole.collect_history(calls));
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
}

Test(outage, the_last_instance_takes_all_workers_over)
{
    cell whole(three_instances());
    const auto trouble = start_with_plan(whole, plan_text(), worker_count);
    cr_assert(trouble.empty(), "%s", trouble.c_str());
    whole.instances()[0].program.kill();
    whole.instances()[1].program.kill();
    cr_assert(wait_until(
        [&]
        {
            return are_workers_owned(whole, worker_count);
        },
        configuration_bound));
}

Test(outage, a_paused_owner_is_replaced)
{
    constexpr std::size_t instances = 8;
    constexpr std::int64_t workers = 32;
    cell_options options;
    options.instances = instances;
    options.workers_per_process = workers;
    cell whole(options);
    const auto trouble = start_with_plan(whole, plan_text(), workers);
    cr_assert(trouble.empty(), "%s", trouble.c_str());
    balanced_caller_options callers;
    callers.callers = 16;
    callers.timeout = milliseconds{2'000};
    balanced_callers load(whole, callers);
    cr_assert(wait_until(
        [&]
        {
            return load.served() > 500;
        },
        configuration_bound));
    whole.instances()[1].program.pause();
    const auto others_hold = [&]
    {
        std::int64_t held = 0;
        for (std::size_t i = 0; i < instances; ++i)
        {
            held += i == 1 ? 0 : count_owned_workers(whole.instances()[i]);
        }
        return held == workers;
    };
    const bool replaced = wait_until(others_hold, configuration_bound);
    load.stop();
    cr_assert(replaced);
}

Test(outage, a_wave_of_passed_deadlines_leaves_no_queue)
{
    cell whole(wave_cell());
    plan_service service;
    service.deadline = milliseconds{1'500};
    const auto trouble =
        start_with_plan(whole, plan_text(service), worker_count);
    cr_assert(trouble.empty(), "%s", trouble.c_str());
    cr_assert(whole.set_worker_faults(0, {{"slow_ms", 3'000}}));
    const auto calls = ask_at_once(whole, 1'000, milliseconds{10'000});
    std::size_t unanswered = 0;
    std::size_t waited = 0;
    for (const auto& item : calls)
    {
        unanswered += item.answered ? 0 : 1;
        waited += item.ran == ran_header::no && item.has_retry_after ? 1 : 0;
    }
    cr_assert(unanswered == 0, "%zu got no answer", unanswered);
    cr_assert(waited > 900, "only %zu waited in vain", waited);
    cr_assert(nothing_waits(whole));
    cr_assert(whole.set_worker_faults(0, {{"slow_ms", 0}}));
    cr_assert(wait_until(
        [&]
        {
            return whole.workers_idle();
        },
        configuration_bound));
    cr_assert(wait_until(
        [&]
        {
            return ask(whole.instances()[0].caller_port, "after").status == 200;
        },
        configuration_bound));
    const auto violations = find_violations(whole.collect_history(calls));
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
}

Test(outage, a_wave_of_callers_that_hang_up_leaves_no_queue)
{
    cell whole(wave_cell());
    plan_service service;
    service.deadline = milliseconds{2'000};
    const auto trouble =
        start_with_plan(whole, plan_text(service), worker_count);
    cr_assert(trouble.empty(), "%s", trouble.c_str());
    cr_assert(whole.set_worker_faults(0, {{"slow_ms", 1'000}}));
    const auto calls = ask_at_once(whole, 1'000, milliseconds{400});
    cr_assert(whole.set_worker_faults(0, {{"slow_ms", 0}}));
    // No later than their deadline.
    constexpr milliseconds queue_bound{2'500};
    cr_assert(wait_until(
        [&]
        {
            return nothing_waits(whole);
        },
        queue_bound));
    cr_assert(ask(whole.instances()[0].caller_port, "after").status == 200);
    const auto violations = find_violations(whole.collect_history(calls));
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
}
