/// @file
/// An earlier owner and its successor working at the same time: the earlier one
/// does not know that it has lost the cell, and nothing it can measure shows
/// it.
#include "fakes/cell_fixture.hpp"

#include <criterion/criterion.h>

using namespace pimentoshunt;
using fakes::cell_fixture;
using fakes::simple_job;

namespace
{

/// Enough time for several scheduling passes of an owner.
constexpr milliseconds several_passes{300};

/// Delivers changes that an owner has missed, and lets it schedule.
auto deliver_changes(cell_fixture& fixture, fakes::owner_fixture& owner) -> void
{
    owner.platform.deliver_changes();
    fixture.run_for(several_passes);
}

/// Delivers the held-back lists of workers before the changes.
auto deliver_reports_and_changes(cell_fixture& fixture,
                                 fakes::owner_fixture& owner) -> void
{
    owner.platform.release_reports();
    fixture.run_for(several_passes);
    deliver_changes(fixture, owner);
}

/// Stores a job, announces it to the owner and lets it schedule. @return its
/// row
auto store_and_announce(cell_fixture& fixture, fakes::owner_fixture& owner,
                        const std::string& id) -> cell::stored_row
{
    auto row = fixture.submit(id);
    owner.role->on_inbox_row(row);
    fixture.run_for(several_passes);
    return row;
}

} // namespace

// Guards against a job that runs twice: the earlier owner ran a job that was
// stored after the takeover; its successor received the end before it knew the
// job, and ran it again.
Test(cell_two_owners, a_job_stored_after_a_takeover_runs_once)
{
    cell_fixture fixture;
    auto& earlier = fixture.ready_owner();
    auto& later = fixture.take_over();
    later.platform.delay_reports = true;
    cr_assert(fixture.loaded(later));
    store_and_announce(fixture, earlier, "0a");
    fixture.pool.end_all();
    deliver_reports_and_changes(fixture, later);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 fixture.pool.starts_of(job_id("0a")));
}

// The same while the later owner waits for a part of the store: it has read the
// inbox, and the job is stored before it has read the rest.
Test(cell_two_owners, a_job_stored_while_a_takeover_loads_runs_once)
{
    cell_fixture fixture;
    auto& earlier = fixture.ready_owner();
    fixture.store.unavailable_parts.insert(cell::progress_part(3));
    auto& later = fixture.take_over();
    fixture.run_for(several_passes);
    cr_assert(!later.role->loaded());
    store_and_announce(fixture, earlier, "0a");
    fixture.pool.end_all();
    fixture.store.unavailable_parts.clear();
    cr_assert(fixture.loaded(later));
    fixture.run_for(several_passes);
    deliver_changes(fixture, later);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 fixture.pool.starts_of(job_id("0a")));
}

// A run that is reported before its job is known must not be stopped and
// started elsewhere.
Test(cell_two_owners, a_run_reported_before_its_job_is_not_started_again)
{
    cell_fixture fixture;
    auto& earlier = fixture.ready_owner();
    auto& later = fixture.take_over();
    later.platform.delay_reports = true;
    cr_assert(fixture.loaded(later));
    const auto row = store_and_announce(fixture, earlier, "0a");
    later.platform.release_reports();
    fixture.run_for(several_passes);
    later.role->on_inbox_row(row);
    fixture.run_for(several_passes);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 fixture.pool.starts_of(job_id("0a")));
}

// An owner that has lost the cell learns of the loss from the first job that
// names a later owner (scenario wischwerk-zh pair-cancel-in-takeover, seed 1).
Test(cell_two_owners, a_job_of_a_later_owner_ends_the_earlier_one)
{
    cell_fixture fixture;
    auto& earlier = fixture.ready_owner();
    auto& later = fixture.ready_owner();
    const auto row = store_and_announce(fixture, earlier, "0a");
    cr_assert(earlier.overtaken);
    cr_assert(!later.overtaken);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 0u);
    later.role->on_inbox_row(row);
    fixture.run_for(several_passes);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u);
    cr_assert_eq(fixture.pool.started_orders.front().target.epoch, 2u);
}

// A third owner receives the runs that the second has started of the first
// one's jobs.
Test(cell_two_owners, an_inherited_job_begun_during_a_takeover_runs_once)
{
    cell_fixture fixture;
    fixture.ready_owner();
    fixture.submit("0a");
    auto& second = fixture.take_over();
    second.platform.delay_reports = true;
    cr_assert(fixture.loaded(second));
    auto& third = fixture.take_over();
    third.platform.delay_reports = true;
    cr_assert(fixture.loaded(third));
    second.platform.release_reports();
    fixture.run_for(several_passes);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u);
    fixture.pool.end_all();
    deliver_reports_and_changes(fixture, third);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u);
}

