/// @file
/// Tombstones of jobs that were cancelled before they were stored: what writes
/// them, what they cost, and how they are removed.
#include "fakes/caller_instance.hpp"
#include "fakes/cell_fixture.hpp"

#include <pimentoshunt/cell/routed_writes.hpp>
#include <pimentoshunt/cell/tombstone_remover.hpp>

#include <criterion/criterion.h>

#include <cstddef> // size_t
#include <memory>  // make_shared, shared_ptr
#include <string>  // string, to_string
#include <vector>  // vector

using namespace pimentoshunt;
using cell::inbox_write_result;
using fakes::caller_instance;
using fakes::cell_fixture;
using fakes::fake_cell_platform;

namespace
{

constexpr int gone = 410;
constexpr int unavailable = 503;

/// Two instances and a store, without an owner.
struct tombstone_fixture
{
    boost::asio::io_context control;
    fakes::fake_cell_store store{control};
    fakes::fake_cell_pool pool;
    caller_instance first{control, store, pool};
    caller_instance second{control, store, pool};
    const job_id job{"0a"};

    auto run() -> void
    {
        control.restart();
        control.poll();
    }

    auto count_tombstones() const -> std::size_t
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < cell::parts_per_job; ++i)
        {
            const auto row = store.row(cell::job_row(job, i));
            count += !row.removed && cell::is_tombstone(row) ? 1 : 0;
        }
        return count;
    }
};

} // namespace

Test(cell_tombstones, a_cancelled_job_that_is_not_stored_gets_one_in_each_part)
{
    tombstone_fixture fixture;
    cr_assert_eq(fixture.first.ask("DELETE", fixture.job).status, gone);
    cr_assert_eq(fixture.count_tombstones(), cell::parts_per_job);
    cr_assert_eq(fixture.store.commits, 1u);
    cr_assert_eq(fixture.second.ask("GET", fixture.job).status, gone);
    cr_assert_eq(fixture.second.ask("DELETE", fixture.job).status, gone);
}

Test(cell_tombstones, a_stored_job_gets_none)
{
    tombstone_fixture fixture;
    cr_assert_eq(fixture.first.ask("POST", fixture.job).status, 200);
    cr_assert_eq(fixture.second.ask("DELETE", fixture.job).status, 200);
    cr_assert_eq(fixture.count_tombstones(), 0u);
    cr_assert_eq(fixture.second.ask("GET", fixture.job).body, "cancelled");
}

// Guards against an acknowledgement that nothing durable supports.
Test(cell_tombstones, a_cancelling_without_a_durable_tombstone_is_refused)
{
    tombstone_fixture fixture;
    fixture.store.drops_transactions = true;
    const auto unknown = fixture.first.ask("DELETE", fixture.job);
    cr_assert_eq(unknown.status, unavailable);
    cr_assert_geq(unknown.retry_after.count(), 1);
    fixture.store.drops_transactions = false;
    fixture.store.unavailable_parts.insert(cell::inbox_part_of(fixture.job, 2));
    cr_assert_eq(fixture.second.ask("DELETE", fixture.job).status, unavailable);
    fixture.store.unavailable_parts.clear();
    cr_assert_eq(fixture.second.ask("DELETE", fixture.job).status, gone);
}

Test(cell_tombstones, two_instances_may_write_them_at_the_same_time)
{
    tombstone_fixture fixture;
    const auto part = cell::inbox_part_of(fixture.job);
    for (auto* const instance : {&fixture.first, &fixture.second})
    {
        instance->platform.delay_writes_to.insert(part);
        instance->take("DELETE", fixture.job);
        fixture.run();
        cr_assert_not(instance->answer.has_value());
    }
    for (auto* const instance : {&fixture.first, &fixture.second})
    {
        instance->platform.release_writes();
        fixture.run();
        cr_assert(instance->answer.has_value());
        cr_assert_eq(instance->answer->status, gone);
    }
}

// Guards against one caller that fills the store with IDs which nobody has
// submitted.
Test(cell_tombstones, one_instance_writes_only_so_many_of_them)
{
    using limit = cell::policy::tombstone_limit;
    tombstone_fixture fixture;
    for (std::size_t i = 0; i < limit::max_tombstones; ++i)
    {
        const job_id job("f" + std::to_string(i));
        cr_assert_eq(fixture.first.ask("DELETE", job).status, gone);
    }
    const auto commits = fixture.store.commits;
    const auto refused = fixture.first.ask("DELETE", fixture.job);
    cr_assert_eq(refused.status, unavailable);
    cr_assert_geq(refused.retry_after.count(), 1);
    cr_assert_eq(fixture.store.commits, commits);
    cr_assert_eq(fixture.count_tombstones(), 0u);
    // Jobs that are stored can be cancelled all the same.
    cr_assert_eq(fixture.second.ask("POST", fixture.job).status, 200);
    cr_assert_eq(fixture.first.ask("DELETE", fixture.job).status, 200);
}

