/// @file
/// When an owner may continue without the store: only while no other instance
/// can have taken over the cell.
#include <pimentoshunt/cell/followers.hpp>

#include <criterion/criterion.h>

#include <set>
#include <string>

using namespace pimentoshunt;
using cell::followers;

namespace
{

struct followers_fixture
{
    time_point now{std::chrono::hours(1)};
    followers others;
    std::set<std::string> connected{"a", "b", "c"};

    /// Lets time pass, during which all connected instances receive the owner's
    /// heartbeats and send hellos.
    auto pass(milliseconds time) -> void
    {
        constexpr milliseconds step{100};
        const auto until = now + time;
        while (now < until)
        {
            now += step;
            for (const auto& name : connected)
            {
                others.heard(name, true, now, now);
            }
        }
    }
};

constexpr milliseconds some_time{2'000};
constexpr milliseconds long_time{130'000};

} // namespace

Test(cell_followers, an_owner_followed_by_all_may_continue)
{
    followers_fixture fixture;
    cr_assert(!fixture.others.all_follow(fixture.now));
    fixture.pass(long_time);
    cr_assert(fixture.others.all_follow(fixture.now));
}

// The disconnected instance may still reach the store and the workers on its
// side of the partition.
Test(cell_followers, a_majority_of_followers_is_not_enough)
{
    followers_fixture fixture;
    fixture.pass(some_time);
    fixture.connected.erase("c");
    fixture.pass(some_time);
    cr_assert(!fixture.others.all_follow(fixture.now));
}

// Guards against an owner that continues with few followers: instances that
// were silent for a minute were forgotten even without the store, so that one
// of four seemed to be a majority.
Test(cell_followers, silent_instances_count_until_the_store_confirms)
{
    followers_fixture fixture;
    fixture.pass(some_time);
    fixture.connected = {"a"};
    fixture.pass(long_time);
    cr_assert(!fixture.others.all_follow(fixture.now));
    fixture.others.confirmed(fixture.now);
    cr_assert(fixture.others.all_follow(fixture.now));
}

// A connection that is re-established delivers messages queued before.
Test(cell_followers, a_delayed_hello_counts_by_its_heartbeat_time)
{
    followers_fixture fixture;
    fixture.pass(some_time);
    const auto heard_at = fixture.now;
    fixture.connected.erase("c");
    fixture.pass(long_time);
    fixture.others.heard("c", true, heard_at, fixture.now);
    cr_assert(!fixture.others.all_follow(fixture.now));
    fixture.others.heard("c", true, fixture.now, fixture.now);
    cr_assert(fixture.others.all_follow(fixture.now));
}

Test(cell_followers, an_instance_that_follows_another_owner_counts_against_it)
{
    followers_fixture fixture;
    fixture.pass(some_time);
    fixture.others.heard("c", false, fixture.now, fixture.now);
    cr_assert(!fixture.others.all_follow(fixture.now));
}

Test(cell_followers, a_stopped_instance_is_not_counted)
{
    followers_fixture fixture;
    fixture.pass(some_time);
    fixture.connected.erase("c");
    fixture.others.remove("c");
    fixture.pass(some_time);
    cr_assert(fixture.others.all_follow(fixture.now));
}
