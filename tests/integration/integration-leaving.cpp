/// @file
/// Checks that a worker which is about to leave gets no more requests after a
/// grace period, also if an instance can't read the list of instances.
#include "support/balanced_callers.hpp"
#include "support/operator_calls.hpp"
#include "support/wait_until.hpp"

#include <criterion/criterion.h>

#include <string> // string

using namespace pimentoshunt::testing;
using pimentoshunt::boot_clock;
using pimentoshunt::milliseconds;

namespace
{

constexpr std::int64_t worker_count = 8;
/// A leaving worker gets no more requests after this time.
constexpr milliseconds leaving_grace_period{5'000};
/// Duration of the load after the worker has begun to leave.
constexpr milliseconds load_after{7'000};

auto make_options(bool proxy_platform) -> cell_options
{
    cell_options options;
    options.instances = 3;
    options.workers_per_process = worker_count;
    options.proxy_platform = proxy_platform;
    return options;
}

auto run_load_for(milliseconds duration) -> void
{
    const auto end = boot_clock::now() + duration;
    const auto has_ended = [&]
    {
        return boot_clock::now() >= end;
    };
    cr_assert(wait_until(has_ended, duration + milliseconds{1'000}));
}

/// Number of starts on one worker after a time.
auto count_starts_after(const run_history& history, const std::string& worker,
                        std::int64_t after_us) -> std::size_t
{
    std::size_t starts = 0;
    for (const auto& event : history.events)
    {
        const bool is_matching_start = event.kind == observed_kind::start &&
                                       event.worker == worker &&
                                       event.at_us > after_us;
        starts += is_matching_start ? 1 : 0;
    }
    return starts;
}

auto now_us() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               boot_clock::now().time_since_epoch())
        .count();
}

auto bound_us() -> std::int64_t
{
    return std::chrono::microseconds(leaving_grace_period).count();
}

/// Returns a worker that this instance owns and that has started a request;
/// empty if there is none.
auto busy_worker(const cell& test_cell, const cell_instance& instance)
    -> std::string
{
    const auto history = test_cell.collect_history({});
    const auto status = status_of(instance);
    if (status.empty())
    {
        return {};
    }
    for (const auto& item : status.at("workers").as_array())
    {
        std::string id = item.at("id").as_string().c_str();
        if (!item.at("owner").as_string().empty() &&
            count_starts_after(history, id, 0) > 0)
        {
            return id;
        }
    }
    return {};
}

/// Waits until @ref busy_worker finds a worker, and returns it.
auto find_busy_worker(const cell& test_cell, const cell_instance& instance)
    -> std::string
{
    std::string found;
    const bool is_found = wait_until(
        [&]
        {
            found = busy_worker(test_cell, instance);
            return !found.empty();
        },
        leaving_grace_period);
    cr_assert(is_found, "no worker of %s has started a request",
              instance.name.c_str());
    return found;
}

/// Whether any worker started a request after a time; shows that there was
/// load.
auto has_start_after(const run_history& history, std::int64_t after_us) -> bool
{
    for (const auto& event : history.events)
    {
        if (event.kind == observed_kind::start && event.at_us > after_us)
        {
            return true;
        }
    }
    return false;
}

} // namespace

Test(leaving, worker_reports_leaving_while_the_list_is_frozen)
{
    cell test_cell(make_options(false));
    const auto start_error =
        start_with_plan(test_cell, plan_text(), worker_count);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    balanced_callers load(test_cell, {});
    const auto leaving = find_busy_worker(test_cell, test_cell.instances()[1]);
    cr_assert(test_cell.set_platform_faults({{"freeze_list", true}}));
    cr_assert(test_cell.set_worker_faults(
        0, {{"worker", std::stoi(leaving.substr(1))},
            {"leaving", true},
            {"refuse_when_leaving", false}}));
    const auto left_at = now_us();
    run_load_for(load_after);
    auto history = test_cell.collect_history(load.stop());
    history.leaving_grace_period = leaving_grace_period;
    const auto violations = find_violations(history);
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
    cr_assert(count_starts_after(history, leaving, left_at + bound_us()) == 0);
    cr_assert(has_start_after(history, left_at + bound_us()));
}

Test(leaving, owner_without_the_list_learns_of_leaving_from_its_peers)
{
    cell test_cell(make_options(true));
    const auto start_error =
        start_with_plan(test_cell, plan_text(), worker_count);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    auto& cut_off = test_cell.instances()[0];
    balanced_callers load(test_cell, {});
    const auto leaving = find_busy_worker(test_cell, cut_off);
    link_faults cut;
    cut.cut = true;
    cut_off.to_platform->set_faults(cut);
    cr_assert(test_cell.set_platform_faults({{"list_lag_ms", 500}}));
    cr_assert(test_cell.set_listed_state(leaving, "leaving"));
    const auto left_at = now_us();
    run_load_for(load_after);
    const auto history = test_cell.collect_history(load.stop());
    const auto violations = find_violations(history);
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
    const auto late_starts =
        count_starts_after(history, leaving, left_at + bound_us());
    cr_assert(late_starts == 0, "%zu starts on %s after the grace period",
              late_starts, leaving.c_str());
    cr_assert(has_start_after(history, left_at + bound_us()));
}
