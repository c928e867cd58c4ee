#include <pimentoshunt/cell/policy/succession.hpp>

#include <algorithm>  // any_of, find, find_if, sort
#include <functional> // hash
#include <limits>     // numeric_limits
#include <tuple>      // tuple
#include <utility>    // move

namespace pimentoshunt::cell::policy
{
namespace
{

/// Hash that orders equal instances differently in each epoch, so that no
/// instance always comes first.
auto tie_break_hash(const std::string& name, std::uint64_t epoch) -> std::size_t
{
    return std::hash<std::string>{}(name + "@" + std::to_string(epoch));
}

/// A delay between zero and @p whole that is fixed for an instance and epoch.
auto spread_delay(milliseconds whole, const std::string& name,
                  std::uint64_t epoch) -> milliseconds
{
    const auto share =
        static_cast<double>(tie_break_hash(name, epoch)) /
        static_cast<double>(std::numeric_limits<std::size_t>::max());
    return milliseconds(static_cast<milliseconds::rep>(
        share * static_cast<double>(whole.count())));
}

/// Whether one instance has at least half the processors of the other.
auto is_similar_size(const candidate& one, const candidate& best) -> bool
{
    return 2 * one.millicpus >= best.millicpus;
}

} // namespace

auto has_enough_cpu(std::int64_t millicpus, const succession_options& options)
    -> bool
{
    return millicpus == 0 || millicpus >= options.enough_millicpus;
}

auto can_take_over(const candidate& one, const succession_options& options)
    -> bool
{
    return one.serving && one.heard_age <= options.heard_within &&
           one.store_age && *one.store_age <= options.store_within &&
           one.lag <= options.max_lag;
}

auto succession(std::vector<candidate> candidates, std::uint64_t epoch,
                const succession_options& options) -> std::vector<candidate>
{
    std::erase_if(candidates,
                  [&](const candidate& one)
                  {
                      return !can_take_over(one, options);
                  });
    std::sort(candidates.begin(), candidates.end(),
              [&](const candidate& left, const candidate& right)
              {
                  return std::tuple(-left.millicpus,
                                    tie_break_hash(left.name, epoch)) <
                         std::tuple(-right.millicpus,
                                    tie_break_hash(right.name, epoch));
              });
    std::vector<candidate> out;
    while (!candidates.empty() && out.size() < options.max_successors)
    {
        const auto in_other_data_centre = [&](const candidate& one)
        {
            return is_similar_size(one, candidates.front()) &&
                   std::none_of(out.begin(), out.end(),
                                [&](const candidate& named)
                                {
                                    return named.data_centre == one.data_centre;
                                });
        };
        auto next = std::find_if(candidates.begin(), candidates.end(),
                                 in_other_data_centre);
        next = next == candidates.end() ? candidates.begin() : next;
        out.push_back(std::move(*next));
        candidates.erase(next);
    }
    return out;
}

auto claim_delay(const std::string& self, std::int64_t millicpus,
                 const std::vector<std::string>& successors,
                 std::uint64_t epoch, const succession_options& options)
    -> milliseconds
{
    const auto position = std::find(successors.begin(), successors.end(), self);
    const auto turns = options.turn * (position - successors.begin());
    if (position != successors.end())
    {
        return turns;
    }
    if (has_enough_cpu(millicpus, options))
    {
        return turns + spread_delay(options.enough_spread, self, epoch);
    }
    return turns + options.enough_spread +
           spread_delay(options.weak_spread, self, epoch);
}

} // namespace pimentoshunt::cell::policy
