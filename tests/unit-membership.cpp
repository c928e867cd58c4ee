/// @file
/// Tests of failure detection, worker assignment and the names of holders.
#include <pimentoshunt/membership/member_table.hpp>
#include <pimentoshunt/ownership/assignment.hpp>
#include <pimentoshunt/ownership/holder.hpp>

#include <criterion/criterion.h>

#include <map> // map

using namespace pimentoshunt;
using membership::member;
using membership::member_state;
using membership::member_table;

namespace
{

constexpr time_point start{std::chrono::seconds(100)};

auto make(const std::string& name, std::uint64_t incarnation = 1) -> member
{
    member item;
    item.id = instance_id(name);
    item.incarnation = incarnation;
    item.state = member_state::ready;
    return item;
}

} // namespace

Test(membership, silence_makes_an_instance_dead)
{
    member_table table{{}};
    table.heard(make("i2"), start);
    cr_assert(table.alive(instance_id("i2"), start + milliseconds(900)));
    cr_assert(!table.alive(instance_id("i2"), start + milliseconds(1'100)));
}

Test(membership, a_relayed_heartbeat_keeps_an_unreachable_instance_alive)
{
    member_table table{{}};
    table.heard(make("i2"), start);
    const auto later = start + milliseconds(2'000);
    auto later_beat = make("i2");
    later_beat.sequence = 2;
    table.relayed(later_beat, milliseconds(150), later);
    cr_assert(table.alive(instance_id("i2"), later));
    cr_assert(table.find(instance_id("i2"))->last_direct == start);
}

Test(membership, one_heartbeat_relayed_in_a_cycle_keeps_no_instance_alive)
{
    member_table table{{}};
    auto beat = make("i2");
    beat.sequence = 7;
    table.heard(beat, start);
    // In each round the relayed age is smaller than the heartbeat's real age.
    for (int round = 1; round <= 20; ++round)
    {
        const auto now = start + milliseconds(100) * round;
        table.relayed(beat, milliseconds(50), now);
    }
    cr_assert(!table.alive(instance_id("i2"), start + milliseconds(2'000)));
}

Test(membership, an_old_relay_marks_no_instance_alive)
{
    member_table table{{}};
    table.heard(make("i2"), start);
    const auto later = start + std::chrono::seconds(5);
    table.relayed(make("i2"), std::chrono::seconds(4), later);
    cr_assert(!table.alive(instance_id("i2"), later));
}

Test(membership, a_heartbeat_of_an_earlier_incarnation_changes_nothing)
{
    member_table table{{}};
    table.heard(make("i2", 5), start);
    cr_assert(!table.heard(make("i2", 4), start + milliseconds(10)));
    cr_assert(table.find(instance_id("i2"))->incarnation == 5);
    cr_assert(!table.serving(instance_id("i2"), 4, start));
}

Test(membership, own_pause_marks_no_instance_dead)
{
    member_table table{{}};
    table.heard(make("i2"), start);
    table.compensate_pause(std::chrono::seconds(10));
    cr_assert(table.alive(instance_id("i2"), start + std::chrono::seconds(10)));
}

Test(membership, a_table_row_is_no_sign_of_life_but_is_kept)
{
    member_table table{{}};
    table.add_from_table(make("i2"), start);
    table.forget_silent(start + std::chrono::seconds(1));
    cr_assert(table.find(instance_id("i2")) != nullptr);
    cr_assert(!table.alive(instance_id("i2"), start));
    table.forget_silent(start + std::chrono::seconds(61));
    cr_assert(table.find(instance_id("i2")) == nullptr);
}

Test(assignment, moves_only_what_a_removed_instance_owned)
{
    std::vector<instance_id> all;
    for (int i = 1; i <= 8; ++i)
    {
        all.emplace_back("i" + std::to_string(i));
    }
    auto without_last = all;
    without_last.pop_back();
    std::map<instance_id, int> counts;
    for (int i = 0; i < 800; ++i)
    {
        const auto key = "w" + std::to_string(i);
        const auto before = ownership::rendezvous_owner(key, all);
        const auto after = ownership::rendezvous_owner(key, without_last);
        cr_assert(before == all.back() || before == after);
        ++counts[before];
    }
    for (const auto& [id, count] : counts)
    {
        cr_assert(count > 50 && count < 150, "%s owns %d", id.str().c_str(),
                  count);
    }
}

Test(holder, reads_what_it_wrote)
{
    const ownership::holder item{instance_id("i#1"), 42};
    cr_assert(ownership::holder::parse(item.str()) == item);
    cr_assert(ownership::holder::parse("i1#x").id.empty());
    cr_assert(ownership::holder::parse("i1").id.empty());
}
