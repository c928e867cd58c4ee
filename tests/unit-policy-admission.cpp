/// @file
/// Tests of admission control and of the run time estimates it uses.
#include <pimentoshunt/policy/admission.hpp>

#include <criterion/criterion.h>

#include <random> // mt19937_64, exponential_distribution

using namespace pimentoshunt;
using policy::admission_controller;
using policy::admission_outcome;
using policy::run_time_estimator;
using std::chrono::duration_cast;

namespace
{

auto at(int ms) -> time_point
{
    return time_point(milliseconds(ms));
}

auto workload(const char* name, milliseconds declared) -> plan::workload
{
    plan::workload made;
    made.name = workload_name(name);
    made.each.slots = 1;
    made.run_time = declared;
    return made;
}

/// @brief An estimator that has observed @p count runs of @p run_time.
auto seen(const plan::workload& of, milliseconds run_time, int count = 50)
    -> run_time_estimator
{
    run_time_estimator times;
    for (int i = 0; i < count; ++i)
    {
        times.observe(of.name, run_time);
    }
    return times;
}

} // namespace

Test(run_time_estimator, uses_the_declared_time_until_enough_runs_were_seen)
{
    const auto proof = workload("proof", milliseconds(500));
    auto times = seen(proof, milliseconds(20), 4);
    cr_assert(!times.is_learned(proof.name));
    cr_assert(times.p50(proof) == milliseconds(500));
    times.observe(proof.name, milliseconds(20));
    const auto error = times.p50(proof) - milliseconds(20);
    cr_assert(times.is_learned(proof.name) && abs(error) < milliseconds(2));
}

Test(run_time_estimator, quantiles_of_a_known_distribution)
{
    std::mt19937_64 random(3);
    std::exponential_distribution<double> law(1.0 / 100.0);
    const auto proof = workload("proof", milliseconds(1));
    run_time_estimator times;
    for (int i = 0; i < 20000; ++i)
    {
        const std::chrono::duration<double, std::milli> run(law(random));
        times.observe(proof.name, duration_cast<policy::run_duration>(run));
    }
    cr_assert(times.p50(proof) > milliseconds(50));
    cr_assert(times.p50(proof) < milliseconds(95));
    cr_assert(times.p99(proof) > milliseconds(280));
    cr_assert(times.mean(proof) > milliseconds(75));
    cr_assert(times.mean(proof) < milliseconds(130));
}

Test(run_time_estimator, follows_a_change)
{
    const auto proof = workload("proof", milliseconds(1));
    auto times = seen(proof, milliseconds(20), 1000);
    for (int i = 0; i < 400; ++i)
    {
        times.observe(proof.name, milliseconds(200));
    }
    cr_assert(times.p50(proof) > milliseconds(150));
}

Test(run_time_estimator, a_run_that_goes_on_raises_the_estimate)
{
    const auto render = workload("render", milliseconds(10));
    run_time_estimator times;
    times.observe_running(render.name, milliseconds(9000));
    cr_assert(times.p50(render) == milliseconds(9000));
}

Test(admission_controller, admits_where_nothing_is_known)
{
    const auto proof = workload("proof", milliseconds(60'000));
    const run_time_estimator times;
    const auto verdict = admission_controller().judge(
        proof, at(10), {{&proof, 100000}}, 1, times, at(0));
    cr_assert(verdict.admitted());
}

Test(admission_controller, refuses_what_the_queue_makes_late)
{
    const auto proof = workload("proof", milliseconds(1));
    const auto times = seen(proof, milliseconds(20));
    const admission_controller controller;
    const auto judge = [&](int ahead)
    {
        return controller.judge(proof, at(1000), {{&proof, ahead}}, 4, times,
                                at(0));
    };
    cr_assert(judge(180).admitted());
    const auto late = judge(400);
    cr_assert(late.outcome == admission_outcome::queue_too_long);
    // 400 runs of 20 ms on 4 slots take 2 s, one second more than the deadline.
    cr_assert(late.retry_after > milliseconds(800));
    cr_assert(late.retry_after < milliseconds(1300));
}

Test(admission_controller, refuses_a_deadline_below_every_run_seen)
{
    const auto proof = workload("proof", milliseconds(1));
    const auto times = seen(proof, milliseconds(200));
    const auto verdict =
        admission_controller().judge(proof, at(20), {}, 8, times, at(0));
    cr_assert(verdict.outcome == admission_outcome::deadline_too_short);
    const auto passed =
        admission_controller().judge(proof, at(0), {}, 8, {}, at(0));
    cr_assert(!passed.admitted());
}

Test(admission_controller, a_tight_deadline_alone_refuses_nothing)
{
    std::mt19937_64 random(5);
    std::exponential_distribution<double> law(1.0 / 100.0);
    const auto proof = workload("proof", milliseconds(1));
    run_time_estimator times;
    for (int i = 0; i < 1000; ++i)
    {
        const std::chrono::duration<double, std::milli> run(law(random));
        times.observe(proof.name, duration_cast<policy::run_duration>(run));
    }
    // About one run in four takes less than 30 ms.
    const admission_controller controller;
    cr_assert(controller.judge(proof, at(30), {}, 8, times, at(0)).admitted());
    cr_assert(!controller.judge(proof, at(30), {{&proof, 8}}, 8, times, at(0))
                   .admitted());
    cr_assert(controller.latest_start(proof, at(500), times) < at(300));
    cr_assert(controller.latest_start(proof, at(500), {}) == at(500));
}

Test(admission_controller, seldom_refuses_what_would_have_made_it)
{
    std::mt19937_64 random(11);
    std::exponential_distribution<double> law(1.0 / 20.0);
    const auto proof = workload("proof", milliseconds(1));
    run_time_estimator times;
    const auto draw = [&]
    {
        const std::chrono::duration<double, std::milli> run(law(random));
        return duration_cast<policy::run_duration>(run);
    };
    for (int i = 0; i < 1000; ++i)
    {
        times.observe(proof.name, draw());
    }
    int wrong = 0;
    for (int trial = 0; trial < 1000; ++trial)
    {
        // One slot, and a queue of 40 runs that takes 800 ms on average.
        policy::run_duration wait{0};
        for (int i = 0; i < 40; ++i)
        {
            wait += draw();
        }
        const auto deadline = at(0) + wait + draw();
        const auto verdict = admission_controller().judge(
            proof, deadline, {{&proof, 40}}, 1, times, at(0));
        wrong += verdict.admitted() ? 0 : 1;
    }
    // Two standard deviations allow one wrong refusal in forty, plus the error
    // of the learned mean.
    cr_assert(wrong < 100, "%d of 1000", wrong);
}
