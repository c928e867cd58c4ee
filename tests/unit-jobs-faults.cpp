/// @file
/// job_tracker under random faults, reproducible by seed: lost and late calls,
/// owners that die or are replaced, and an unavailable table.
#include "fakes/job_simulation.hpp"

#include <criterion/criterion.h>

using namespace pimentoshunt::tests;

namespace
{

auto spec_of(std::int64_t tasks, bool gang, bool idempotent) -> job_spec
{
    job_spec out;
    out.id = the_job;
    out.tasks = tasks;
    out.gang = gang;
    out.idempotent = idempotent;
    return out;
}

} // namespace

Test(jobs_faults, batch_task_never_runs_twice_at_once_and_the_job_ends)
{
    for (unsigned seed = 1; seed <= 60; ++seed)
    {
        job_simulation w(seed, spec_of(30, false, true));
        w.run_with_faults(1'000);
        cr_assert(w.run_to_end(10'000), "seed %u: the job did not end", seed);
        cr_assert(w.m_max_parallel_attempts == 1, "seed %u: %d at once", seed,
                  w.m_max_parallel_attempts);
        cr_assert(w.m_stored.state == job_state::succeeded, "seed %u", seed);
        cr_assert(w.m_successes.size() == 30, "seed %u", seed);
    }
}

Test(jobs_faults, gang_task_never_runs_twice_at_once_and_the_gang_ends)
{
    for (unsigned seed = 1; seed <= 60; ++seed)
    {
        job_simulation w(seed, spec_of(4, true, true));
        w.run_with_faults(1'000);
        cr_assert(w.run_to_end(10'000), "seed %u: the gang did not end", seed);
        cr_assert(w.m_max_parallel_attempts == 1, "seed %u: %d at once", seed,
                  w.m_max_parallel_attempts);
        cr_assert(w.m_stored.state == job_state::succeeded, "seed %u", seed);
    }
}

Test(jobs_faults, task_that_is_not_idempotent_starts_at_most_once)
{
    for (unsigned seed = 1; seed <= 60; ++seed)
    {
        job_simulation w(seed, spec_of(6, false, false));
        w.run_with_faults(1'000);
        cr_assert(w.run_to_end(10'000), "seed %u: the job did not end", seed);
        for (const auto& [task, starts] : w.m_starts)
        {
            cr_assert(starts == 1, "seed %u: task %d started %d times", seed,
                      static_cast<int>(task), starts);
        }
    }
}
