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

Test(cell_followers, an_owner_whom_all_follow_goes_on)
{
    followers_fixture fixture;
    cr_assert(!fixture.others.all_follow(fixture.now));
    fixture.pass(long_time);
    cr_assert(fixture.others.all_follow(fixture.now));
}

// The one that is cut off may reach the store and the workers of its side.
Test(cell_followers, an_owner_whom_most_follow_does_not_go_on)
{
    followers_fixture fixture;
    fixture.pass(some_time);
    fixture.connected.erase("c");
    fixture.pass(some_time);
    cr_assert(!fixture.others.all_follow(fixture.now));
}

// After a minute the others were forgotten, and one of four was most of two.
Test(cell_followers, silence_without_the_store_makes_no_majority)
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
Test(cell_followers, a_greeting_that_comes_late_says_nothing_of_now)
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

Test(cell_followers, an_instance_that_follows_another_owner_ends_it)
{
    followers_fixture fixture;
    fixture.pass(some_time);
    fixture.others.heard("c", false, fixture.now, fixture.now);
    cr_assert(!fixture.others.all_follow(fixture.now));
}

Test(cell_followers, an_instance_that_stops_is_not_waited_for)
{
    followers_fixture fixture;
    fixture.pass(some_time);
    fixture.connected.erase("c");
    fixture.others.remove("c");
    fixture.pass(some_time);
    cr_assert(fixture.others.all_follow(fixture.now));
}
