/// @file
/// One instance that takes over the cell, owns it and releases it.
#include "fakes/cell_fixture.hpp"

#include <pimentoshunt/cell/instance.hpp>

#include <criterion/criterion.h>

using namespace pimentoshunt;
using fakes::cell_fixture;
using fakes::fake_cell_platform;

namespace
{

/// Ignores callers; the value of the configuration row is its version.
struct instance_platform : fake_cell_platform
{
    using fake_cell_platform::fake_cell_platform;

    auto read_configuration(const cell::stored_row& row) const
        -> std::optional<cell::configuration>
    {
        cell::configuration out;
        out.version = std::stoull(row.value);
        return out;
    }

    auto read_caller(const net::server_request&,
                     const cell::configuration&) const -> cell::caller_request
    {
        return {};
    }

    auto state_answer(cell::job_state) const -> net::server_response
    {
        return {};
    }

    auto count_answer(std::uint64_t) const -> net::server_response
    {
        return {};
    }

    auto error_answer(int status, const std::string&) const
        -> net::server_response
    {
        return {status, ""};
    }

    auto configuration_row() const -> cell::row_key
    {
        return {"op", "", "config"};
    }
};

auto options() -> cell::instance_options
{
    cell::instance_options out;
    out.name = instance_id("a");
    out.peer_address = "127.0.0.1:" + std::to_string(testing::free_port());
    out.incarnation = 7;
    out.on_configuration = [](const cell::configuration&) {};
    out.counted = [](const cell::scheduler_counts&) {};
    out.load_measured = [](const cell::owner_load&, milliseconds) {};
    return out;
}

constexpr milliseconds several_passes{300};

} // namespace

// Guards against a second role of one epoch: a configuration arrives while a
// release has no answer yet, and the second role starts the jobs of the first
// one again.
Test(cell_instance, a_configuration_during_a_release_begins_no_second_role)
{
    cell_fixture fixture;
    instance_platform platform{fixture.control, fixture.store, fixture.pool};
    const auto configuration = platform.configuration_row();
    fixture.commit({}, {{configuration, "1"}});
    cell::instance<instance_platform> one(platform, fixture.control, options());
    one.start();
    cr_assert(fixture.run_until(
        [&]
        {
            return fixture.store.row(cell::roster_row(worker_id("w2")))
                       .version > 0;
        }));
    fixture.submit("0a");
    platform.deliver_changes();
    fixture.run_for(several_passes);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u);
    fixture.store.drops_transactions = true;
    one.release_ownership();
    cr_assert(fixture.run_until(
        [&]
        {
            return one.role() == nullptr;
        }));
    fixture.store.drops_transactions = false;
    fixture.commit({}, {{configuration, "2"}});
    platform.delay_reports_of = fixture.worker_of_first_start();
    platform.deliver_changes();
    fixture.run_for(several_passes);
    one.stop();
    fixture.run_for(milliseconds(20));
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 1u, "%zu starts",
                 fixture.pool.starts_of(job_id("0a")));
}

