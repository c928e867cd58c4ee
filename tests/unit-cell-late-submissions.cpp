/// @file
/// Submissions that reach the store, or an instance, after their caller has given
/// the job up and its cancelling was answered.
#include "fakes/caller_instance.hpp"
#include "fakes/cell_fixture.hpp"

#include <criterion/criterion.h>

#include <cstddef> // size_t
#include <string>  // string, to_string

using namespace pimentoshunt;
using fakes::caller_instance;
using fakes::cell_fixture;

namespace
{

constexpr milliseconds several_passes{100};
constexpr int gone = 410;
constexpr int no_answer = 504;

/// A cell with two instances that take requests.
struct late_submission_fixture
{
    cell_fixture cell;
    caller_instance first{cell.control, cell.store, cell.pool};
    caller_instance second{cell.control, cell.store, cell.pool};
    fakes::owner_fixture& owner = cell.ready_owner();
    const job_id job{"0a"};

    /// The store holds back what the instance sends, so that the caller does not
    /// learn the outcome.
    auto submit_without_answer(caller_instance& at) -> void
    {
        cell.store.holds_transactions = true;
        cr_assert_eq(at.ask("POST", job).status, no_answer);
        cell.store.holds_transactions = false;
    }

    /// What was held back takes effect, and the owner learns of it.
    auto apply_late() -> void
    {
        cell.store.apply_held();
        for (int i = 0; i < 3; ++i)
        {
            owner.platform.deliver_changes();
            cell.run_for(several_passes);
        }
    }

    auto check_that_nothing_starts() -> void
    {
        cr_assert_eq(cell.pool.starts_of(job), 0u);
        cr_assert_eq(first.ask("GET", job).status, gone);
        cr_assert_eq(second.ask("GET", job).status, gone);
    }

    /// An earlier job, so that the instance knows the owner of each part.
    auto warm_up(caller_instance& at) -> void
    {
        for (std::size_t i = 0; i < cell::inbox_parts; ++i)
        {
            const job_id other("1" + std::to_string(i));
            cr_assert_eq(at.ask("POST", other).status, 200);
        }
    }

    /// @param cancels_at  where the caller cancels the job
    auto check_that_a_late_write_is_kept_out(caller_instance& cancels_at)
        -> void
    {
        warm_up(first);
        submit_without_answer(first);
        cr_assert_eq(cancels_at.ask("DELETE", job).status, gone);
        apply_late();
        check_that_nothing_starts();
    }
};

} // namespace

// Guards against a job that starts after its caller was told that there is no such
// job: the transaction of its submission took effect seconds late.
Test(cell_late_submissions, a_late_write_after_the_cancelling_starts_nothing)
{
    late_submission_fixture fixture;
    fixture.check_that_a_late_write_is_kept_out(fixture.first);
}

// The same with a caller that cancels at an instance which has never seen the job.
Test(cell_late_submissions, another_instance_keeps_a_late_write_out_as_well)
{
    late_submission_fixture fixture;
    fixture.check_that_a_late_write_is_kept_out(fixture.second);
}

// The submission was sent to several parts, of which one takes the write late.
Test(cell_late_submissions, a_late_write_to_any_part_is_kept_out)
{
    for (std::size_t i = 0; i < cell::parts_per_job; ++i)
    {
        late_submission_fixture fixture;
        fixture.warm_up(fixture.first);
        for (std::size_t other = 0; other < i; ++other)
        {
            fixture.cell.store.unavailable_parts.insert(
                cell::inbox_part_of(fixture.job, other));
        }
        fixture.submit_without_answer(fixture.first);
        fixture.cell.store.unavailable_parts.clear();
        cr_assert_eq(fixture.second.ask("DELETE", fixture.job).status, gone);
        fixture.apply_late();
        fixture.check_that_nothing_starts();
    }
}

// An instance was paused with the request, or the network has repeated it.
Test(cell_late_submissions, a_request_that_arrives_after_the_cancelling_is_told)
{
    late_submission_fixture fixture;
    cr_assert_eq(fixture.first.ask("DELETE", fixture.job).status, gone);
    const auto answer = fixture.second.ask("POST", fixture.job);
    cr_assert_eq(answer.status, gone);
    cr_assert(answer.body.find("another ID") != std::string::npos, "%s",
              answer.body.c_str());
    fixture.apply_late();
    fixture.check_that_nothing_starts();
}

// What the cancelling has left behind outlives owners and instances.
Test(cell_late_submissions, a_late_write_is_kept_out_under_a_later_owner)
{
    late_submission_fixture fixture;
    fixture.warm_up(fixture.first);
    fixture.submit_without_answer(fixture.first);
    cr_assert_eq(fixture.second.ask("DELETE", fixture.job).status, gone);
    auto& later = fixture.cell.take_over();
    cr_assert(fixture.cell.loaded(later));
    fixture.apply_late();
    later.platform.deliver_changes();
    fixture.cell.run_for(several_passes);
    fixture.check_that_nothing_starts();
    cr_assert_not(later.role->state_of(fixture.job).has_value());
}

// Guards against an instance that denies a job which it may have submitted itself.
Test(cell_late_submissions, a_look_up_denies_no_job_whose_outcome_is_open)
{
    late_submission_fixture fixture;
    fixture.warm_up(fixture.first);
    fixture.submit_without_answer(fixture.first);
    const auto open = fixture.first.ask("GET", fixture.job);
    cr_assert_eq(open.status, 503);
    cr_assert_geq(open.retry_after.count(), 1);
    fixture.apply_late();
    cr_assert_eq(fixture.first.ask("GET", fixture.job).status, 200);
}

Test(cell_late_submissions, an_open_outcome_is_settled_by_time_or_a_cancelling)
{
    cell::policy::uncertain_writes writes;
    const job_id job("0a");
    const time_point now{std::chrono::hours(1)};
    cr_assert_not(writes.may_arrive(job, now));
    writes.add(job, now);
    cr_assert(writes.may_arrive(job, now + milliseconds(9'999)));
    cr_assert_not(writes.may_arrive(job, now + milliseconds(10'000)));
    cr_assert(writes.contains(job));
    writes.settle(job);
    cr_assert_not(writes.contains(job));
}

// The write takes effect between the read and the answer.
Test(cell_late_submissions, a_job_that_is_stored_meanwhile_is_cancelled)
{
    late_submission_fixture fixture;
    fixture.warm_up(fixture.first);
    fixture.submit_without_answer(fixture.first);
    auto& platform = fixture.second.platform;
    platform.delay_writes_to.insert(cell::inbox_part_of(fixture.job));
    fixture.second.take("DELETE", fixture.job);
    fixture.cell.run_for(several_passes);
    cr_assert_not(fixture.second.answer.has_value());
    fixture.apply_late();
    platform.release_writes();
    fixture.cell.run_for(several_passes);
    cr_assert(fixture.second.answer.has_value());
    cr_assert_eq(fixture.second.answer->status, 200);
    fixture.apply_late();
    cr_assert(fixture.owner.role->state_of(fixture.job) ==
              cell::job_state::cancelled);
}