Test(cell_tombstones, the_limit_is_on_those_within_their_retention)
{
    cell::policy::tombstone_limit limit;
    const time_point now{std::chrono::hours(1)};
    cr_assert_eq(limit.retry_after(now), std::chrono::seconds(1));
    for (std::size_t i = 0; i < limit.max_tombstones; ++i)
    {
        cr_assert(limit.allows(now));
        limit.on_write(now);
    }
    cr_assert_not(limit.allows(now));
    cr_assert_eq(limit.retry_after(now), std::chrono::seconds(130));
    cr_assert_not(limit.allows(now + std::chrono::seconds(129)));
    cr_assert(limit.allows(now + std::chrono::seconds(130)));
}

namespace
{

/// A remover whose store and clock only the test moves.
struct removal_fixture : tombstone_fixture
{
    std::shared_ptr<cell::tombstone_remover<fake_cell_platform>> remover =
        std::make_shared<cell::tombstone_remover<fake_cell_platform>>(
            first.platform, milliseconds(130'000));
    time_point now{std::chrono::hours(1)};

    auto add_all() -> void
    {
        for (std::size_t i = 0; i < cell::parts_per_job; ++i)
        {
            remover->add(store.row(cell::job_row(job, i)), now);
        }
    }

    auto remove_after(std::chrono::seconds time) -> void
    {
        now += time;
        remover->remove_due(now);
        run();
    }
};

} // namespace

Test(cell_tombstones, an_expired_one_is_removed_and_its_id_can_be_used)
{
    removal_fixture fixture;
    fixture.first.ask("DELETE", fixture.job);
    fixture.add_all();
    // The feed shows rows again.
    fixture.add_all();
    fixture.remove_after(std::chrono::seconds(129));
    cr_assert_eq(fixture.count_tombstones(), cell::parts_per_job);
    fixture.remove_after(std::chrono::seconds(2));
    cr_assert_eq(fixture.count_tombstones(), 0u);
    cr_assert_eq(fixture.second.ask("POST", fixture.job).status, 200);
    fixture.remove_after(std::chrono::seconds(200));
    cr_assert_eq(fixture.second.ask("DELETE", fixture.job).status, 200);
}

Test(cell_tombstones, a_renewed_one_is_kept)
{
    removal_fixture fixture;
    fixture.first.ask("DELETE", fixture.job);
    fixture.add_all();
    fixture.now += std::chrono::seconds(100);
    cr_assert_eq(fixture.second.ask("DELETE", fixture.job).status, gone);
    fixture.add_all();
    fixture.remove_after(std::chrono::seconds(40));
    cr_assert_eq(fixture.count_tombstones(), cell::parts_per_job);
    fixture.remove_after(std::chrono::seconds(100));
    cr_assert_eq(fixture.count_tombstones(), 0u);
}

Test(cell_tombstones, a_removal_that_failed_is_tried_again)
{
    removal_fixture fixture;
    fixture.first.ask("DELETE", fixture.job);
    fixture.add_all();
    fixture.store.is_unavailable = true;
    fixture.remove_after(std::chrono::seconds(140));
    fixture.store.is_unavailable = false;
    cr_assert_eq(fixture.count_tombstones(), cell::parts_per_job);
    fixture.remove_after(std::chrono::seconds(2));
    cr_assert_eq(fixture.count_tombstones(), 0u);
}

// Guards against a new owner that takes one for a damaged job, or for a job.
Test(cell_tombstones, an_owner_starts_nothing_for_them)
{
    cell_fixture fixture;
    caller_instance instance(fixture.control, fixture.store, fixture.pool);
    const job_id job("0a");
    cr_assert_eq(instance.ask("DELETE", job).status, gone);
    auto& owner = fixture.ready_owner();
    cr_assert_not(owner.role->state_of(job).has_value());
    cr_assert_eq(owner.role->jobs().job_count(), 0u);
    const std::vector<cell::stored_row> rows{
        fixture.store.row(cell::job_row(job)),
        fixture.store.row(cell::job_row(job, 1))};
    cr_assert(cell::read_inbox(rows).jobs.empty());
    cr_assert(cell::read_inbox(rows).cancelled.empty());
}

Test(cell_tombstones, a_forwarded_write_tells_of_them)
{
    const auto result = inbox_write_result::cancelled;
    cr_assert(cell::inbox_write_result_of(cell::to_wire(result)) == result);
    for (const auto other :
         {inbox_write_result::refused, inbox_write_result::indeterminate})
    {
        cr_assert(cell::combine(result, other) == result);
        cr_assert(cell::combine(other, result) == result);
    }
    cr_assert(cell::combine(result, inbox_write_result::stored) ==
              inbox_write_result::stored);
}
