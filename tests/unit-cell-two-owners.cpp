/// @file
/// An owner and its successor at work at the same time: the earlier one does
/// not know that it was overtaken, and nothing that it can measure tells it.
#include "fakes/cell_bed.hpp"

#include <criterion/criterion.h>

using namespace pimentoshunt;
using fakes::cell_bed;
using fakes::simple_job;

namespace
{

/// Time for several decisions of an owner.
constexpr milliseconds some_decisions{300};

/// Changes that an owner has not been told of come, and it decides.
auto tell_changes(cell_bed& bed, fakes::owner_bed& owner) -> void
{
    owner.outside.tell_changes();
    bed.run_for(some_decisions);
}

/// Lists of workers that were held back come first.
auto tell_lists_and_changes(cell_bed& bed, fakes::owner_bed& owner) -> void
{
    owner.outside.let_lists_pass();
    bed.run_for(some_decisions);
    tell_changes(bed, owner);
}

/// Stores a job and tells the owner, who decides; @return its row
auto store_for(cell_bed& bed, fakes::owner_bed& owner, const std::string& id)
    -> cell::stored_row
{
    auto row = bed.submit(id);
    owner.role->row_arrived(row);
    bed.run_for(some_decisions);
    return row;
}

} // namespace

// TWICE on nokf-trykk: the earlier owner ran a job that was stored after the
// takeover; its successor met the end before it knew the job, and ran it again.
Test(cell_two_owners, a_job_stored_after_a_takeover_runs_once)
{
    cell_bed bed;
    auto& earlier = bed.settled_owner();
    auto& later = bed.take_over();
    later.outside.hold_back_lists = true;
    cr_assert(bed.loaded(later));
    store_for(bed, earlier, "0a");
    bed.pool.end_all();
    tell_lists_and_changes(bed, later);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 bed.pool.starts_of(job_id("0a")));
}

// The same while the later owner waits for a part of the store: it has read the
// inbox, and the job comes in before it has read the rest.
Test(cell_two_owners, a_job_stored_while_a_takeover_loads_runs_once)
{
    cell_bed bed;
    auto& earlier = bed.settled_owner();
    bed.store.down.insert(cell::progress_part(3));
    auto& later = bed.take_over();
    bed.run_for(some_decisions);
    cr_assert(!later.role->loaded());
    store_for(bed, earlier, "0a");
    bed.pool.end_all();
    bed.store.down.clear();
    cr_assert(bed.loaded(later));
    bed.run_for(some_decisions);
    tell_changes(bed, later);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 bed.pool.starts_of(job_id("0a")));
}

// A run that is met before its job must not be given up and begun elsewhere.
Test(cell_two_owners, a_run_met_before_its_job_is_not_begun_again)
{
    cell_bed bed;
    auto& earlier = bed.settled_owner();
    auto& later = bed.take_over();
    later.outside.hold_back_lists = true;
    cr_assert(bed.loaded(later));
    const auto row = store_for(bed, earlier, "0a");
    later.outside.let_lists_pass();
    bed.run_for(some_decisions);
    later.role->row_arrived(row);
    bed.run_for(some_decisions);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 bed.pool.starts_of(job_id("0a")));
}

// wischwerk-zh pair-cancel-in-takeover, seed 1: an owner that is overtaken learns
// it from the first job that is not its own.
Test(cell_two_owners, a_job_of_a_later_owner_ends_the_earlier_one)
{
    cell_bed bed;
    auto& earlier = bed.settled_owner();
    auto& later = bed.settled_owner();
    const auto row = store_for(bed, earlier, "0a");
    cr_assert(earlier.overtaken);
    cr_assert(!later.overtaken);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 0u);
    later.role->row_arrived(row);
    bed.run_for(some_decisions);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u);
    cr_assert_eq(bed.pool.begun.front().target.epoch, 2u);
}

// A third owner meets what the second has begun for the first.
Test(cell_two_owners, an_inherited_job_begun_during_a_takeover_runs_once)
{
    cell_bed bed;
    bed.settled_owner();
    bed.submit("0a");
    auto& second = bed.take_over();
    second.outside.hold_back_lists = true;
    cr_assert(bed.loaded(second));
    auto& third = bed.take_over();
    third.outside.hold_back_lists = true;
    cr_assert(bed.loaded(third));
    second.outside.let_lists_pass();
    bed.run_for(some_decisions);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u);
    bed.pool.end_all();
    tell_lists_and_changes(bed, third);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u);
}

