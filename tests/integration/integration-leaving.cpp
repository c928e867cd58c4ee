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
/// "After a few seconds".
constexpr milliseconds leaving_grace_period{5'000};
/// The load goes on for so long after the leaving.
constexpr milliseconds load_after{7'000};

auto options_of(bool proxy_platform) -> cell_options
{
    cell_options options;
    options.instances = 3;
    options.workers_per_process = worker_count;
    options.proxy_platform = proxy_platform;
    return options;
}

auto run_load_for(milliseconds how_long) -> void
{
    const auto end = boot_clock::now() + how_long;
    const auto over = [&]
    {
        return boot_clock::now() >= end;
    };
    cr_assert(wait_until(over, how_long + milliseconds{1'000}));
}

/// Starts of one worker after a time.
auto starts_after(const run_history& run, const std::string& worker,
                  std::int64_t after_us) -> std::size_t
{
    std::size_t starts = 0;
    for (const auto& event : run.events)
    {
        const bool counts = event.kind == observed_kind::start &&
                            event.worker == worker && event.at_us > after_us;
        starts += counts ? 1 : 0;
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

/// A worker that this instance holds and that gets work; empty for none.
auto busy_worker(const cell& whole, const cell_instance& instance)
    -> std::string
{
    const auto run = whole.collect_history({});
    const auto status = status_of(instance);
    if (status.empty())
    {
        return {};
    }
    for (const auto& item : status.at("workers").as_array())
    {
        std::string id = item.at("id").as_string().c_str();
        if (!item.at("owner").as_string().empty() &&
            starts_after(run, id, 0) > 0)
        {
            return id;
        }
    }
    return {};
}

/// Waits for such a worker.
auto find_busy_worker(const cell& whole, const cell_instance& instance)
    -> std::string
{
    std::string found;
    const bool any = wait_until(
        [&]
        {
            found = busy_worker(whole, instance);
            return !found.empty();
        },
        leaving_grace_period);
    cr_assert(any, "no worker of %s gets work", instance.name.c_str());
    return found;
}

/// Whether one of the workers got work after a time, so that a load was on.
auto any_start_after(const run_history& run, std::int64_t after_us) -> bool
{
    for (const auto& event : run.events)
    {
        if (event.kind == observed_kind::start && event.at_us > after_us)
        {
            return true;
        }
    }
    return false;
}

} // namespace

Test(leaving, worker_says_so_itself_while_the_list_is_frozen)
{
    cell whole(options_of(false));
    const auto trouble = start_with_plan(whole, plan_text(), worker_count);
    cr_assert(trouble.empty(), "%s", trouble.c_str());
    balanced_callers load(whole, {});
    const auto leaving = find_busy_worker(whole, whole.instances()[1]);
    cr_assert(whole.set_platform_faults({{"freeze_list", true}}));
    cr_assert(
        whole.set_worker_faults(0, {{"worker", std::stoi(leaving.substr(1))},
                                    {"leaving", true},
                                    {"refuse_when_leaving", false}}));
    const auto left_at = now_us();
    run_load_for(load_after);
    auto run = whole.collect_history(load.stop());
    run.leaving_grace_period = leaving_grace_period;
    const auto violations = find_violations(run);
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
    cr_assert(starts_after(run, leaving, left_at + bound_us()) == 0);
    cr_assert(any_start_after(run, left_at + bound_us()));
}

Test(leaving, owner_cut_off_from_the_list_learns_of_it_from_others)
{
    cell whole(options_of(true));
    const auto trouble = start_with_plan(whole, plan_text(), worker_count);
    cr_assert(trouble.empty(), "%s", trouble.c_str());
    auto& cut_off = whole.instances()[0];
    balanced_callers load(whole, {});
    const auto leaving = find_busy_worker(whole, cut_off);
    link_faults cut;
    cut.cut = true;
    cut_off.to_platform->set_faults(cut);
    cr_assert(whole.set_platform_faults({{"list_lag_ms", 500}}));
    cr_assert(whole.set_listed_state(leaving, "leaving"));
    const auto left_at = now_us();
    run_load_for(load_after);
    const auto run = whole.collect_history(load.stop());
    const auto violations = find_violations(run);
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
    const auto late = starts_after(run, leaving, left_at + bound_us());
    cr_assert(late == 0, "%zu starts on %s after the bound", late,
              leaving.c_str());
    cr_assert(any_start_after(run, left_at + bound_us()));
}
