/// @file
/// Bounds between the clocks of an owner and of a worker.
#include <pimentoshunt/cell/policy/clock_bounds.hpp>

#include <criterion/criterion.h>

#include <chrono> // hours, microseconds, seconds

using namespace pimentoshunt;
using cell::policy::clock_bounds;

Test(policy_clock_bounds, what_one_side_grants_the_other_waits_for)
{
    for (const auto slowness : {0.0, 0.02, 0.1})
    {
        const clock_bounds clocks(slowness);
        for (milliseconds time{1}; time < std::chrono::hours(2); time *= 3)
        {
            const auto least = clocks.least_by_worker(time);
            cr_assert_leq(least.count(), time.count());
            cr_assert_geq(least.count() + clocks.uncertainty(time).count(),
                          time.count());
            cr_assert_geq(clocks.longest_by_owner(least).count(), time.count());
        }
    }
}

Test(policy_clock_bounds, fractions_are_rounded_to_the_safe_side)
{
    const clock_bounds clocks(0.02);
    cr_assert_eq(clocks.least_by_worker(std::chrono::microseconds(1'900)),
                 milliseconds(1));
    cr_assert_eq(clocks.uncertainty(milliseconds(1)), milliseconds(1));
    cr_assert_eq(clocks.longest_by_owner(milliseconds(5'000)),
                 milliseconds(5'103 + 200));
    cr_assert_eq(clocks.least_by_worker(std::chrono::seconds(75)),
                 milliseconds(73'500));
}
