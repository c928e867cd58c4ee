/// @file
/// What callers are told of a job by an instance that asks the store.
#include "fakes/fake_cell_pool.hpp"

#include <pimentoshunt/cell/caller_desk.hpp>

#include <criterion/criterion.h>

#include <optional>
#include <string>

using namespace pimentoshunt;
using fakes::fake_cell_outside;
using fakes::fake_cell_pool;
using fakes::fake_cell_store;
using fakes::simple_job;

namespace
{

/// Callers ask for the job that the target names.
class fake_caller_outside : public fake_cell_outside
{
  public:
    using fake_cell_outside::fake_cell_outside;

    [[nodiscard]] auto read_caller(const net::server_request& request,
                                   const cell::configuration&) const
        -> cell::caller_request
    {
        cell::caller_request out;
        out.wish = cell::caller_wish::look_up;
        out.job = job_id(request.target);
        return out;
    }

    [[nodiscard]] auto state_answer(cell::job_state state) const
        -> net::server_response
    {
        return {200, cell::to_string(state)};
    }

    [[nodiscard]] auto count_answer(std::uint64_t) const -> net::server_response
    {
        return {};
    }

    [[nodiscard]] auto complaint_answer(int status,
                                        const std::string& text) const
        -> net::server_response
    {
        return {status, text};
    }
};

/// An instance that knows no owner.
struct desk_bed
{
    boost::asio::io_context control;
    fake_cell_store store{control};
    fake_cell_pool pool;
    fake_caller_outside outside{control, store, pool};
    cell::store_health health;
    cell::caller_desk<fake_caller_outside> desk{outside, control, health,
                                                alone(), 1};
    cell::configuration in_force;
    std::optional<net::server_response> out;
    const job_id job{"0a"};

    static auto alone() -> cell::caller_desk_context
    {
        cell::caller_desk_context around;
        around.owner_here = []
        {
            return false;
        };
        around.ask_owner = [](std::uint64_t, const job_id&)
        {
            return false;
        };
        return around;
    }

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

    /// As the owner does it when the job's time is over.
    auto remove_job() -> void
    {
        cell::row_transaction change;
        change.removals = {cell::job_row(job), cell::progress_row(job, 1, 0)};
        apply(change);
    }

    auto look_up() -> void
    {
        net::server_request request;
        request.target = job.str();
        desk.serve(request, &in_force,
                   [this](net::server_response answer)
                   {
                       out = std::move(answer);
                   });
        run();
    }
};

} // namespace

Test(cell_caller_desk, the_store_tells_of_jobs_while_no_owner_is_known)
{
    desk_bed bed;
    bed.look_up();
    cr_assert(bed.out.has_value());
    cr_assert_eq(bed.out->status, 410);
    bed.store_job();
    bed.look_up();
    cr_assert_eq(bed.out->status, 200);
    cr_assert_eq(bed.out->body, "queued");
    bed.store_end();
    bed.look_up();
    cr_assert_eq(bed.out->body, "succeeded");
}

// The job was removed after its row had been read and before its progress was.
Test(cell_caller_desk, a_job_that_is_being_removed_is_not_queued_again)
{
    desk_bed bed;
    bed.store_job();
    bed.store_end();
    bed.outside.hold_back_progress = true;
    bed.look_up();
    cr_assert(!bed.out.has_value());
    bed.remove_job();
    bed.outside.let_progress_pass();
    bed.run();
    cr_assert(bed.out.has_value());
    cr_assert_eq(bed.out->status, 410, "%d %s", bed.out->status,
                 bed.out->body.c_str());
}