// The job is stored after the takeover, before its part is claimed.
Test(cell_two_owners, a_job_stored_before_its_part_is_taken_over_is_known)
{
    cell_fixture fixture;
    auto& earlier = fixture.ready_owner();
    const job_id job("0a");
    auto& later = fixture.take_over();
    later.platform.delay_reports = true;
    later.platform.delay_writes_to.insert(cell::job_row(job).part);
    fixture.run_for(several_passes);
    cr_assert(!later.role->loaded());
    store_and_announce(fixture, earlier, "0a");
    fixture.pool.end_all();
    later.platform.release_writes();
    cr_assert(fixture.loaded(later));
    cr_assert(later.role->state_of(job).has_value());
    deliver_reports_and_changes(fixture, later);
    cr_assert_eq(fixture.pool.starts_of(job), 1u);
}

Test(cell_two_owners, an_inherited_job_waits_for_the_worker_that_runs_it)
{
    cell_fixture fixture;
    auto& earlier = fixture.ready_owner();
    store_and_announce(fixture, earlier, "0a");
    auto& later = fixture.take_over();
    later.platform.delay_reports_of = fixture.worker_of_first_start();
    cr_assert(fixture.loaded(later));
    fixture.run_for(several_passes);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u);
}

Test(cell_two_owners, a_job_of_its_own_waits_for_no_other_worker)
{
    cell_fixture fixture;
    fixture.ready_owner();
    auto& later = fixture.take_over();
    later.platform.delay_reports_of = worker_id("w1");
    cr_assert(fixture.loaded(later));
    store_and_announce(fixture, later, "0a");
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u);
    cr_assert_eq(fixture.worker_of_first_start(), worker_id("w2"));
}

// The row was written before the takeover, its answer was lost, and it was sent
// again afterwards: it still belongs to the earlier owner.
Test(cell_two_owners, an_existing_row_is_announced_as_stored)
{
    cell_fixture fixture;
    fixture.ready_owner();
    const auto row = fixture.submit("0a");
    fixture.ready_owner();
    // The instance learns of the later owner from the conflict of another job
    // in that part.
    fixture.submit("1a");
    const auto again = fixture.submit("0a");
    cr_assert_eq(again.value, row.value);
    cr_assert_eq(again.version, row.version);
}

namespace
{

/// Stores a job in one part under the earlier owner, without an answer, and in
/// another part under the later owner.
auto store_in_two_parts(std::size_t earlier_choice, std::size_t later_choice)
    -> void
{
    cell_fixture fixture;
    auto& earlier = fixture.ready_owner();
    const job_id job("0a");
    const auto store_under = [&](std::uint64_t epoch, std::size_t choice)
    {
        const cell::inbox_job item{simple_job("0a", 1, 1'000), epoch};
        fixture.commit({},
                       {{cell::job_row(job, choice), cell::to_bytes(item)}});
    };
    store_under(1, earlier_choice);
    earlier.role->on_inbox_row(
        fixture.store.row(cell::job_row(job, earlier_choice)));
    fixture.run_for(several_passes);
    cr_assert_eq(fixture.pool.starts_of(job), 1u);
    auto& later = fixture.take_over();
    later.platform.delay_reports_of = fixture.worker_of_first_start();
    store_under(2, later_choice);
    cr_assert(fixture.loaded(later));
    fixture.run_for(several_passes);
    cr_assert_eq(fixture.pool.starts_of(job), 1u);
}

} // namespace

Test(cell_two_owners, a_job_stored_in_two_parts_runs_once)
{
    store_in_two_parts(0, 1);
    store_in_two_parts(1, 0);
}

// A lagging replica of the store may return rows from before the takeover.
Test(cell_two_owners, a_stale_read_of_a_part_is_repeated)
{
    cell_fixture fixture;
    fixture.ready_owner();
    fixture.submit("0a");
    fixture.store.stale_reads = 3;
    auto& later = fixture.take_over();
    later.platform.delay_reports = true;
    cr_assert(fixture.loaded(later));
    cr_assert_eq(fixture.store.stale_reads, 0);
    cr_assert(later.role->state_of(job_id("0a")).has_value());
}

Test(cell_two_owners, the_inbox_feed_ends_an_earlier_owner)
{
    cell_fixture fixture;
    auto& earlier = fixture.ready_owner();
    fixture.ready_owner();
    deliver_changes(fixture, earlier);
    cr_assert(earlier.overtaken);
}

Test(cell_two_owners, a_loading_owner_notices_a_later_one)
{
    cell_fixture fixture;
    fixture.ready_owner();
    auto& second = fixture.take_over();
    for (std::size_t i = 0; i < cell::inbox_parts; ++i)
    {
        second.platform.delay_writes_to.insert(cell::inbox_part(i));
    }
    fixture.run_for(several_passes);
    auto& third = fixture.take_over();
    cr_assert(fixture.loaded(third));
    second.platform.release_writes();
    fixture.run_for(several_passes);
    cr_assert(second.overtaken);
    cr_assert(!second.role->loaded());
}

namespace
{

/// Options of an owner that drops a job as soon as it has ended.
auto without_retention() -> cell::scheduler_options
{
    cell::scheduler_options out;
    out.final_state_retention = milliseconds(0);
    return out;
}

/// Runs a job until its end is durable.
auto finish_job(cell_fixture& fixture, const std::string& id) -> void
{
    auto& owner = fixture.ready_owner();
    owner.role->on_inbox_row(fixture.submit(id));
    fixture.run_for(several_passes);
    fixture.pool.end_all();
    cr_assert(fixture.run_until(
        [&]
        {
            return owner.role->state_of(job_id(id)) ==
                   cell::job_state::succeeded;
        }));
}

} // namespace

// The removals from the inbox came after the successor had read the inbox, and
// those of progress before it had read progress: the job looked new.
Test(cell_two_owners, an_overtaken_owner_removes_no_job_of_its_successor)
{
    cell_fixture fixture;
    finish_job(fixture, "0a");
    auto& earlier = fixture.take_over(without_retention());
    earlier.platform.delay_removals = true;
    cr_assert(fixture.loaded(earlier));
    fixture.run_for(several_passes);
    auto& later = fixture.take_over();
    later.platform.delay_progress_reads = true;
    fixture.run_for(several_passes);
    cr_assert(!later.role->loaded());
    earlier.platform.release_removals();
    fixture.run_for(several_passes);
    later.platform.release_progress_reads();
    cr_assert(fixture.loaded(later));
    fixture.run_for(several_passes);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 fixture.pool.starts_of(job_id("0a")));
    cr_assert(later.role->state_of(job_id("0a")) == cell::job_state::succeeded);
}

Test(cell_two_owners, an_owner_removes_old_jobs)
{
    cell_fixture fixture;
    finish_job(fixture, "0a");
    const auto rows = {cell::job_row(job_id("0a")),
                       cell::progress_row(job_id("0a"), 1, 0)};
    for (const auto& at : rows)
    {
        cr_assert(!fixture.store.row(at).removed);
    }
    auto& owner = fixture.take_over(without_retention());
    cr_assert(fixture.loaded(owner));
    fixture.run_for(several_passes);
    for (const auto& at : rows)
    {
        cr_assert(fixture.store.row(at).removed);
    }
}

// The owner has dropped the job, its removal got no answer, and the inbox is
// read again.
Test(cell_two_owners, a_forgotten_job_whose_rows_are_still_there_runs_once)
{
    cell_fixture fixture;
    finish_job(fixture, "0a");
    auto& owner = fixture.take_over(without_retention());
    owner.platform.delay_removals = true;
    cr_assert(fixture.loaded(owner));
    fixture.run_for(several_passes);
    cr_assert(!owner.role->state_of(job_id("0a")).has_value());
    fixture.store.history_gone_answers = 2;
    deliver_changes(fixture, owner);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 fixture.pool.starts_of(job_id("0a")));
}

