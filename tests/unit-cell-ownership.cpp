/// @file
/// Tests of takeovers: when an instance claims the cell, and what it knows of
/// earlier owners.
#include <pimentoshunt/cell/ownership.hpp>

#include <criterion/criterion.h>

#include <algorithm> // max, max_element, min_element, sort
#include <string>    // string, to_string
#include <vector>    // vector

using namespace pimentoshunt;
using cell::ownership;
using cell::ownership_step;

namespace
{

struct follower_fixture
{
    time_point now{std::chrono::hours(1)};
    ownership self{"me", "10.0.0.1:1", 5, {}, now};
    std::uint64_t version = 10;

    /// Heartbeat of the owner, which names this instance as its successor.
    auto heartbeat(milliseconds confirmed_age = milliseconds(100)) -> void
    {
        self.on_owner_heartbeat(
            {3, "other", "10.0.0.2:1", false, confirmed_age, version, {"me"}},
            now);
    }

    auto read() -> void
    {
        self.on_row_read(
            {version, {3, "other", "10.0.0.2:1", 1, false, version}}, now);
    }

    /// Lets time pass.
    /// @return the time until this instance takes the cell over, or @p limit
    auto until_takeover(milliseconds limit, bool renewed, bool heard)
        -> milliseconds
    {
        constexpr milliseconds step{50};
        for (milliseconds passed{0}; passed < limit; passed += step)
        {
            now += step;
            version += renewed && passed.count() % 400 == 0 ? 1 : 0;
            if (heard)
            {
                heartbeat(milliseconds(renewed ? 100 : passed.count()));
            }
            switch (self.next_step(now))
            {
            case ownership_step::read_row:
                read();
                break;
            case ownership_step::take_over:
                return passed;
            case ownership_step::nothing:
                break;
            }
        }
        return limit;
    }
};

constexpr milliseconds long_time{10'000};

} // namespace

Test(cell_ownership, an_owner_that_is_heard_keeps_the_cell)
{
    follower_fixture fixture;
    fixture.heartbeat();
    cr_assert_eq(fixture.until_takeover(long_time, true, true).count(),
                 long_time.count());
}

Test(cell_ownership, an_owner_that_renews_keeps_the_cell_unheard)
{
    follower_fixture fixture;
    fixture.heartbeat();
    cr_assert_eq(fixture.until_takeover(long_time, true, false).count(),
                 long_time.count());
}

// After a kill of the owner, runs must start again within 1.5 s.
Test(cell_ownership, a_dead_owner_is_replaced_soon)
{
    follower_fixture fixture;
    fixture.heartbeat();
    cr_assert_lt(fixture.until_takeover(long_time, false, false).count(),
                 1'500);
}

Test(cell_ownership, an_owner_without_the_store_is_replaced_though_heard)
{
    follower_fixture fixture;
    fixture.heartbeat();
    const auto passed = fixture.until_takeover(long_time, false, true);
    cr_assert_lt(passed.count(), 2'500);
    cr_assert_gt(passed.count(), 900);
}

Test(cell_ownership, a_released_cell_is_taken_at_once)
{
    follower_fixture fixture;
    fixture.heartbeat();
    fixture.self.on_row_read({10, {3, "other", "10.0.0.2:1", 1, true, 1}},
                             fixture.now);
    cr_assert(fixture.self.next_step(fixture.now) == ownership_step::take_over);
    cr_assert(fixture.self.earlier_owner_ended());
    cr_assert_eq(fixture.self.claim().epoch, 4u);
}

Test(cell_ownership, an_earlier_incarnation_of_this_instance_has_ended)
{
    follower_fixture fixture;
    fixture.self.on_row_read({10, {3, "me", "10.0.0.1:1", 4, false, 1}},
                             fixture.now);
    cr_assert(fixture.self.next_step(fixture.now) == ownership_step::take_over);
    cr_assert(fixture.self.earlier_owner_ended());
}

Test(cell_ownership, an_unconfirmed_owner_acts_only_while_it_is_followed)
{
    follower_fixture fixture;
    const auto claim = fixture.self.claim();
    fixture.self.confirmed(11, claim, fixture.now);
    cr_assert(fixture.self.may_act(false, fixture.now));
    fixture.now += milliseconds(3'100);
    cr_assert(!fixture.self.may_act(false, fixture.now));
    cr_assert(fixture.self.may_act(true, fixture.now));
}

// An owner whose store calls fail can't release the cell in the row, so that it
// announces the release to the followers (scenario wischwerk-zh trouble-1).
Test(cell_ownership, an_owner_that_says_it_has_ended_is_followed_at_once)
{
    follower_fixture fixture;
    fixture.read();
    fixture.now += milliseconds(900);
    fixture.heartbeat();
    fixture.now += milliseconds(100);
    fixture.self.on_owner_heartbeat({3,
                                     "other",
                                     "10.0.0.2:1",
                                     true,
                                     milliseconds(600),
                                     fixture.version,
                                     {"me", "third"}},
                                    fixture.now);
    cr_assert_leq(fixture.until_takeover(long_time, false, false).count(), 200);
}

Test(cell_ownership, what_an_earlier_owner_said_does_not_end_a_later_one)
{
    follower_fixture fixture;
    fixture.self.on_owner_heartbeat(
        {2, "first", "10.0.0.3:1", true, milliseconds(100), 5, {}},
        fixture.now);
    fixture.heartbeat();
    cr_assert_eq(fixture.until_takeover(long_time, true, true).count(),
                 long_time.count());
}

namespace
{

/// Lets a new owner renew its row for @p held.
/// @return the row as written by its release
auto row_after(ownership& owner, milliseconds held, time_point& now)
    -> cell::lease_reading
{
    std::uint64_t version = 11;
    owner.confirmed(version, owner.claim(), now);
    const auto until = now + held;
    while (now < until)
    {
        now += milliseconds(400);
        owner.confirmed(++version, owner.renewal(false), now);
    }
    return {++version, owner.renewal(true)};
}

} // namespace

// A release by the last owner says nothing about the one before it, which may
// not have noticed yet that it was replaced.
Test(cell_ownership, a_brief_owner_does_not_vouch_for_the_one_before)
{
    follower_fixture fixture;
    fixture.read();
    const auto row = row_after(fixture.self, milliseconds(800), fixture.now);
    follower_fixture next;
    next.heartbeat();
    next.self.on_row_read(row, next.now);
    cr_assert(next.self.next_step(next.now) == ownership_step::take_over);
    cr_assert(!next.self.earlier_owner_ended());
}

Test(cell_ownership, an_owner_of_some_seconds_vouches_for_the_one_before)
{
    follower_fixture fixture;
    fixture.read();
    const auto row = row_after(fixture.self, milliseconds(6'000), fixture.now);
    follower_fixture next;
    next.heartbeat();
    next.self.on_row_read(row, next.now);
    cr_assert(next.self.next_step(next.now) == ownership_step::take_over);
    cr_assert(next.self.earlier_owner_ended());
}

namespace
{

/// Time after which each instance would claim a cell that its owner has
/// released.
auto claims(const std::vector<std::string>& names, std::int64_t millicpus,
            const std::vector<std::string>& successors)
    -> std::vector<milliseconds>
{
    std::vector<milliseconds> out;
    for (const auto& name : names)
    {
        time_point now{std::chrono::hours(1)};
        cell::ownership_options options;
        options.millicpus = millicpus;
        ownership self{name, "10.0.0.1:1", 5, options, now};
        self.on_owner_heartbeat(
            {3, "other", "10.0.0.2:1", true, milliseconds(100), 10, successors},
            now);
        const auto began = now;
        constexpr milliseconds step{10};
        auto next = self.next_step(now);
        while (next != ownership_step::take_over && now < began + long_time)
        {
            if (next == ownership_step::read_row)
            {
                self.on_row_read({10, {3, "other", "10.0.0.2:1", 1, true, 9}},
                                 now);
            }
            now += step;
            next = self.next_step(now);
        }
        out.push_back(std::chrono::duration_cast<milliseconds>(now - began));
    }
    return out;
}

auto instances(std::size_t count) -> std::vector<std::string>
{
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i)
    {
        out.push_back("edge-" + std::to_string(i));
    }
    return out;
}

} // namespace

// Guards against simultaneous claims: 40 instances claimed within 50 ms, and
// one with 0.12 of a core won (scenario lml-greatlakes-grown trouble-1).
Test(cell_ownership, only_the_named_successor_claims_at_once)
{
    const auto names = instances(147);
    const auto all = claims(names, 120, {"edge-7", "edge-90", "edge-3"});
    constexpr milliseconds at_once{50};
    constexpr milliseconds turn{250};
    cr_assert_lt(all[7], at_once);
    cr_assert_geq(all[90], turn);
    cr_assert_geq(all[3], 2 * turn);
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        const bool named = i == 7 || i == 90 || i == 3;
        cr_assert(named || all[i] >= 3 * turn, "%zu claims after %lld ms", i,
                  static_cast<long long>(all[i].count()));
    }
}

// If all large instances are lost, the others neither claim at the same moment
// nor wait for long.
Test(cell_ownership, instances_that_are_not_named_spread_their_claims)
{
    constexpr std::size_t count = 147;
    auto all = claims(instances(count), 120, {});
    std::sort(all.begin(), all.end());
    constexpr milliseconds longest{1'300};
    cr_assert_leq(all.back(), longest);
    // A claim takes at most 20 ms; later claimants find the new owner.
    constexpr milliseconds a_claim{20};
    std::size_t most = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        std::size_t together = 0;
        while (i + together < count && all[i + together] < all[i] + a_claim)
        {
            ++together;
        }
        most = std::max(most, together);
    }
    cr_assert_lt(most, count / 10, "%zu claims at once", most);
}

Test(cell_ownership, large_instances_claim_before_small_ones)
{
    const auto large = claims(instances(6), 500, {});
    const auto small = claims(instances(34), 120, {});
    cr_assert_leq(*std::max_element(large.begin(), large.end()),
                  *std::min_element(small.begin(), small.end()));
}

// An owner that hands the cell over must not take it back before the successor
// that it named has had time to.
Test(cell_ownership, an_owner_that_hands_over_lets_its_successors_try_first)
{
    follower_fixture fixture;
    fixture.self.confirmed(11, fixture.self.claim(), fixture.now);
    const auto content = fixture.self.renewal(false);
    fixture.self.release_to({"other"}, fixture.now);
    milliseconds waited{0};
    constexpr milliseconds step{10};
    while (fixture.self.next_step(fixture.now) != ownership_step::take_over &&
           waited < long_time)
    {
        fixture.self.on_row_read({11, content}, fixture.now);
        fixture.now += step;
        waited += step;
    }
    cr_assert_geq(waited.count(), 250);
    cr_assert_lt(waited.count(), 1'000);
}

Test(cell_ownership, brief_owners_are_counted_until_one_stays)
{
    follower_fixture fixture;
    fixture.self.on_row_read(
        {10, {3, "other", "10.0.0.2:1", 1, true, 2, false, 4}}, fixture.now);
    cr_assert_eq(fixture.self.claim().brief_owners, 5u);
    fixture.self.on_row_read(
        {11, {3, "other", "10.0.0.2:1", 1, true, 200, false, 4}}, fixture.now);
    cr_assert_eq(fixture.self.claim().brief_owners, 0u);
}

// An owner of an earlier version of the program writes no such epoch.
Test(cell_ownership, a_series_of_owners_that_keep_silences_has_no_gap)
{
    follower_fixture fixture;
    auto content =
        cell::lease_content{3, "other", "10.0.0.2:1", 1, true, 200, false, 0};
    fixture.self.on_row_read({10, content}, fixture.now);
    cr_assert_eq(fixture.self.claim().silence_kept_since, 4u);
    content.silence_kept_since = 2;
    fixture.self.on_row_read({11, cell::read_lease(cell::to_bytes(content))},
                             fixture.now);
    cr_assert_eq(fixture.self.claim().silence_kept_since, 2u);
    fixture.self.confirmed(12, fixture.self.claim(), fixture.now);
    cr_assert_eq(fixture.self.renewal(false).silence_kept_since, 2u);
}
