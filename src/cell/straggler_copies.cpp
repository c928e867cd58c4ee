#include <pimentoshunt/cell/policy/straggler_copies.hpp>

#include <pimentoshunt/cell/policy/worker_choice.hpp>

#include <cmath> // log

namespace pimentoshunt::cell::policy
{
namespace
{

/// A worker that is slower by less than this counts as fast as another.
constexpr double as_fast_within = 1.05;
/// Cost of the original's rack, whose network or power may be the cause. It
/// outweighs packing, which costs at most 1.
constexpr double same_rack_cost = 2.0;
/// Cost for each unit of the logarithm of speed, as for other starts.
constexpr double speed_weight = 4.0;

} // namespace

auto allows_copies(const step_spec& step) -> bool
{
    return step.copies_allowed && !step.gang && !step.lasting && !step.filler;
}

auto is_straggler(milliseconds elapsed, milliseconds expected,
                  std::size_t others, std::size_t done) -> bool
{
    return 2 * done >= others && elapsed > straggler_factor * expected &&
           elapsed >= expected + straggler_excess;
}

auto has_room_for_copy(const copy_room& room, std::int64_t millicpus,
                       std::uint32_t priority) -> bool
{
    return room.waiting_gang > priority && 5 * room.used < 4 * room.capacity &&
           20 * (room.copies + millicpus) <= room.capacity;
}

auto suits_copy(const detail::worker_record& worker,
                const detail::worker_record& original, std::int64_t millicpus)
    -> bool
{
    return &worker != &original &&
           worker.speed * as_fast_within >= original.speed &&
           worker.unclaimed_millicpus() >= millicpus;
}

auto copy_cost(const detail::worker_record& worker,
               const detail::worker_record& original, const step_spec& step)
    -> double
{
    const bool same_rack = worker.entry.rack == original.entry.rack;
    return placement_cost(worker, step, original.entry.id) +
           (same_rack ? same_rack_cost : 0.0) -
           speed_weight * std::log(worker.speed);
}

} // namespace pimentoshunt::cell::policy
