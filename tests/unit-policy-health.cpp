/// @file
/// Tests of the worker health checks and of the retry budget.
#include <pimentoshunt/policy/retry_budget.hpp>
#include <pimentoshunt/policy/worker_health.hpp>

#include <criterion/criterion.h>

#include <string> // to_string

using namespace pimentoshunt;
using policy::attempt_outcome;
using policy::health_change;
using policy::retry_budget;
using policy::worker_health;

namespace
{

const workload_name proofs("proofs");
const workload_name plates("plates");

auto at(int ms) -> time_point
{
    return time_point(std::chrono::hours(1) + milliseconds(ms));
}

auto worker(int number) -> worker_id
{
    return worker_id("w" + std::to_string(number));
}

auto with_workers(int count) -> worker_health
{
    worker_health health;
    for (int i = 0; i < count; ++i)
    {
        health.add(worker(i));
    }
    return health;
}

/// @brief Records one outcome per worker: @p name fails on the first @p bad
///        workers and succeeds on the others.
auto record_round(worker_health& health, int count, int bad,
                  const workload_name& name, int now) -> void
{
    for (int i = 0; i < count; ++i)
    {
        const auto outcome =
            i < bad ? attempt_outcome::failure : attempt_outcome::success;
        health.record(worker(i), name, outcome, at(now));
    }
}

} // namespace

Test(worker_health, ejects_a_worker_that_fails_everything)
{
    auto health = with_workers(6);
    for (int i = 0; i < 5; ++i)
    {
        cr_assert(!health.ejected(worker(0)));
        record_round(health, 6, 1, proofs, i);
    }
    cr_assert(health.ejected(worker(0)));
    cr_assert(health.ejected_count() == 1);
    cr_assert(!health.is_workload_faulty(proofs));
}

Test(worker_health, ejects_by_share_without_failures_in_a_row)
{
    auto health = with_workers(6);
    for (int i = 0; i < 60; ++i)
    {
        record_round(health, 6, i % 3 == 0 ? 0 : 1, proofs, i);
    }
    cr_assert(health.ejected(worker(0)));
    cr_assert(health.ejected_count() == 1);
}

// Guards against a probe that was never sent: it kept the worker ejected until
// the probe's timeout. Seen in the integration test
// workers::one_that_fails_everything_is_ejected_and_probed_back.
Test(worker_health, an_inconclusive_probe_is_followed_by_another)
{
    auto health = with_workers(6);
    for (int i = 0; i < 5; ++i)
    {
        record_round(health, 6, 1, proofs, i);
    }
    cr_assert(health.ejected(worker(0)));
    cr_assert_eq(health.take_due_probes(at(1'100)).size(), 1u);
    health.record_inconclusive(worker(0), at(1'200));
    cr_assert(health.take_due_probes(at(1'300)).empty());
    cr_assert_eq(health.take_due_probes(at(2'300)).size(), 1u);
    const auto change =
        health.record(worker(0), proofs, attempt_outcome::success, at(2'400));
    cr_assert(change == health_change::readmitted);
}

Test(worker_health, an_outage_of_everything_ejects_at_most_half)
{
    auto health = with_workers(6);
    for (int i = 0; i < 100; ++i)
    {
        record_round(health, 6, 6, proofs, i);
    }
    cr_assert(health.ejected_count() <= 3);
}

Test(worker_health, a_workload_that_fails_half_its_runs_ejects_nobody)
{
    auto health = with_workers(6);
    for (int i = 0; i < 400; ++i)
    {
        record_round(health, 6, i % 2 == 0 ? 6 : 0, proofs, i);
    }
    cr_assert(health.ejected_count() == 0);
}

Test(worker_health, probes_with_growing_delay_and_readmits)
{
    auto health = with_workers(6);
    for (int i = 0; i < 5; ++i)
    {
        record_round(health, 6, 1, proofs, 0);
    }
    cr_assert(health.take_due_probes(at(999)).empty());
    cr_assert(health.take_due_probes(at(1000)).size() == 1);
    cr_assert(health.take_due_probes(at(1001)).empty(), "one at a time");
    health.record(worker(0), proofs, attempt_outcome::failure, at(1010));
    cr_assert(health.take_due_probes(at(3009)).empty());
    cr_assert(health.take_due_probes(at(3010)).size() == 1);
    cr_assert(health.record(worker(0), proofs, attempt_outcome::success,
                            at(3020)) == health_change::readmitted);
    cr_assert(!health.ejected(worker(0)) && health.ejected_count() == 0);
}

Test(worker_health, a_lost_probe_is_repeated)
{
    auto health = with_workers(2);
    for (int i = 0; i < 5; ++i)
    {
        record_round(health, 2, 1, proofs, 0);
    }
    cr_assert(health.take_due_probes(at(1000)).size() == 1);
    cr_assert(health.take_due_probes(at(10999)).empty());
    cr_assert(health.take_due_probes(at(11000)).size() == 1);
}

Test(worker_health, success_from_before_the_ejection_does_not_readmit)
{
    auto health = with_workers(6);
    for (int i = 0; i < 5; ++i)
    {
        record_round(health, 6, 1, proofs, 0);
    }
    health.record(worker(0), proofs, attempt_outcome::success, at(1));
    cr_assert(health.ejected(worker(0)));
}

Test(worker_health, marks_a_workload_faulty_that_fails_on_good_workers)
{
    auto health = with_workers(6);
    bool is_workload_faulty = false;
    for (int i = 0; i < 20; ++i)
    {
        record_round(health, 6, 0, proofs, i);
        for (int k = 0; k < 6; ++k)
        {
            is_workload_faulty |=
                health.record(worker(k), plates, attempt_outcome::failure,
                              at(i)) == health_change::workload_faulty;
        }
    }
    cr_assert(is_workload_faulty && health.is_workload_faulty(plates) &&
              !health.is_workload_faulty(proofs));
    cr_assert(health.ejected_count() == 0);
    cr_assert(health.record(worker(1), plates, attempt_outcome::success,
                            at(30)) == health_change::workload_recovered);
    cr_assert(!health.is_workload_faulty(plates));
}

Test(worker_health, removal_leaves_no_trace)
{
    auto health = with_workers(3);
    for (int i = 0; i < 5; ++i)
    {
        record_round(health, 3, 1, proofs, 0);
    }
    cr_assert(health.ejected_count() == 1);
    health.remove(worker(0));
    health.remove(worker(0));
    cr_assert(health.ejected_count() == 0 && !health.ejected(worker(0)));
    cr_assert(health.take_due_probes(at(5000)).empty());
}

Test(retry_budget, an_outage_allows_a_tenth_and_what_was_saved)
{
    retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.first_try(proofs);
        while (budget.try_retry(proofs))
        {
            ++retries;
        }
    }
    cr_assert(retries >= 100 && retries <= 110);
    cr_assert(budget.try_retry(plates), "a budget of its own");
}
