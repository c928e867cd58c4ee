/// @file
/// Writes and reads of a cell while the store fails.
#include "fakes/cell_simulation.hpp"
#include "fakes/fake_cell_store.hpp"

#include <pimentoshunt/cell/cell_loader.hpp>
#include <pimentoshunt/cell/inbox_writer.hpp>
#include <pimentoshunt/cell/roster_writer.hpp>
#include <pimentoshunt/cell/table_follower.hpp>

#include <criterion/criterion.h>

#include <optional>

using namespace pimentoshunt;
using fakes::fake_cell_store;
using fakes::simple_job;

namespace
{

/// Runs the handlers that are ready, without waiting.
auto run_ready(boost::asio::io_context& control) -> void
{
    control.restart();
    control.poll();
}

/// Runs handlers and timers until @p done, for at most five seconds.
template<class Done>
auto run_until(boost::asio::io_context& control, Done done) -> void
{
    const auto limit = boot_clock::now() + std::chrono::seconds(5);
    while (!done() && boot_clock::now() < limit)
    {
        control.restart();
        control.run_one_for(std::chrono::milliseconds(50));
    }
}

struct inbox_writer_fixture
{
    boost::asio::io_context control;
    fake_cell_store store{control};
    cell::store_health health;
    std::vector<cell::stored_row> announced;
    cell::inbox_writer<fake_cell_store> writer{
        store, control, health,
        [this](const cell::stored_row& row)
        {
            announced.push_back(row);
        }};

    auto submit(const std::string& id)
        -> std::optional<cell::inbox_write_result>
    {
        std::optional<cell::inbox_write_result> out;
        writer.submit(simple_job(id, 1, 1),
                      boot_clock::now() + std::chrono::seconds(2),
                      [&](cell::inbox_write_result result)
                      {
                          out = result;
                      });
        run_until(control,
                  [&]
                  {
                      return out.has_value();
                  });
        return out;
    }
};

} // namespace

Test(cell_store, a_job_is_stored_once_however_often_it_is_sent)
{
    inbox_writer_fixture fixture;
    cr_assert(fixture.submit("0a") == cell::inbox_write_result::stored);
    const auto first = fixture.store.row(cell::job_row(job_id("0a"))).version;
    cr_assert(fixture.submit("0a") == cell::inbox_write_result::stored);
    cr_assert_eq(fixture.store.row(cell::job_row(job_id("0a"))).version, first);
}

// While the store's feed pauses, the owner learns of a job only from the
// instance that has stored it, also if the answer to the first attempt was
// lost.
Test(cell_store, a_stored_job_is_announced_with_its_version)
{
    inbox_writer_fixture fixture;
    fixture.store.lost_answers = 1;
    cr_assert(fixture.submit("0a") == cell::inbox_write_result::stored);
    cr_assert_eq(fixture.announced.size(), 1u);
    const auto& row = fixture.announced.front();
    cr_assert_eq(row.version, fixture.store.row(row.at).version);
    const auto job = cell::read_job(row.value);
    cr_assert(job && job->id == job_id("0a"));
}

// Jobs were refused while some parts of the store were down.
Test(cell_store, a_job_goes_to_another_part_while_its_own_is_down)
{
    inbox_writer_fixture fixture;
    const job_id job("0a");
    fixture.store.unavailable_parts.insert(cell::inbox_part_of(job));
    cr_assert(fixture.submit("0a") == cell::inbox_write_result::stored);
    cr_assert_eq(fixture.store.row(cell::job_row(job)).version, 0u);
    cr_assert_gt(fixture.store.row(cell::job_row(job, 1)).version, 0u);
}

Test(cell_store, a_refused_job_is_never_stored)
{
    inbox_writer_fixture fixture;
    fixture.store.is_unavailable = true;
    cr_assert(fixture.submit("0a") == cell::inbox_write_result::refused);
    fixture.store.is_unavailable = false;
    run_ready(fixture.control);
    for (std::size_t i = 0; i < cell::parts_per_job; ++i)
    {
        cr_assert_eq(fixture.store.row(cell::job_row(job_id("0a"), i)).version,
                     0u);
    }
}

Test(cell_store, a_lost_answer_is_resolved_not_refused)
{
    inbox_writer_fixture fixture;
    fixture.store.lost_answers = 1;
    cr_assert(fixture.submit("0a") == cell::inbox_write_result::stored);
}

