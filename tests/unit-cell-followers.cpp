/// @file
/// Whether an owner may go on without the store: only while nobody else can
/// have taken the cell over.
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

    /// Time passes; all that are linked to the owner hear it and greet it.
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

// The one that is cut off may reach the store and the workers of its side.
Test(cell_followers, a_majority_of_followers_is_not_enough)
{
    followers_fixture fixture;
    fixture.pass(some_time);
    fixture.connected.erase("c");
    fixture.pass(some_time);
    cr_assert(!fixture.others.all_follow(fixture.now));
}

// After a minute the others were forgotten, and one of four was most of two.
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

// Links keep messages until their connection stands again.
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