// The store has lost the history of the inbox, which is read again: the
// cancellation is in a part that is delivered before the part of its job.
Test(cell_two_owners, a_cancellation_read_before_its_job_takes_effect)
{
    cell_fixture fixture;
    auto& owner = fixture.ready_owner();
    const job_id job("0a");
    fixture.store.unavailable_parts.insert(cell::inbox_part_of(job));
    fixture.submit("0a");
    fixture.store.unavailable_parts.clear();
    fixture.commit({}, {{cell::cancel_row(job), "1"}});
    cr_assert_lt(cell::cancel_row(job).part, fixture.announced.front().at.part);
    fixture.store.history_gone_answers = 2;
    deliver_changes(fixture, owner);
    cr_assert_eq(fixture.store.history_gone_answers, 0);
    cr_assert(owner.role->state_of(job) == cell::job_state::cancelled);
    cr_assert_eq(fixture.pool.starts_of(job), 0u);
}

// The instances that have stored the two rows announce them in any order.
Test(cell_two_owners, a_cancellation_announced_before_its_job_takes_effect)
{
    cell_fixture fixture;
    auto& owner = fixture.ready_owner();
    const job_id job("0a");
    const auto row = fixture.submit("0a");
    owner.role->on_inbox_row({cell::cancel_row(job), "1", row.version + 1});
    owner.role->on_inbox_row(row);
    fixture.run_for(several_passes);
    cr_assert(owner.role->state_of(job) == cell::job_state::cancelled);
    cr_assert_eq(fixture.pool.starts_of(job), 0u);
}

// A connection that is re-established delivers messages queued before: the job
// has been run and removed in between.
Test(cell_two_owners, a_late_announcement_of_a_removed_job_starts_nothing)
{
    cell_fixture fixture;
    finish_job(fixture, "0a");
    const auto row = fixture.announced.front();
    auto& owner = fixture.take_over(without_retention());
    cr_assert(fixture.loaded(owner));
    fixture.run_for(several_passes);
    cr_assert(fixture.store.row(row.at).removed);
    owner.role->on_inbox_row(row);
    fixture.run_for(several_passes);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 fixture.pool.starts_of(job_id("0a")));
}
