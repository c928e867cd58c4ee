/// @file
/// An owner and its successor at work at the same time: the earlier one does
/// not know that it was overtaken, and nothing that it can measure tells it.
#include "fakes/fake_cell_pool.hpp"
#include "support/port_allocator.hpp"

#include <pimentoshunt/cell/intake.hpp>
#include <pimentoshunt/cell/owner_role.hpp>
#include <pimentoshunt/cell/ownership.hpp>

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>

using namespace pimentoshunt;
using fakes::fake_cell_outside;
using fakes::fake_cell_pool;
using fakes::fake_cell_store;
using fakes::simple_job;

namespace
{

/// One instance while it owns the cell.
struct owner_bed
{
    owner_bed(boost::asio::io_context& control, fake_cell_store& store,
              fake_cell_pool& pool, std::uint64_t epoch)
        : outside(control, store, pool), name("owner-" + std::to_string(epoch)),
          others(control, instance_id(name),
                 "127.0.0.1:" + std::to_string(testing::free_port()),
                 [](const std::string&, const wire::cell_message&) {})
    {
    }

    /// Its clock may have stood still: a confirmation never seems old.
    auto context() -> cell::owner_context
    {
        cell::owner_context out;
        out.self = name;
        out.may_act = []
        {
            return true;
        };
        out.confirmed_at = []
        {
            return boot_clock::now();
        };
        out.overtaken = [this]
        {
            overtaken = true;
            role->end();
        };
        out.calendar = []
        {
            return cell::calendar_time{};
        };
        out.counted = [](const cell::scheduler_counts&) {};
        return out;
    }

    fake_cell_outside outside;
    std::string name;
    cell::store_health health;
    cell::peers others;
    bool overtaken = false;
    std::shared_ptr<cell::owner_role<fake_cell_outside>> role;
};

/// A store and two workers, an instance that takes jobs in, and owners.
struct cell_bed
{
    boost::asio::io_context control;
    fake_cell_store store{control};
    fake_cell_pool pool;
    fake_cell_outside entry_outside{control, store, pool};
    cell::store_health entry_health;
    std::vector<cell::stored_row> announced;
    cell::intake<fake_cell_outside> entry{entry_outside, control, entry_health,
                                          [this](const cell::stored_row& row)
                                          {
                                              announced.push_back(row);
                                          }};
    std::vector<std::unique_ptr<owner_bed>> owners;

    cell_bed()
    {
        for (const auto* const name : {"w1", "w2"})
        {
            commit({}, {{{store.worker_table(), "", name}, "entry"}});
            pool.add(name);
        }
    }

    ~cell_bed()
    {
        for (const auto& owner : owners)
        {
            owner->role->end();
        }
        run_for(milliseconds(0));
    }

    /// A part of the time that an owner may take for a step; timers run.
    auto run_for(milliseconds time) -> void
    {
        const auto until = boot_clock::now() + time;
        do
        {
            control.restart();
            control.run_for(milliseconds(5));
        } while (boot_clock::now() < until);
    }

    template<class Done>
    auto run_until(Done done) -> bool
    {
        const auto limit = boot_clock::now() + std::chrono::seconds(5);
        while (!done() && boot_clock::now() < limit)
        {
            run_for(milliseconds(0));
        }
        return done();
    }

    auto commit(std::vector<cell::row_condition> conditions,
                std::vector<cell::row_write> writes) -> cell::commit_result
    {
        std::optional<cell::commit_result> out;
        cell::row_transaction transaction;
        transaction.conditions = std::move(conditions);
        transaction.writes = std::move(writes);
        store.commit(transaction, milliseconds(100),
                     [&](const cell::commit_result& result)
                     {
                         out = result;
                     });
        run_until(
            [&]
            {
                return out.has_value();
            });
        return *out;
    }

    /// The takeover's transaction, and the role that follows it.
    auto take_over(const cell::scheduler_options& options = {}) -> owner_bed&
    {
        const std::uint64_t epoch = owners.size() + 1;
        const auto row = store.row(cell::lease_row());
        const auto content =
            cell::to_bytes(cell::lease_content{epoch, "", "", 0, false, 0});
        const auto taken = commit(
            {{cell::lease_row(), row.removed ? 0 : row.version}},
            {{cell::lease_row(), content}, {cell::epoch_row(), content}});
        auto owner = std::make_unique<owner_bed>(control, store, pool, epoch);
        owner->role = std::make_shared<cell::owner_role<fake_cell_outside>>(
            owner->outside, control, owner->others, owner->health,
            owner->context(), epoch, taken.version, options);
        owners.push_back(std::move(owner));
        owners.back()->role->begin(cell::configuration{});
        return *owners.back();
    }

    auto loaded(const owner_bed& owner) -> bool
    {
        return run_until(
            [&]
            {
                return owner.role->loaded();
            });
    }

