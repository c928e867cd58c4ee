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

struct owner_bed
{
    time_point now{std::chrono::hours(1)};
    followers others;
    std::set<std::string> linked{"a", "b", "c"};

    /// Time passes; all that are linked to the owner hear it and greet it.
    auto pass(milliseconds time) -> void
    {
        constexpr milliseconds step{100};
        const auto until = now + time;
        while (now < until)
        {
            now += step;
            for (const auto& name : linked)
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
    owner_bed bed;
    cr_assert(!bed.others.all_follow(bed.now));
    bed.pass(long_time);
    cr_assert(bed.others.all_follow(bed.now));
}

// The one that is cut off may reach the store and the workers of its side.
Test(cell_followers, an_owner_whom_most_follow_does_not_go_on)
{
    owner_bed bed;
    bed.pass(some_time);
    bed.linked.erase("c");
    bed.pass(some_time);
    cr_assert(!bed.others.all_follow(bed.now));
}

// After a minute the others were forgotten, and one of four was most of two.
Test(cell_followers, silence_without_the_store_makes_no_majority)
{
    owner_bed bed;
    bed.pass(some_time);
    bed.linked = {"a"};
    bed.pass(long_time);
    cr_assert(!bed.others.all_follow(bed.now));
    bed.others.confirmed(bed.now);
    cr_assert(bed.others.all_follow(bed.now));
}

// Links keep messages until their connection stands again.
Test(cell_followers, a_greeting_that_comes_late_says_nothing_of_now)
{
    owner_bed bed;
    bed.pass(some_time);
    const auto heard_at = bed.now;
    bed.linked.erase("c");
    bed.pass(long_time);
    bed.others.heard("c", true, heard_at, bed.now);
    cr_assert(!bed.others.all_follow(bed.now));
    bed.others.heard("c", true, bed.now, bed.now);
    cr_assert(bed.others.all_follow(bed.now));
}

Test(cell_followers, an_instance_that_follows_another_owner_ends_it)
{
    owner_bed bed;
    bed.pass(some_time);
    bed.others.heard("c", false, bed.now, bed.now);
    cr_assert(!bed.others.all_follow(bed.now));
}

Test(cell_followers, an_instance_that_stops_is_not_waited_for)
{
    owner_bed bed;
    bed.pass(some_time);
    bed.linked.erase("c");
    bed.others.left("c");
    bed.pass(some_time);
    cr_assert(bed.others.all_follow(bed.now));
}