// A job may be stored after the takeover and before its part is taken over.
Test(cell_two_owners, a_job_stored_before_its_part_is_taken_over_is_known)
{
    cell_bed bed;
    auto& earlier = bed.settled_owner();
    const job_id job("0a");
    auto& later = bed.take_over();
    later.outside.hold_back_lists = true;
    later.outside.hold_back_parts.insert(cell::job_row(job).part);
    bed.run_for(some_decisions);
    cr_assert(!later.role->loaded());
    store_for(bed, earlier, "0a");
    bed.pool.end_all();
    later.outside.let_writes_pass();
    cr_assert(bed.loaded(later));
    cr_assert(later.role->state_of(job).has_value());
    tell_lists_and_changes(bed, later);
    cr_assert_eq(bed.pool.starts_of(job), 1u);
}

Test(cell_two_owners, an_inherited_job_waits_for_the_worker_that_runs_it)
{
    cell_bed bed;
    auto& earlier = bed.settled_owner();
    store_for(bed, earlier, "0a");
    auto& later = bed.take_over();
    later.outside.hold_back_worker = bed.worker_of_first_start();
    cr_assert(bed.loaded(later));
    bed.run_for(some_decisions);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u);
}

Test(cell_two_owners, a_job_of_its_own_waits_for_no_other_worker)
{
    cell_bed bed;
    bed.settled_owner();
    auto& later = bed.take_over();
    later.outside.hold_back_worker = worker_id("w1");
    cr_assert(bed.loaded(later));
    store_for(bed, later, "0a");
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u);
    cr_assert_eq(bed.worker_of_first_start(), worker_id("w2"));
}

// Its row was written before the takeover; the answer was lost, and it was sent
// again afterwards: it still belongs to the earlier owner.
Test(cell_two_owners, a_row_that_was_there_is_announced_as_it_was_stored)
{
    cell_bed bed;
    bed.settled_owner();
    const auto row = bed.submit("0a");
    bed.settled_owner();
    // The instance learns of the later owner by another job of that part.
    bed.submit("1a");
    const auto again = bed.submit("0a");
    cr_assert_eq(again.value, row.value);
    cr_assert_eq(again.version, row.version);
}

namespace
{

/// One part took it under the earlier owner, without an answer; another one under
/// the later owner.
auto store_in_two_parts(std::size_t earlier_choice, std::size_t later_choice)
    -> void
{
    cell_bed bed;
    auto& earlier = bed.settled_owner();
    const job_id job("0a");
    const auto store_under = [&](std::uint64_t epoch, std::size_t choice)
    {
        const cell::inbox_job item{simple_job("0a", 1, 1'000), epoch};
        bed.commit({}, {{cell::job_row(job, choice), cell::to_bytes(item)}});
    };
    store_under(1, earlier_choice);
    earlier.role->row_arrived(
        bed.store.row(cell::job_row(job, earlier_choice)));
    bed.run_for(some_decisions);
    cr_assert_eq(bed.pool.starts_of(job), 1u);
    auto& later = bed.take_over();
    later.outside.hold_back_worker = bed.worker_of_first_start();
    store_under(2, later_choice);
    cr_assert(bed.loaded(later));
    bed.run_for(some_decisions);
    cr_assert_eq(bed.pool.starts_of(job), 1u);
}

} // namespace

Test(cell_two_owners, a_job_that_lies_in_two_parts_runs_once)
{
    store_in_two_parts(0, 1);
    store_in_two_parts(1, 0);
}

// A lagging copy of the store may answer with rows of before the takeover.
Test(cell_two_owners, a_part_that_is_read_as_of_the_past_is_read_again)
{
    cell_bed bed;
    bed.settled_owner();
    bed.submit("0a");
    bed.store.stale_reads = 3;
    auto& later = bed.take_over();
    later.outside.hold_back_lists = true;
    cr_assert(bed.loaded(later));
    cr_assert_eq(bed.store.stale_reads, 0);
    cr_assert(later.role->state_of(job_id("0a")).has_value());
}

Test(cell_two_owners, the_feed_of_the_inbox_ends_an_earlier_owner)
{
    cell_bed bed;
    auto& earlier = bed.settled_owner();
    bed.settled_owner();
    tell_changes(bed, earlier);
    cr_assert(earlier.overtaken);
}

Test(cell_two_owners, an_owner_that_still_loads_meets_a_later_one)
{
    cell_bed bed;
    bed.settled_owner();
    auto& second = bed.take_over();
    for (std::size_t i = 0; i < cell::inbox_parts; ++i)
    {
        second.outside.hold_back_parts.insert(cell::inbox_part(i));
    }
    bed.run_for(some_decisions);
    auto& third = bed.take_over();
    cr_assert(bed.loaded(third));
    second.outside.let_writes_pass();
    bed.run_for(some_decisions);
    cr_assert(second.overtaken);
    cr_assert(!second.role->loaded());
}

namespace
{

/// An owner with these forgets a job as soon as it has ended.
auto quick_to_forget() -> cell::scheduler_options
{
    cell::scheduler_options out;
    out.final_state_retention = milliseconds(0);
    return out;
}

/// A cell in which a job has ended, and the end is durable.
auto finish_job(cell_bed& bed, const std::string& id) -> void
{
    auto& owner = bed.settled_owner();
    owner.role->row_arrived(bed.submit(id));
    bed.run_for(some_decisions);
    bed.pool.end_all();
    cr_assert(bed.run_until(
        [&]
        {
            return owner.role->state_of(job_id(id)) ==
                   cell::job_state::succeeded;
        }));
}

} // namespace

// Its removals in the inbox came after its successor had read the inbox, and
// those of progress before the successor had read progress.
Test(cell_two_owners, an_overtaken_owner_removes_no_job_of_its_successor)
{
    cell_bed bed;
    finish_job(bed, "0a");
    auto& earlier = bed.take_over(quick_to_forget());
    earlier.outside.hold_back_removals = true;
    cr_assert(bed.loaded(earlier));
    bed.run_for(some_decisions);
    auto& later = bed.take_over();
    later.outside.hold_back_progress = true;
    bed.run_for(some_decisions);
    cr_assert(!later.role->loaded());
    earlier.outside.let_removals_pass();
    bed.run_for(some_decisions);
    later.outside.let_progress_pass();
    cr_assert(bed.loaded(later));
    bed.run_for(some_decisions);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 bed.pool.starts_of(job_id("0a")));
    cr_assert(later.role->state_of(job_id("0a")) == cell::job_state::succeeded);
}

Test(cell_two_owners, an_owner_removes_old_jobs)
{
    cell_bed bed;
    finish_job(bed, "0a");
    const auto rows = {cell::job_row(job_id("0a")),
                       cell::progress_row(job_id("0a"), 1, 0)};
    for (const auto& at : rows)
    {
        cr_assert(!bed.store.row(at).removed);
    }
    auto& owner = bed.take_over(quick_to_forget());
    cr_assert(bed.loaded(owner));
    bed.run_for(some_decisions);
    for (const auto& at : rows)
    {
        cr_assert(bed.store.row(at).removed);
    }
}

// The owner had forgotten it, its removal had no answer, and the inbox was read
// anew.
Test(cell_two_owners, a_forgotten_job_whose_rows_are_still_there_runs_once)
{
    cell_bed bed;
    finish_job(bed, "0a");
    auto& owner = bed.take_over(quick_to_forget());
    owner.outside.hold_back_removals = true;
    cr_assert(bed.loaded(owner));
    bed.run_for(some_decisions);
    cr_assert(!owner.role->state_of(job_id("0a")).has_value());
    bed.store.forgotten_histories = 2;
    tell_changes(bed, owner);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 bed.pool.starts_of(job_id("0a")));
}

