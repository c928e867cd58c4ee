/// @file
/// Runs the soak, real processes of a cell under injected faults, with three
/// seeds and checks the records of workers, store and callers. To run more
/// seeds by hand: build/soak --seed 1 --last_seed 50.
#include "soak/soak.hpp"

#include <criterion/criterion.h>
#include <criterion/logging.h>

namespace
{

using namespace pimentoshunt::soak;

auto has_no_violations(std::uint64_t seed) -> bool
{
    soak_options options;
    options.seed = seed;
    const auto report = run_soak(options);
    for (const auto& item : report.violations)
    {
        cr_log_error("seed %lu: %s %s: %s", static_cast<unsigned long>(seed),
                     item.rule.c_str(), item.job.c_str(), item.text.c_str());
    }
    if (!report.violations.empty())
    {
        cr_log_error("logs: %s\n%s", report.folder.c_str(),
                     report.timeline.c_str());
    }
    // A soak without takeovers would prove nothing about them.
    constexpr std::size_t min_takeovers = 4;
    return report.violations.empty() && report.takeovers >= min_takeovers;
}

} // namespace

Test(cell_soak, guarantees_hold_during_takeovers_seed_1)
{
    cr_assert(has_no_violations(1));
}

Test(cell_soak, guarantees_hold_during_takeovers_seed_2)
{
    cr_assert(has_no_violations(2));
}

Test(cell_soak, guarantees_hold_during_takeovers_seed_3)
{
    cr_assert(has_no_violations(3));
}
