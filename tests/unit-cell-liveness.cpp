/// @file
/// Liveness of the scheduler after a time of seeded faults.
#include "fakes/faulty_cell.hpp"

#include <criterion/criterion.h>

#include <algorithm> // max
#include <cstdint>   // uint64_t
#include <cstdlib>   // getenv, strtoul
#include <string>    // string

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::faulty_cell;
using fakes::simple_job;

namespace
{

/// A number from the environment, for runs with other seeds than those of CI.
auto from_environment(const char* name, std::uint64_t otherwise)
    -> std::uint64_t
{
    const auto* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoul(text, nullptr, 10);
}

/// Runs the cell with each seed.
/// @return number of seeds with a violation
auto failed_seeds(bool crashes, bool brief_owners = false, bool limits = false)
    -> std::size_t
{
    const auto first = from_environment("LIVENESS_FIRST_SEED", 1);
    const auto count = from_environment("LIVENESS_SEEDS", 30);
    std::size_t failures = 0;
    milliseconds longest{0};
    for (auto seed = first; seed < first + count; ++seed)
    {
        faulty_cell tested(seed, crashes, brief_owners, limits);
        const auto violation = tested.run();
        longest = std::max(longest, tested.took());
        if (!violation.empty())
        {
            ++failures;
            cr_log_warn("seed %lu: %s", static_cast<unsigned long>(seed),
                        violation.c_str());
        }
    }
    cr_log_info("finished at most %ld ms after the faults",
                static_cast<long>(longest.count()));
    return failures;
}

} // namespace

// Guards against steps that wait beside free workers for good (scenario
// nokf-trykk-grown, rule LOST). Further seeds: LIVENESS_FIRST_SEED and
// LIVENESS_SEEDS.
Test(cell_liveness, all_jobs_finish_after_faults)
{
    cr_assert_eq(failed_seeds(false), 0u);
}

// The same with workers that crash, under tasks that crash each worker (rule
// BUDGET), and with capacities that change (rule LIMIT).
Test(cell_liveness, all_jobs_finish_after_crashes)
{
    cr_assert_eq(failed_seeds(true), 0u);
}

// The same while owners follow one another, most of them shorter than a lease.
Test(cell_liveness, all_jobs_finish_after_brief_owners)
{
    cr_assert_eq(failed_seeds(false, true), 0u);
}

// The same with workers that crash.
Test(cell_liveness, all_jobs_finish_after_brief_owners_and_crashes)
{
    cr_assert_eq(failed_seeds(true, true), 0u);
}

// Guards against workspaces that exceed their limits, beside takeovers and orders
// that are carried out late, and against limits that keep jobs back for good: a
// run that ended but still counts, or a wide gang behind smaller tasks.
Test(cell_liveness, limits_hold_and_all_jobs_finish)
{
    cr_assert_eq(failed_seeds(false, false, true), 0u);
}

// The same while owners follow one another and workers crash.
Test(cell_liveness, limits_hold_after_brief_owners_and_crashes)
{
    cr_assert_eq(failed_seeds(true, true, true), 0u);
}

// Guards against an ejected worker that stays out for as long as its probe may
// take, although the job of the probe was cancelled.
Test(cell_liveness, a_worker_whose_probe_was_cancelled_is_probed_again)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000, "only");
    simulation.add_worker("w2", 4'000);
    simulation.run_for(milliseconds(100));
    const auto accept = [&](const std::string& id)
    {
        auto job = simple_job(id, 1, 1'000);
        job.steps.front().required_label = "only";
        simulation.jobs().accept(job, simulation.now);
        simulation.run_for(milliseconds(100));
    };
    for (const auto* const id : {"j1", "j2"})
    {
        accept(id);
        simulation.end_run("w1", simulation.starts.back().run,
                           cell::run_end::failed);
        simulation.jobs().cancel(job_id(id), simulation.now);
        simulation.run_for(milliseconds(100));
    }
    accept("j3");
    cr_assert_eq(simulation.starts.size(), 2u, "the worker is not ejected");
    simulation.run_for(milliseconds(1'500));
    cr_assert_eq(simulation.starts.size(), 3u, "the worker is not probed");
    simulation.jobs().cancel(job_id("j3"), simulation.now);
    accept("j4");
    simulation.run_for(milliseconds(2'500));
    cr_assert_eq(simulation.starts.size(), 4u, "%zu starts",
                 simulation.starts.size());
}