    /// An owner that may give work to all workers.
    auto settled_owner() -> owner_bed&
    {
        auto& owner = take_over();
        cr_assert(loaded(owner));
        cr_assert(run_until(
            [&]
            {
                return store.row(cell::roster_row(worker_id("w2"))).version > 0;
            }));
        return owner;
    }

    /// Stores a job; @return its row as the owner is told of it.
    auto submit(const std::string& id) -> cell::stored_row
    {
        std::optional<cell::intake_result> out;
        announced.clear();
        entry.submit(simple_job(id, 1, 1'000),
                     boot_clock::now() + std::chrono::seconds(2),
                     [&](cell::intake_result result)
                     {
                         out = result;
                     });
        run_until(
            [&]
            {
                return out.has_value();
            });
        cr_assert(out == cell::intake_result::stored);
        return announced.front();
    }
};

/// Time for several decisions of an owner.
constexpr milliseconds some_decisions{300};

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
    const auto row = bed.submit("0a");
    earlier.role->row_arrived(row);
    bed.run_for(some_decisions);
    bed.pool.end_all();
    later.outside.let_lists_pass();
    bed.run_for(some_decisions);
    later.outside.tell_changes();
    bed.run_for(some_decisions);
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
    const auto row = bed.submit("0a");
    earlier.role->row_arrived(row);
    bed.run_for(some_decisions);
    bed.pool.end_all();
    bed.store.down.clear();
    cr_assert(bed.loaded(later));
    bed.run_for(some_decisions);
    later.outside.tell_changes();
    bed.run_for(some_decisions);
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
    const auto row = bed.submit("0a");
    earlier.role->row_arrived(row);
    bed.run_for(some_decisions);
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
    const auto row = bed.submit("0a");
    earlier.role->row_arrived(row);
    bed.run_for(some_decisions);
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
    third.outside.let_lists_pass();
    bed.run_for(some_decisions);
    third.outside.tell_changes();
    bed.run_for(some_decisions);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u);
}

// Its row was written before the takeover; the answer was lost, and it was sent
// again afterwards.
Test(cell_two_owners, a_job_sent_again_after_a_takeover_runs_once)
{
    cell_bed bed;
    auto& earlier = bed.settled_owner();
    const auto row = bed.submit("0a");
    auto& later = bed.take_over();
    later.outside.hold_back_lists = true;
    cr_assert(bed.loaded(later));
    earlier.role->row_arrived(row);
    bed.run_for(some_decisions);
    bed.pool.end_all();
    const auto again = bed.submit("0a");
    cr_assert_eq(again.value, row.value);
    later.role->row_arrived(again);
    bed.run_for(some_decisions);
    later.outside.let_lists_pass();
    bed.run_for(some_decisions);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u);
}

// One part took it under the earlier owner, without an answer; another one under
// the later owner.
Test(cell_two_owners, a_job_that_lies_in_two_parts_runs_once)
{
    cell_bed bed;
    auto& earlier = bed.settled_owner();
    const job_id job("0a");
    const auto row = bed.submit("0a");
    bed.store.down.insert(cell::progress_part(3));
    auto& later = bed.take_over();
    bed.run_for(some_decisions);
    bed.commit(
        {}, {{cell::job_row(job, 1),
              cell::to_bytes(cell::inbox_job{simple_job("0a", 1, 1'000), 2})}});
    earlier.role->row_arrived(row);
    bed.run_for(some_decisions);
    bed.pool.end_all();
    later.outside.hold_back_lists = true;
    bed.store.down.clear();
    cr_assert(bed.loaded(later));
    bed.run_for(some_decisions);
    later.outside.let_lists_pass();
    bed.run_for(some_decisions);
    cr_assert_eq(bed.pool.starts_of(job), 1u);
}

// A lagging copy of the store may answer with rows of before the takeover.
Test(cell_two_owners, a_part_that_is_read_as_of_the_past_is_read_again)
{
    cell_bed bed;
    auto& earlier = bed.settled_owner();
    const auto row = bed.submit("0a");
    bed.store.stale_reads = 3;
    auto& later = bed.take_over();
    later.outside.hold_back_lists = true;
    cr_assert(bed.loaded(later));
    cr_assert_eq(bed.store.stale_reads, 0);
    earlier.role->row_arrived(row);
    bed.run_for(some_decisions);
    bed.pool.end_all();
    later.outside.let_lists_pass();
    bed.run_for(some_decisions);
    later.outside.tell_changes();
    bed.run_for(some_decisions);
    cr_assert_eq(bed.pool.starts_of(job_id("0a")), 1u);
}

namespace
{

/// An owner with these forgets a job as soon as it has ended.
auto quick_to_forget() -> cell::scheduler_options
{
    cell::scheduler_options out;
    out.keep_final = milliseconds(0);
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
    owner.outside.tell_changes();
    bed.run_for(some_decisions);
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
