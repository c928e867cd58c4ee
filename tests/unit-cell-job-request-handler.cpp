/// @file
/// Look-ups of jobs at an instance that has to ask the store, and refusals.
#include "fakes/caller_instance.hpp"

#include <criterion/criterion.h>

#include <optional>
#include <string>

using namespace pimentoshunt;
using fakes::caller_instance;
using fakes::fake_cell_pool;
using fakes::fake_cell_store;
using fakes::simple_job;

namespace
{

/// An instance and the rows that an owner would write.
struct request_handler_fixture
{
    boost::asio::io_context control;
    fake_cell_store store{control};
    fake_cell_pool pool;
    caller_instance instance{control, store, pool};
    fakes::fake_caller_platform& platform = instance.platform;
    cell::store_health& health = instance.health;
    std::optional<cell::policy::refusal>& refusal = instance.refusal;
    milliseconds& deadline = instance.deadline;
    std::optional<net::server_response>& out = instance.answer;
    const job_id job{"0a"};

    auto run() -> void
    {
        control.restart();
        control.poll();
    }

    auto apply(const cell::row_transaction& change) -> void
    {
        store.commit(change, milliseconds(100), [](const auto&) {});
        run();
    }

    auto store_job() -> void
    {
        cell::row_transaction change;
        change.writes.push_back(
            {cell::job_row(job),
             cell::to_bytes(cell::inbox_job{simple_job(job.str(), 1, 1), 1})});
        apply(change);
    }

    auto store_end() -> void
    {
        cell::job_progress progress;
        progress.id = job;
        progress.state = cell::job_state::succeeded;
        cell::row_transaction change;
        change.writes.push_back(
            {cell::progress_row(job, 1, 0), cell::to_bytes(progress)});
        apply(change);
    }

    /// Removes the job's rows, as the owner does after the retention time.
    auto remove_job() -> void
    {
        cell::row_transaction change;
        change.removals = {cell::job_row(job), cell::progress_row(job, 1, 0)};
        apply(change);
    }

    auto run_for(milliseconds time) -> void
    {
        control.restart();
        control.run_for(time);
    }

    auto look_up(const std::string& method = "GET") -> void
    {
        instance.take(method, job);
        run();
    }
};

} // namespace

Test(cell_job_request_handler,
     job_state_is_read_from_the_store_without_a_known_owner)
{
    request_handler_fixture fixture;
    fixture.look_up();
    cr_assert(fixture.out.has_value());
    cr_assert_eq(fixture.out->status, 410);
    fixture.store_job();
    fixture.look_up();
    cr_assert_eq(fixture.out->status, 200);
    cr_assert_eq(fixture.out->body, "queued");
    fixture.store_end();
    fixture.look_up();
    cr_assert_eq(fixture.out->body, "succeeded");
}

// Guards against a removed job that is reported as queued: its inbox row was
// read before the removal, its progress after it.
Test(cell_job_request_handler, a_job_that_is_being_removed_is_not_queued_again)
{
    request_handler_fixture fixture;
    fixture.store_job();
    fixture.store_end();
    fixture.platform.delay_progress_reads = true;
    fixture.look_up();
    cr_assert(!fixture.out.has_value());
    fixture.remove_job();
    fixture.platform.release_progress_reads();
    fixture.run();
    cr_assert(fixture.out.has_value());
    cr_assert_eq(fixture.out->status, 410, "%d %s", fixture.out->status,
                 fixture.out->body.c_str());
}

// Every refusal named 1 s, however long the store was away.
Test(cell_job_request_handler, a_refusal_names_a_time_as_long_as_the_outage)
{
    request_handler_fixture fixture;
    fixture.store.is_unavailable = true;
    fixture.health.record(false, boot_clock::now() - milliseconds(3'600));
    fixture.look_up();
    cr_assert(fixture.out.has_value());
    cr_assert_eq(fixture.out->status, 503);
    cr_assert_geq(fixture.out->retry_after.count(), 3);
}

// Guards against a caller that waits as long as a large row takes over a slow
// link.
Test(cell_job_request_handler, a_look_up_is_answered_while_a_read_takes_long)
{
    request_handler_fixture fixture;
    fixture.store_job();
    fixture.platform.delay_progress_reads = true;
    fixture.look_up();
    const auto limit = boot_clock::now() + milliseconds(3'000);
    while (!fixture.out && boot_clock::now() < limit)
    {
        fixture.control.restart();
        fixture.control.run_one_for(milliseconds(50));
    }
    cr_assert(fixture.out.has_value());
    cr_assert_eq(fixture.out->status, 503);
    fixture.out.reset();
    fixture.platform.release_progress_reads();
    fixture.run();
    cr_assert(!fixture.out.has_value());
}

// Guards against a refused job that runs after all: its row must not be written.
Test(cell_job_request_handler, nothing_of_a_refused_job_is_stored)
{
    request_handler_fixture fixture;
    fixture.refusal = cell::policy::refusal{true, "too large", {}};
    fixture.look_up("POST");
    cr_assert_eq(fixture.out->status, 400);
    fixture.refusal =
        cell::policy::refusal{false, "no capacity", std::chrono::seconds(7)};
    fixture.look_up("POST");
    cr_assert_eq(fixture.out->status, 503);
    cr_assert_eq(fixture.out->retry_after, std::chrono::seconds(7));
    cr_assert(fixture.store.row(cell::job_row(fixture.job)).removed);
}

// Guards against an untrue refusal: the job was stored before, and its caller
// sends it again because the answer was lost.
Test(cell_job_request_handler, a_job_that_is_stored_is_not_refused)
{
    request_handler_fixture fixture;
    fixture.store_job();
    fixture.refusal =
        cell::policy::refusal{false, "no capacity", std::chrono::seconds(7)};
    fixture.look_up("POST");
    const bool refused = fixture.out && fixture.out->status == 503 &&
                         fixture.out->retry_after == std::chrono::seconds(7);
    cr_assert_not(refused);
}

// Guards against "not accepted" for a job whose earlier write may still arrive,
// and for one that is known to be stored.
Test(cell_job_request_handler, a_job_that_may_be_stored_is_not_refused)
{
    const cell::policy::refusal refusal{false, "no capacity",
                                        std::chrono::seconds(7)};
    request_handler_fixture fixture;
    fixture.store.drops_transactions = true;
    fixture.look_up("POST");
    fixture.run_for(milliseconds(800));
    cr_assert_eq(fixture.out->status, 504);
    fixture.refusal = refusal;
    fixture.store.drops_transactions = false;
    fixture.store.is_unavailable = true;
    fixture.look_up("POST");
    cr_assert_eq(fixture.out->status, 504, "the outcome is still unknown");
    fixture.store.is_unavailable = false;
    fixture.health.record(true, boot_clock::now());
    fixture.look_up("POST");
    cr_assert_eq(fixture.out->status, 200, "%s", fixture.out->body.c_str());
    fixture.store.is_unavailable = true;
    fixture.look_up("POST");
    cr_assert_eq(fixture.out->status, 200, "it has been stored");
}

// Guards against a caller who is not answered in time because the read before a
// refusal takes long.
Test(cell_job_request_handler, a_refusal_waits_for_a_read_in_bounds)
{
    request_handler_fixture fixture;
    fixture.refusal =
        cell::policy::refusal{false, "no capacity", std::chrono::seconds(7)};
    fixture.platform.drops_reads = true;
    fixture.deadline = milliseconds(300);
    fixture.look_up("POST");
    fixture.run_for(milliseconds(250));
    cr_assert(fixture.out.has_value());
    cr_assert_eq(fixture.out->status, 504);
}
