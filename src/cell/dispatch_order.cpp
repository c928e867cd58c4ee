#include <pimentoshunt/cell/policy/dispatch_order.hpp>

#include <algorithm> // find, max, sort
#include <tuple>     // tuple

namespace pimentoshunt::cell::policy
{
namespace
{

auto depends_on(const step_spec& later, std::uint32_t earlier) -> bool
{
    return std::find(later.after.begin(), later.after.end(), earlier) !=
           later.after.end();
}

} // namespace

auto critical_paths(const job_spec& job) -> std::vector<milliseconds>
{
    // Steps depend only on earlier ones, so one pass from the end is enough.
    std::vector<milliseconds> remaining(job.steps.size(), milliseconds{0});
    for (auto i = job.steps.size(); i-- > 0;)
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
    return remaining;
}

auto objective(const job_spec& job, double factor) -> milliseconds
{
    milliseconds chain{0};
    for (const auto path : critical_paths(job))
    {
        chain = std::max(chain, path);
    }
    return objective(job.queue, chain, factor);
}

auto objective(const queue_config& queue, milliseconds chain, double factor)
    -> milliseconds
{
    const auto stretched =
        queue.stretch * factor * static_cast<double>(chain.count());
    return milliseconds(static_cast<std::int64_t>(stretched)) + queue.allowance;
}

auto set_chains(detail::job_record& job) -> void
{
    job.chains = critical_paths(*job.spec);
    job.longest_chain = milliseconds{0};
    for (const auto chain : job.chains)
    {
        job.longest_chain = std::max(job.longest_chain, chain);
    }
}

auto compute_deadlines(waiting_step& item, time_point now, double factor)
    -> void
{
    const auto target =
        objective(item.job->spec->queue, item.job->longest_chain, factor);
    const auto started_at = item.round->released_at;
    item.due = started_at + target;
    const auto chain = item.job->chains[item.step->number];
    item.chain = milliseconds(
        static_cast<std::int64_t>(factor * static_cast<double>(chain.count())));
    item.latest_start = item.due - item.chain;
    // An outage of all owners makes no job worthless: others would overtake it.
    const auto known_since = std::max(started_at, item.job->accepted_at);
    item.expired = now > known_since + worthless_after_objectives * target &&
                   !item.step->spec->lasting;
    item.lateness =
        item.expired ? lateness_class::expired : lateness_class::chosen;
}

auto sort(std::vector<waiting_step>& items) -> void
{
    const auto key = [](const waiting_step& item)
    {
        const bool is_expired = item.lateness == lateness_class::expired;
        const bool is_beyond_share =
            item.share_increment >= increments_of_share;
        return std::tuple(item.beyond_rate, item.job->spec->queue.priority,
                          is_expired, is_beyond_share, item.lateness,
                          item.share_increment, item.latest_start);
    };
    std::sort(items.begin(), items.end(),
              [&](const waiting_step& left, const waiting_step& right)
              {
                  return key(left) < key(right);
              });
}

} // namespace pimentoshunt::cell::policy
