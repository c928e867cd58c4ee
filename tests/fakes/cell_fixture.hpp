/// @file
/// A cell for tests of ownership changes: a fake store, two fake workers, an
/// instance that accepts jobs, and successive owners. The owner roles and the
/// inbox writer are the real ones; all run on the test's own thread.
#pragma once

#include "fakes/fake_cell_pool.hpp"
#include "support/port_allocator.hpp"

#include <pimentoshunt/cell/inbox_writer.hpp>
#include <pimentoshunt/cell/owner_role.hpp>
#include <pimentoshunt/cell/ownership.hpp>

#include <criterion/criterion.h>

#include <memory>   // make_shared, unique_ptr
#include <optional> // optional
#include <string>   // string, to_string
#include <utility>  // move
#include <vector>   // vector

namespace pimentoshunt::fakes
{

/// One instance with its owner role, from its takeover to the fixture's end.
struct owner_fixture
{
    owner_fixture(boost::asio::io_context& control, fake_cell_store& store,
                  fake_cell_pool& pool, std::uint64_t epoch)
        : platform(control, store, pool),
          name("owner-" + std::to_string(epoch)),
          peer_links(control, instance_id(name),
                     "127.0.0.1:" + std::to_string(testing::free_port()),
                     [](const std::string&, const wire::cell_message&) {})
    {
    }

    /// Lets the owner act at any time: its ownership always counts as just
    /// confirmed, as on an instance that a pause kept from noticing a takeover.
    auto context() -> cell::owner_role_context
    {
        cell::owner_role_context out;
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
        out.load_measured = [](const cell::owner_load&) {};
        return out;
    }

    fake_cell_platform platform;
    std::string name;
    cell::store_health health;
    cell::peers peer_links;
    /// Whether the role has found a later owner in the store and has ended.
    bool overtaken = false;
    std::shared_ptr<cell::owner_role<fake_cell_platform>> role;
};

/// A fake store, the fake workers w1 and w2, an instance that writes jobs to the
/// inbox, and the owners that take over in turn.
struct cell_fixture
{
    boost::asio::io_context control;
    fake_cell_store store{control};
    fake_cell_pool pool;
    fake_cell_platform writer_platform{control, store, pool};
    cell::store_health writer_health;
    /// Stored rows that the inbox writer has announced to the owner.
    std::vector<cell::stored_row> announced;
    cell::inbox_writer<fake_cell_platform> writer{
        writer_platform, control, writer_health,
        [this](const cell::stored_row& row)
        {
            announced.push_back(row);
        }};
    /// The configuration that each owner begins with.
    cell::configuration configuration;
    /// All owners by epoch, the current one last.
    std::vector<std::unique_ptr<owner_fixture>> owners;

    cell_fixture()
    {
        for (const auto* const name : {"w1", "w2"})
        {
            commit({}, {{{store.worker_table(), "", name}, "entry"}});
            pool.add(name);
        }
    }

    ~cell_fixture()
    {
        for (const auto& owner : owners)
        {
            owner->role->end();
        }
        run_for(milliseconds(0));
    }

    /// Runs handlers and timers for @p time of real time, at least once for up
    /// to 5 ms.
    auto run_for(milliseconds time) -> void
    {
        const auto until = boot_clock::now() + time;
        do
        {
            control.restart();
            control.run_for(milliseconds(5));
        } while (boot_clock::now() < until);
    }

    /// Runs handlers until @p done holds, for at most 5 s.
    /// @return whether it holds
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

    /// Commits a transaction to the store and waits for the result.
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

    /// Writes the lease and epoch rows as a takeover does, and begins the role of
    /// the next owner. Earlier owners are not told.
    auto take_over(const cell::scheduler_options& options = {})
        -> owner_fixture&
    {
        const std::uint64_t epoch = owners.size() + 1;
        const auto row = store.row(cell::lease_row());
        const auto content =
            cell::to_bytes(cell::lease_content{epoch, "", "", 0, false, 0});
        const auto taken = commit(
            {{cell::lease_row(), row.removed ? 0 : row.version}},
            {{cell::lease_row(), content}, {cell::epoch_row(), content}});
        auto owner =
            std::make_unique<owner_fixture>(control, store, pool, epoch);
        owner->role = std::make_shared<cell::owner_role<fake_cell_platform>>(
            owner->platform, control, owner->peer_links, owner->health,
            owner->context(), epoch, taken.version, options);
        owners.push_back(std::move(owner));
        owners.back()->role->begin(configuration);
        return *owners.back();
    }

    /// Waits until the owner has loaded the cell.
    /// @return false after 5 s
    auto loaded(const owner_fixture& owner) -> bool
    {
        return run_until(
            [&]
            {
                return owner.role->loaded();
            });
    }

    /// Takes over, and waits until the new owner has loaded the cell and stored
    /// the roster up to w2, so that it may start runs on both workers.
    auto ready_owner() -> owner_fixture&
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

    /// The worker that accepted the first start order.
    auto worker_of_first_start() const -> worker_id
    {
        return pool.started_orders.front().target.worker;
    }

    /// Stores a job of one task in the inbox.
    /// @return its row as it is announced to the owner
    auto submit(const std::string& id) -> cell::stored_row
    {
        return submit(simple_job(id, 1, 1'000));
    }

    /// Stores a job in the inbox. @return its row
    auto submit(const cell::job_spec& job) -> cell::stored_row
    {
        std::optional<cell::inbox_write_result> out;
        announced.clear();
        writer.submit(job, boot_clock::now() + std::chrono::seconds(2),
                      [&](cell::inbox_write_result result)
                      {
                          out = result;
                      });
        run_until(
            [&]
            {
                return out.has_value();
            });
        cr_assert(out == cell::inbox_write_result::stored);
        return announced.front();
    }
};

} // namespace pimentoshunt::fakes