// The store had lost the history of the inbox, which was read anew: the
// cancellation lay in a part that was told before that of its job.
Test(cell_two_owners, a_cancellation_that_is_read_before_its_job_holds)
{
    cell_bed bed;
    auto& owner = bed.settled_owner();
    const job_id job("0a");
    bed.store.down.insert(cell::inbox_part_of(job));
    bed.submit("0a");
    bed.store.down.clear();
    bed.commit({}, {{cell::cancel_row(job), "1"}});
    cr_assert_lt(cell::cancel_row(job).part, bed.announced.front().at.part);
    bed.store.forgotten_histories = 2;
    tell_changes(bed, owner);
    cr_assert_eq(bed.store.forgotten_histories, 0);
    cr_assert(owner.role->state_of(job) == cell::job_state::cancelled);
    cr_assert_eq(bed.pool.starts_of(job), 0u);
}

// The instances that have stored the two tell the owner in any order.
Test(cell_two_owners, a_cancellation_that_is_announced_before_its_job_holds)
{
    cell_bed bed;
    auto& owner = bed.settled_owner();
    const job_id job("0a");
    const auto row = bed.submit("0a");
    owner.role->row_arrived({cell::cancel_row(job), "1", row.version + 1});
    owner.role->row_arrived(row);
    bed.run_for(some_decisions);
    cr_assert(owner.role->state_of(job) == cell::job_state::cancelled);
    cr_assert_eq(bed.pool.starts_of(job), 0u);
}

// Links keep messages until their connection stands again: the job has been run
// and removed in between.
Test(cell_two_owners, an_announcement_after_the_removal_begins_nothing)
{
    cell_bed bed;
    finish_job(bed, "0a");
    const auto row = bed.announced.front();
    auto& owner = bed.take_over(quick_to_forget());
    cr_assert(bed.loaded(owner));
    bed.run_for(some_decisions);
    cr_assert(bed.store.row(row.at).removed);
    owner.role->row_arrived(row);
    bed.run_for(some_decisions);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 bed.pool.starts_of(job_id("0a")));
}
