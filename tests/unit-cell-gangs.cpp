/// @file
/// Gangs: all members start together, in one rack where that is asked for.
#include "fakes/cell_world.hpp"

#include <criterion/criterion.h>

#include <set> // set

using namespace pimentoshunt;
using fakes::cell_world;
using fakes::simple_job;

namespace
{

auto gang_job(const std::string& id, std::uint32_t members) -> cell::job_spec
{
    auto job = simple_job(id, members, 1'000);
    job.steps.front().gang = true;
    return job;
}

constexpr milliseconds a_while{600};

} // namespace

// nokf-trykk alone-instances-cut, seed 2: after connections had been reset, one
// member started, the others did not, and it waited 3 s for them.
Test(cell_gangs, members_do_not_wait_for_one_that_did_not_start)
{
    cell_world world;
    world.add_worker("w1", 1'000);
    world.add_worker("w2", 1'000);
    auto& dark = world.add_worker("w3", 1'000);
    world.pass(a_while);
    dark.receives = false;
    world.jobs().accept(gang_job("j", 3), world.now);
    world.pass(a_while);
    cr_assert_geq(world.starts.size(), 3u);
    cr_assert_eq(world.running(), 0u);
    dark.receives = true;
    world.pass(std::chrono::seconds(2));
    cr_assert_eq(world.running(), 3u);
    std::set<std::uint64_t> numbers;
    for (const auto& [id, worker] : world.workers)
    {
        for (const auto& [run, state] : worker.runs)
        {
            numbers.insert(run.number);
        }
    }
    cr_assert_eq(numbers.size(), 1u);
}

Test(cell_gangs, no_member_starts_before_there_is_room_for_all)
{
    cell_world world;
    world.add_worker("w1", 1'000);
    world.add_worker("w2", 1'000);
    world.pass(a_while);
    world.jobs().accept(gang_job("j", 3), world.now);
    world.pass(a_while);
    cr_assert(world.starts.empty());
    world.add_worker("w3", 1'000);
    world.pass(a_while);
    cr_assert_eq(world.running(), 3u);
}

Test(cell_gangs, a_gang_stays_in_one_rack_that_has_room)
{
    cell_world world;
    world.add_worker("w1", 1'000, "r1-1");
    world.add_worker("w2", 1'000, "r1-2");
    world.add_worker("w3", 1'000, "r1-2");
    world.pass(a_while);
    auto job = gang_job("j", 2);
    job.steps.front().one_rack = true;
    world.jobs().accept(job, world.now);
    world.pass(a_while);
    cr_assert_eq(world.starts.size(), 2u);
    for (const auto& order : world.starts)
    {
        cr_assert(order.target.worker != worker_id("w1"));
    }
}