// Guards against a late answer: three parts were tried for 0.7 s each before
// the caller's deadline was checked, and a job was held for 3.1 s.
Test(cell_store, a_caller_is_answered_in_time_by_a_silent_store)
{
    inbox_writer_fixture fixture;
    fixture.store.drops_transactions = true;
    std::optional<cell::inbox_write_result> out;
    const auto sent_at = boot_clock::now();
    fixture.writer.submit(simple_job("0a", 1, 1), sent_at + milliseconds(300),
                          [&](cell::inbox_write_result result)
                          {
                              out = result;
                          });
    run_until(fixture.control,
              [&]
              {
                  return out.has_value();
              });
    const auto took = boot_clock::now() - sent_at;
    cr_assert(out == cell::inbox_write_result::indeterminate);
    // Less than the 700 ms timeout of a transaction, which the silent store
    // exhausts.
    cr_assert(took < milliseconds(600));
}

Test(cell_store, a_row_that_waited_too_long_is_refused_and_never_sent)
{
    inbox_writer_fixture fixture;
    fixture.store.drops_transactions = true;
    // Both are in one part: the second waits for the transaction of the first.
    std::optional<cell::inbox_write_result> second;
    const auto now = boot_clock::now();
    fixture.writer.submit(simple_job("0a", 1, 1), now + std::chrono::seconds(2),
                          [](cell::inbox_write_result) {});
    fixture.writer.submit(simple_job("1a", 1, 1), now + milliseconds(100),
                          [&](cell::inbox_write_result result)
                          {
                              second = result;
                          });
    run_until(fixture.control,
              [&]
              {
                  return second.has_value();
              });
    cr_assert(second == cell::inbox_write_result::refused);
    fixture.store.drops_transactions = false;
    run_until(fixture.control,
              [&]
              {
                  return boot_clock::now() > now + milliseconds(1'500);
              });
    for (std::size_t i = 0; i < cell::parts_per_job; ++i)
    {
        cr_assert_eq(fixture.store.row(cell::job_row(job_id("1a"), i)).version,
                     0u);
    }
}

// An owner releases the cell only if another instance can reach the store.
Test(cell_store, an_outage_for_all_differs_from_one_for_this_instance)
{
    cell::store_health health;
    const time_point began{std::chrono::hours(1)};
    health.record(true, began);
    health.record(false, began + milliseconds(100));
    const auto later = began + milliseconds(800);
    cr_assert(health.is_unavailable(later));
    // The other instance was answered before the outage only, like this one.
    cr_assert(!health.fails_only_here(began + milliseconds(50), later));
    cr_assert(!health.fails_only_here(time_point{}, later));
    cr_assert(health.fails_only_here(began + milliseconds(500), later));
    health.record(true, later);
    cr_assert(!health.fails_only_here(later, later));
}

// A feed call that hung in an outage kept an instance from a configuration for
// 2.4 s.
Test(cell_store, a_feed_polls_without_waiting_until_the_store_answers)
{
    boost::asio::io_context control;
    fake_cell_store store(control);
    typename cell::table_follower<fake_cell_store>::listener callbacks;
    callbacks.on_all_rows = [](const auto&) {};
    callbacks.on_change = [](const auto&) {};
    callbacks.on_call_ended = [](bool) {};
    const auto follower =
        std::make_shared<cell::table_follower<fake_cell_store>>(
            store, control,
            std::vector<cell::row_range>{cell::row_range{"t", "", "", ""}},
            cell::feed_timing{}, std::move(callbacks));
    store.is_unavailable = true;
    follower->follow_from(0);
    run_until(control,
              [&]
              {
                  return store.feed_waits.size() >= 2;
              });
    store.is_unavailable = false;
    const auto during = store.feed_waits.size();
    run_until(control,
              [&]
              {
                  return store.feed_waits.size() >= during + 2;
              });
    follower->stop();
    run_ready(control);
    cr_assert_gt(store.feed_waits.front().count(), 0);
    cr_assert_eq(store.feed_waits[1].count(), 0);
    cr_assert_gt(store.feed_waits.back().count(), 0);
    // A configuration has to be in force within two seconds.
    cr_assert_leq(store.feed_waits.front().count(), 1'500);
}

// Guards against lost ends: an earlier owner wrote progress after the new one
// had read it, and acknowledged ends that the new owner did not know (scenario
// wischwerk-zh trouble-2, seed 5).
Test(cell_store, an_earlier_owner_cannot_write_a_part_that_was_taken_over)
{
    boost::asio::io_context control;
    fake_cell_store store(control);
    cell::store_health health;
    std::vector<std::uint64_t> versions;
    const auto load = [&](std::uint64_t epoch)
    {
        bool loaded = false;
        std::uint64_t version = 0;
        typename cell::cell_loader<fake_cell_store>::listener callbacks;
        callbacks.loaded = [&](const cell::cell_snapshot& found)
        {
            version = found.part_versions[0];
            loaded = true;
        };
        callbacks.overtaken = [] {};
        const auto loader =
            std::make_shared<cell::cell_loader<fake_cell_store>>(
                store, control, health, epoch, std::move(callbacks));
        loader->begin();
        run_until(control,
                  [&]
                  {
                      return loaded;
                  });
        versions.push_back(version);
    };
    load(1);
    load(2);
    cell::row_transaction late;
    late.conditions.push_back({cell::part_epoch_row(0), versions[0]});
    late.writes.push_back({cell::progress_row(job_id("0a"), 1, 0), "late"});
    std::optional<cell::commit_state> state;
    store.commit(late, milliseconds(100),
                 [&](const cell::commit_result& result)
                 {
                     state = result.state;
                 });
    run_ready(control);
    cr_assert(state == cell::commit_state::conflict);
    cr_assert(cell::names_later_owner(store.row(cell::part_epoch_row(0)), 1));
    cr_assert(!cell::names_later_owner(store.row(cell::part_epoch_row(0)), 2));
}

// Guards against repeated claims: each lost answer cost the new owner another
// write, whose answer could be lost as well.
Test(cell_store, a_part_claimed_without_an_answer_is_not_claimed_again)
{
    boost::asio::io_context control;
    fake_cell_store store(control);
    cell::store_health health;
    bool loaded = false;
    typename cell::cell_loader<fake_cell_store>::listener callbacks;
    callbacks.loaded = [&](const cell::cell_snapshot& found)
    {
        loaded = true;
        cr_assert_eq(found.part_versions[0],
                     store.row(cell::part_epoch_row(0)).version);
    };
    callbacks.overtaken = [] {};
    constexpr auto parts = cell::inbox_parts + cell::progress_parts;
    store.lost_answers = parts;
    const auto loader = std::make_shared<cell::cell_loader<fake_cell_store>>(
        store, control, health, 1, std::move(callbacks));
    loader->begin();
    run_until(control,
              [&]
              {
                  return loaded;
              });
    cr_assert(loaded);
    // Versions count commits: each row was last written by one of the first.
    for (std::size_t i = 0; i < cell::progress_parts; ++i)
    {
        cr_assert_leq(store.row(cell::part_epoch_row(i)).version, parts);
    }
    cr_assert_eq(store.commits, 2 * parts);
}

Test(cell_store, loading_waits_for_a_part_that_is_down)
{
    boost::asio::io_context control;
    fake_cell_store store(control);
    cell::store_health health;
    bool loaded = false;
    typename cell::cell_loader<fake_cell_store>::listener callbacks;
    callbacks.loaded = [&](const cell::cell_snapshot&)
    {
        loaded = true;
    };
    callbacks.overtaken = [] {};
    store.unavailable_parts.insert(cell::inbox_part(3));
    const auto loader = std::make_shared<cell::cell_loader<fake_cell_store>>(
        store, control, health, 1, std::move(callbacks));
    loader->begin();
    const auto reads_failed = boot_clock::now() + milliseconds(200);
    run_until(control,
              [&]
              {
                  return boot_clock::now() > reads_failed;
              });
    cr_assert(!loaded);
    store.unavailable_parts.clear();
    run_until(control,
              [&]
              {
                  return loaded;
              });
    cr_assert(loaded);
}

Test(cell_store, progress_of_two_owners_is_merged)
{
    cell::job_progress first;
    first.id = job_id("0a");
    first.rounds.push_back({0, {{0, {1}}}, {}, {}});
    cell::job_progress second;
    second.id = job_id("0a");
    second.state = cell::job_state::running;
    second.rounds.push_back({0, {{0, {2}}, {1, {0}}}, {}, {}});
    cell::merge(first, second);
    cr_assert(first.state == cell::job_state::running);
    cr_assert_eq(first.rounds.size(), 1u);
    cr_assert_eq(first.rounds[0].done[0].size(), 2u);
    cr_assert_eq(first.rounds[0].done[1].size(), 1u);
}

Test(cell_store, stored_jobs_are_decoded_unchanged)
{
    auto job = simple_job("0a", 3, 1'500);
    job.steps[0].after = {};
    job.steps[0].keeps_checkpoints = true;
    job.queue.approval.required = true;
    job.accepted_at = cell::calendar_time(milliseconds(1'700'000'000'123));
    job.workspace = workspace_name("desk");
    const auto read = cell::read_job(cell::to_bytes(job));
    cr_assert(read.has_value());
    cr_assert_eq(read->id, job.id);
    cr_assert_eq(read->steps.size(), 1u);
    cr_assert_eq(read->steps[0].need.millicpus, 1'500);
    cr_assert(read->steps[0].keeps_checkpoints);
    cr_assert(read->queue.approval.required);
    cr_assert(read->accepted_at == job.accepted_at);
    cr_assert_eq(read->workspace, job.workspace);
    cr_assert(!cell::read_job("no job").has_value());
    cr_assert(!cell::read_progress("\xff\xff").has_value());
}

// A removal whose answer was lost conflicted with every later write: no new
// worker got a row, so that none could be given work.
Test(cell_store, a_lost_answer_to_a_removal_does_not_block_the_roster)
{
    boost::asio::io_context control;
    fake_cell_store store(control);
    cell::row_transaction takeover;
    takeover.writes.push_back({cell::epoch_row(), "1"});
    store.commit(takeover, milliseconds(100), [](const auto&) {});
    run_ready(control);
    fakes::cell_simulation simulation;
    // Only the writer under test stores the roster.
    simulation.store_answers = false;
    const auto roster = std::make_shared<cell::roster_writer<fake_cell_store>>(
        store, simulation.jobs(), store.row(cell::epoch_row()).version,
        cell::roster_writer<fake_cell_store>::listener{[] {}, [] {}});
    const auto write_until = [&](auto done)
    {
        run_until(control,
                  [&]
                  {
                      roster->write(boot_clock::now());
                      return done();
                  });
    };
    const auto has_row = [&](const char* name)
    {
        return !store.row(cell::roster_row(worker_id(name))).removed;
    };
    simulation.add_worker("w1", 4'000);
    simulation.run_for(milliseconds(200));
    write_until(
        [&]
        {
            return has_row("w1");
        });
    cr_assert(has_row("w1"));
    run_ready(control);
    store.lost_answers = 1;
    simulation.jobs().on_worker_unregistered(worker_id("w1"), simulation.now);
    write_until(
        [&]
        {
            return !has_row("w1");
        });
    cr_assert(!has_row("w1"));
    cr_assert_eq(store.lost_answers, 0);
    simulation.add_worker("w2", 4'000);
    simulation.run_for(milliseconds(200));
    write_until(
        [&]
        {
            return has_row("w2");
        });
    cr_assert(has_row("w2"));
}

Test(cell_store, a_roster_row_keeps_the_silence_of_its_worker)
{
    cell::roster_entry row;
    row.entry.id = worker_id("w1");
    row.no_orders_for = milliseconds(2'300);
    row.no_orders_epoch = 7;
    const auto read = cell::read_worker(cell::to_bytes(row));
    cr_assert(read.has_value());
    cr_assert_eq(read->no_orders_for.count(), 2'300);
    cr_assert_eq(read->no_orders_epoch, 7u);
}

// Guards against a load that never ends: over a slow link one of many pages
// failed now and then, and the range was read from its start again.
Test(cell_store, a_failed_read_continues_after_the_last_page)
{
    struct paged_store
    {
        std::vector<std::string> reads;
        std::size_t failing_read = 2;

        auto read(const cell::row_range& range, milliseconds,
                  const cell::read_handler& done) -> void
        {
            reads.push_back(range.from);
            cell::read_result out;
            if (reads.size() != failing_read)
            {
                const auto number = reads.size() < failing_read ? 1 : 2;
                out.answered = true;
                out.version = 10 + reads.size();
                out.more = number == 1;
                out.rows.push_back(
                    {{"t", "", std::to_string(number)}, "", 5, false});
            }
            done(out);
        }
    };
    paged_store store;
    const auto range =
        std::make_shared<cell::partial_range>(cell::row_range{"t", "", "", ""});
    bool complete = true;
    const auto on_end = [&](bool is_complete)
    {
        complete = is_complete;
    };
    cell::read_rest(store, range, milliseconds(1), on_end);
    cr_assert(!complete);
    cell::read_rest(store, range, milliseconds(1), on_end);
    cr_assert(complete);
    cr_assert_eq(store.reads.size(), 3u);
    cr_assert_eq(store.reads[2], store.reads[1]);
    cr_assert_eq(range->found.rows.size(), 2u);
    // The feed has to repeat the changes since the first page.
    cr_assert_eq(range->found.version, 11u);
}
