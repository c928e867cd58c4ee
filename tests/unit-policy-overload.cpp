/// @file
/// Tests of the selection under overload: replays of the loads that it answers,
/// and decisions on single backlogs.
#include "../bench/support/overload_replay.hpp"

#include <criterion/criterion.h>

#include <vector> // vector

using namespace pimentoshunt;
using namespace pimentoshunt::bench;
using cell::policy::backlog_job;
using cell::policy::lateness_class;
using cell::policy::overload_selection;

namespace
{

constexpr time_point start{std::chrono::seconds(1'000)};

/// Mean over some seeds.
struct mean_result
{
    double value = 0;
    double today = 0;
    double served = 0;
    double largest_served = 0;
};

auto replay(const load_description& load, std::size_t kind) -> mean_result
{
    constexpr unsigned seeds = 3;
    mean_result out;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        overload_replay one(load, seed);
        const auto bound = seeds * one.bound();
        const auto chosen = summarize(one.run(order_rule::selection));
        out.value += chosen.value / bound;
        out.served += chosen.served.at(kind) / seeds;
        out.largest_served += chosen.largest_served.at(kind) / seeds;
        overload_replay other(load, seed);
        out.today +=
            summarize(other.run(order_rule::latest_start)).value / bound;
    }
    return out;
}

auto job(std::uint64_t arrival, double work, std::chrono::seconds due)
    -> backlog_job
{
    backlog_job out;
    out.arrival = arrival;
    out.work = work;
    out.due = start + due;
    out.worthless_at = start + 3 * due;
    return out;
}

} // namespace

// Guards against spending the capacity on whatever is about to be late, so that
// everything becomes late.
Test(policy_overload, twice_the_load_reaches_nine_tenths_of_the_bound)
{
    auto load = checks_and_reports(2.0);
    load.bursts.clear();
    load.pause_end = load.pause_begin;
    const auto found = replay(load, 1);
    cr_assert_geq(found.value, 0.9, "%f", found.value);
    cr_assert_geq(found.value, found.today + 0.1, "%f", found.today);
}

// Guards against a selection that only pays under a steady load.
Test(policy_overload, bursts_and_a_pause_cost_less_than_in_the_order_of_starts)
{
    for (const double factor : {1.0, 1.3, 2.0})
    {
        const auto found = replay(checks_and_reports(factor), 1);
        cr_assert_geq(found.value, found.today + 0.08, "%f: %f, %f", factor,
                      found.value, found.today);
    }
}

// Guards against a selection that trusts estimates, and delays what would have
// been in time, when they are far off.
Test(policy_overload, estimates_that_are_far_off_do_no_harm)
{
    for (const double factor : {0.8, 1.0, 1.3, 2.0})
    {
        const auto found = replay(uneven_settlements(factor), 1);
        cr_assert_geq(found.value, found.today - 0.01, "%f: %f, %f", factor,
                      found.value, found.today);
    }
}

// Guards against serving small jobs only: they are worth more per unit of work.
Test(policy_overload, the_largest_jobs_do_not_starve)
{
    const auto found = replay(checks_and_reports(2.0), 1);
    cr_assert_geq(found.largest_served, 0.5 * found.served, "%f, %f",
                  found.largest_served, found.served);
}

// Guards against a change of the order while there is room for all.
Test(policy_overload, nothing_is_delayed_while_all_fits)
{
    overload_selection selection;
    std::vector<backlog_job> jobs{job(1, 2, std::chrono::seconds(10)),
                                  job(2, 2, std::chrono::seconds(10))};
    const auto found = selection.select(jobs, start);
    cr_assert_not(selection.is_short());
    cr_assert_eq(found.chosen, 2);
}

// Guards against delaying the more valuable job, or the one that has begun.
Test(policy_overload, the_least_value_per_work_is_delayed)
{
    overload_selection selection;
    std::vector<backlog_job> jobs{job(1, 1, std::chrono::seconds(10)),
                                  job(2, 5, std::chrono::seconds(10)),
                                  job(3, 3, std::chrono::seconds(10))};
    jobs[0].under_way = true;
    const auto found = selection.select(jobs, start);
    cr_assert(selection.is_short());
    cr_assert_eq(jobs[0].lateness, lateness_class::under_way);
    cr_assert_eq(jobs[1].lateness, lateness_class::delayed);
    cr_assert_eq(found.delayed, 1);
}

// Guards against an order that changes back and forth at the limit.
Test(policy_overload, a_service_stays_short_until_its_backlog_is_well_below)
{
    overload_selection selection;
    std::vector<backlog_job> jobs{job(1, 8, std::chrono::seconds(10)),
                                  job(2, 1, std::chrono::seconds(10))};
    selection.select(jobs, start);
    cr_assert(selection.is_short());
    jobs[0].work = 7;
    selection.select(jobs, start + milliseconds(50));
    cr_assert(selection.is_short());
    jobs[0].work = 1;
    selection.select(jobs, start + milliseconds(100));
    cr_assert(selection.is_short());
    selection.select(jobs, start + milliseconds(1'200));
    cr_assert_not(selection.is_short());
}