// The store counts each row as a condition and as a write, and allows 100
// entries.
Test(cell_instance, a_transaction_stays_within_the_limit_of_the_store)
{
    struct counting_platform : fake_cell_platform
    {
        using fake_cell_platform::fake_cell_platform;
        std::size_t most = 0;

        auto commit(const cell::row_transaction& transaction,
                    milliseconds limit, cell::commit_handler done) -> void
        {
            most = std::max(most, transaction.conditions.size() +
                                      transaction.writes.size() +
                                      transaction.removals.size());
            fake_cell_platform::commit(transaction, limit, std::move(done));
        }
    };
    constexpr std::size_t most_entries = 100;
    constexpr int waiting_jobs = 200;
    cell_fixture fixture;
    counting_platform platform{fixture.control, fixture.store, fixture.pool};
    cell::store_health health;
    int stored = 0;
    cell::inbox_writer<counting_platform> entry{
        platform, fixture.control, health, [](const cell::stored_row&) {}};
    for (int i = 0; i < waiting_jobs; ++i)
    {
        entry.submit(fakes::simple_job(std::to_string(i) + "a", 1, 1'000),
                     boot_clock::now() + std::chrono::seconds(2),
                     [&](cell::inbox_write_result result)
                     {
                         stored +=
                             result == cell::inbox_write_result::stored ? 1 : 0;
                     });
    }
    cr_assert(fixture.run_until(
        [&]
        {
            return stored == waiting_jobs;
        }));
    cr_assert_leq(platform.most, most_entries, "%zu entries", platform.most);
}

namespace
{

/// Reads each request as a query for a queue's number of pending jobs.
struct counting_callers : instance_platform
{
    using instance_platform::instance_platform;
    cell::queue_route route;

    auto read_caller(const net::server_request&,
                     const cell::configuration&) const -> cell::caller_request
    {
        cell::caller_request out;
        out.request_kind = cell::caller_request_kind::count;
        out.route = &route;
        return out;
    }

    auto count_answer(std::uint64_t jobs) const -> net::server_response
    {
        return {200, std::to_string(jobs)};
    }
};

/// An owner at another address that answers hellos with heartbeats.
struct remote_owner
{
    explicit remote_owner(cell_fixture& fixture)
        : address("127.0.0.1:" + std::to_string(testing::free_port())),
          link(fixture.control, instance_id("owner"), address,
               [this](const std::string&, const wire::cell_message& message)
               {
                   if (message.body_case() == wire::cell_message::kHello)
                   {
                       link.send(message.hello().peer_address(), beat);
                   }
               })
    {
        const auto content =
            cell::to_bytes({epoch, "owner", address, 1, false, 1});
        fixture.commit({}, {{cell::lease_row(), content}});
        auto& out = *beat.mutable_beat();
        out.set_epoch(epoch);
        out.set_instance("owner");
        out.set_peer_address(address);
        out.set_row_version(fixture.store.row(cell::lease_row()).version);
        out.set_sent_ms(1);
    }

    static constexpr std::uint64_t epoch = 3;
    std::string address;
    wire::cell_message beat;
    cell::peers link;
};

/// The answer to a caller that asks for the number of pending jobs.
template<class Instance>
auto answered_count(Instance& one) -> net::server_response
{
    net::server_response out;
    one.serve({},
              [&](const net::server_response& answer)
              {
                  out = answer;
              });
    return out;
}

} // namespace

// Guards against a count of 0 while a new owner loads the cell: callers got it
// although 93 jobs had been accepted five seconds before.
Test(cell_instance, the_pending_count_is_kept_while_a_new_owner_loads)
{
    cell_fixture fixture;
    counting_callers platform{fixture.control, fixture.store, fixture.pool};
    platform.route.queue.name = cell::queue_name("q");
    fixture.commit({}, {{platform.configuration_row(), "1"}});
    remote_owner owner(fixture);
    cell::instance<counting_callers> one(platform, fixture.control, options());
    one.start();
    fixture.run_for(several_passes);
    cr_assert_eq(answered_count(one).status, 503);
    auto& beat = *owner.beat.mutable_beat();
    beat.set_counted(true);
    auto& line = *beat.add_pending();
    line.set_queue("q");
    line.set_jobs(93);
    cr_assert(fixture.run_until(
        [&]
        {
            return answered_count(one).body == "93";
        }));
    beat.clear_pending();
    beat.set_counted(false);
    constexpr milliseconds beats_of_the_loading_owner{1'000};
    fixture.run_for(beats_of_the_loading_owner);
    cr_assert_eq(answered_count(one).body, "93");
    one.stop();
    fixture.run_for(milliseconds(20));
}

namespace
{

/// Another instance that follows the owner; keeps the last heartbeat.
struct remote_follower
{
    remote_follower(cell_fixture& fixture, std::int64_t millicpus)
        : address("127.0.0.1:" + std::to_string(testing::free_port())),
          link(fixture.control, instance_id("large"), address,
               [this](const std::string&, const wire::cell_message& message)
               {
                   if (message.body_case() == wire::cell_message::kBeat)
                   {
                       last = message.beat();
                   }
               })
    {
        auto& out = *hello.mutable_hello();
        out.set_peer_address(address);
        out.set_epoch(1);
        out.set_serving(true);
        out.set_millicpus(millicpus);
    }

    auto send_hello(const std::string& owner) -> void
    {
        link.send(owner, hello);
    }

    std::string address;
    wire::cell_message hello;
    wire::cell_beat last;
    cell::peers link;
};

/// Whether a small owner releases the cell to a peer with that many millicpus.
auto hands_over_to(std::int64_t millicpus) -> bool
{
    cell_fixture fixture;
    instance_platform platform{fixture.control, fixture.store, fixture.pool};
    fixture.commit({}, {{platform.configuration_row(), "1"}});
    auto chosen = options();
    constexpr std::int64_t small = 120;
    chosen.ownership.millicpus = small;
    cell::instance<instance_platform> one(platform, fixture.control, chosen);
    one.start();
    cr_assert(fixture.run_until(
        [&]
        {
            return one.role() != nullptr && one.role()->loaded();
        }));
    remote_follower other(fixture, millicpus);
    constexpr milliseconds limit{4'500};
    constexpr milliseconds greeting{100};
    for (milliseconds passed{0}; passed < limit; passed += greeting)
    {
        other.send_hello(chosen.peer_address);
        fixture.run_for(greeting);
        if (other.last.released())
        {
            break;
        }
    }
    const bool named =
        other.last.successors_size() > 0 && other.last.successors(0) == "large";
    cr_assert(named, "the owner does not name its successor");
    const bool release_to = other.last.released() && one.role() == nullptr;
    one.stop();
    fixture.run_for(milliseconds(20));
    return release_to;
}

} // namespace

// The first instance to write the lease row kept the cell: 350 workers were
// mostly owned by instances with 0.12 of a processor.
Test(cell_instance, a_small_owner_hands_over_to_a_large_instance)
{
    constexpr std::int64_t large = 500;
    cr_assert(hands_over_to(large));
}

Test(cell_instance, a_small_owner_does_not_hand_over_to_one_as_small)
{
    constexpr std::int64_t as_small = 120;
    cr_assert(!hands_over_to(as_small));
}

// Guards against a cell without an owner: the owner was stopped while the store
// was 40 times slower, it had ended its role, and its followers waited for the
// stored release.
Test(cell_instance, a_stopping_owner_releases_while_the_store_is_silent)
{
    cell_fixture fixture;
    instance_platform platform{fixture.control, fixture.store, fixture.pool};
    fixture.commit({}, {{platform.configuration_row(), "1"}});
    const auto chosen = options();
    cell::instance<instance_platform> one(platform, fixture.control, chosen);
    one.start();
    cr_assert(fixture.run_until(
        [&]
        {
            return one.role() != nullptr && one.role()->loaded();
        }));
    constexpr std::int64_t any_size = 250;
    remote_follower other(fixture, any_size);
    fixture.store.drops_transactions = true;
    one.release_ownership();
    constexpr milliseconds limit{4'000};
    constexpr milliseconds greeting{100};
    for (milliseconds passed{0}; passed < limit && !other.last.released();
         passed += greeting)
    {
        other.send_hello(chosen.peer_address);
        fixture.run_for(greeting);
    }
    cr_assert(other.last.released());
    cr_assert(one.role() == nullptr);
    one.stop();
    fixture.store.drops_transactions = false;
    fixture.run_for(milliseconds(20));
}
