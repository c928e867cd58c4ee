#include <pimentoshunt/cell/policy/dispatch_order.hpp>

#include <algorithm> // find, max, sort
#include <tuple>     // tuple

namespace pimentoshunt::cell::policy
{
namespace
{

/// A job is worth less after its objective, and nothing after this many times
/// the objective.
constexpr int worthless_after_objectives = 3;

auto depends_on(const step_spec& later, std::uint32_t earlier) -> bool
{
    return std::find(later.after.begin(), later.after.end(), earlier) !=
           later.after.end();
}

} // namespace

auto critical_path_from(const job_spec& job, std::uint32_t step) -> milliseconds
{
    // Steps depend only on earlier ones, so one pass from the end is enough.
    std::vector<milliseconds> remaining(job.steps.size(), milliseconds{0});
    for (auto i = job.steps.size(); i-- > step;)
    {
        milliseconds longest{0};
        for (auto next = i + 1; next < job.steps.size(); ++next)
        {
            if (depends_on(job.steps[next], static_cast<std::uint32_t>(i)))
            {
                longest = std::max(longest, remaining[next]);
            }
        }
        remaining[i] = longest + job.steps[i].estimate;
    }
    return remaining[step];
}

auto objective(const job_spec& job, double factor) -> milliseconds
{
    milliseconds chain{0};
    for (std::uint32_t i = 0; i < job.steps.size(); ++i)
    {
        chain = std::max(chain, critical_path_from(job, i));
    }
    const auto stretched =
        job.queue.stretch * factor * static_cast<double>(chain.count());
    return milliseconds(static_cast<std::int64_t>(stretched)) +
           job.queue.allowance;
}

auto compute_deadlines(waiting_step& item, time_point now, double factor)
    -> void
{
    const auto& job = *item.job->spec;
    const auto target = objective(job, factor);
    const auto started_at = item.round->released_at;
    item.due = started_at + target;
    const auto chain = critical_path_from(job, item.step->number);
    item.latest_start =
        item.due - milliseconds(static_cast<std::int64_t>(
                       factor * static_cast<double>(chain.count())));
    // An outage of all owners makes no job worthless: others would overtake it.
    const auto known_since = std::max(started_at, item.job->accepted_at);
    item.expired = now > known_since + worthless_after_objectives * target &&
                   !item.step->spec->lasting;
}

auto sort(std::vector<waiting_step>& items) -> void
{
    const auto key = [](const waiting_step& item)
    {
        return std::tuple(item.beyond_rate, item.job->spec->queue.priority,
                          item.expired, item.share_increment,
                          item.latest_start);
    };
    std::sort(items.begin(), items.end(),
              [&](const waiting_step& left, const waiting_step& right)
              {
                  return key(left) < key(right);
              });
}

} // namespace pimentoshunt::cell::policy
