#include <pimentoshunt/cell/policy/worker_choice.hpp>

#include <algorithm> // max, sort, stable_sort
#include <map>       // map
#include <string>    // string
#include <utility>   // move

namespace pimentoshunt::cell::policy
{
namespace
{

/// Costs are in shares of a worker's processors; each of these outweighs any
/// share.
constexpr double far_from_data = 10.0;
constexpr double failed_here = 100.0;

using detail::worker_record;

/// Resources of one task. A filler uses processor time that others leave, so
/// that its processors don't count.
auto resources_for_one(const step_spec& step) -> resources
{
    auto out = step.need;
    if (step.filler)
    {
        out.millicpus = 0;
    }
    return out;
}

auto places_in(resources room, const step_spec& step) -> std::uint32_t
{
    const auto need = resources_for_one(step);
    std::uint32_t count = 0;
    while (count < step.count && need.fits_in(room) &&
           (step.most_per_worker == 0 || count < step.most_per_worker))
    {
        room -= need;
        ++count;
    }
    return count;
}

/// Cost of a worker that lacks the data, or on which the task failed before.
auto distance_cost(const worker_record& worker, const step_spec& step,
                   const worker_id& avoid) -> double
{
    double cost = 0;
    if (!step.data_rack.empty() && step.data_rack != worker.entry.rack)
    {
        cost += far_from_data;
    }
    if (!avoid.empty() && avoid == worker.entry.id)
    {
        cost += failed_here;
    }
    return cost;
}

auto fill_workers(const std::vector<worker_record*>& candidate_workers,
                  const step_spec& step) -> std::vector<worker_record*>
{
    std::vector<worker_record*> out;
    for (auto* const worker : candidate_workers)
    {
        const auto count = places_on(*worker, step);
        for (std::uint32_t i = 0; i < count && out.size() < step.count; ++i)
        {
            out.push_back(worker);
        }
    }
    if (out.size() < step.count)
    {
        out.clear();
    }
    return out;
}

} // namespace

auto places_on(const worker_record& worker, const step_spec& step)
    -> std::uint32_t
{
    return places_in(worker.room(), step);
}

auto places_when_empty(const worker_record& worker, const step_spec& step)
    -> std::uint32_t
{
    return places_in(worker.entry.capacity, step);
}

auto resources_for(const step_spec& step, std::uint32_t tasks) -> resources
{
    const auto one = resources_for_one(step);
    resources out;
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        out += one;
    }
    return out;
}

auto sort_by_id(std::vector<worker_record*>& workers) -> void
{
    std::sort(workers.begin(), workers.end(),
              [](const worker_record* left, const worker_record* right)
              {
                  return left->entry.id < right->entry.id;
              });
}

auto sort_by_free_cpu(std::vector<worker_record*>& workers) -> void
{
    std::stable_sort(workers.begin(), workers.end(),
                     [](const worker_record* left, const worker_record* right)
                     {
                         return left->room().millicpus >
                                right->room().millicpus;
                     });
}

auto sort_by_unclaimed_cpu(std::vector<worker_record*>& workers) -> void
{
    std::stable_sort(workers.begin(), workers.end(),
                     [](const worker_record* left, const worker_record* right)
                     {
                         return left->unclaimed_millicpus() >
                                right->unclaimed_millicpus();
                     });
}

auto placement_cost(const worker_record& worker, const step_spec& step,
                    const worker_id& avoid) -> double
{
    const auto whole =
        std::max<std::int64_t>(worker.entry.capacity.millicpus, 1);
    // Best fit: the processors left after placement should be of little use to
    // other tasks.
    const auto left = worker.room().millicpus - step.need.millicpus;
    const auto cost = static_cast<double>(left) / static_cast<double>(whole);
    return cost + distance_cost(worker, step, avoid);
}

auto trial_cost(const worker_record& worker, const step_spec& step,
                const worker_id& avoid) -> double
{
    const auto whole =
        std::max<std::int64_t>(worker.entry.capacity.millicpus, 1);
    const auto cost =
        static_cast<double>(worker.used.millicpus) / static_cast<double>(whole);
    return cost + distance_cost(worker, step, avoid);
}

auto choose_gang_places(const std::vector<worker_record*>& candidate_workers,
                        const step_spec& step,
                        const speed_preference& preference)
    -> std::vector<worker_record*>
{
    const auto in_order = [&](std::vector<worker_record*> workers)
    {
        sort_by_speed(workers, preference, 0);
        return workers;
    };
    if (step.one_rack)
    {
        std::map<std::string, std::vector<worker_record*>> racks;
        for (auto* const worker : candidate_workers)
        {
            racks[worker->entry.rack].push_back(worker);
        }
        std::vector<worker_record*> best;
        for (const auto& [rack, members] : racks)
        {
            auto places = fill_workers(in_order(members), step);
            if (!places.empty() &&
                (best.empty() || preference.cost(places.back()->speed) <
                                     preference.cost(best.back()->speed)))
            {
                best = std::move(places);
            }
            if (!best.empty() && !preference.active)
            {
                break;
            }
        }
        if (!best.empty())
        {
            return best;
        }
    }
    return fill_workers(in_order(candidate_workers), step);
}

} // namespace pimentoshunt::cell::policy
