#include <pimentoshunt/cell/policy/refusals.hpp>

#include <pimentoshunt/cell/policy/dispatch_order.hpp>
#include <pimentoshunt/cell/policy/worker_choice.hpp>

#include <algorithm>  // any_of, binary_search, clamp, includes
#include <cmath>      // ceil
#include <functional> // hash
#include <utility>    // move

namespace pimentoshunt::cell::policy
{
namespace
{

using real_s = std::chrono::duration<double>;

constexpr double min_retry_s = 1;
constexpr double max_retry_s = 30;
/// An estimate beyond this is as good as none; bounds the number in a message.
constexpr double max_start_s = 3'600;

auto offers(const worker_kind& more, const worker_kind& less) -> bool
{
    return less.capacity.fits_in(more.capacity) &&
           std::includes(more.labels.begin(), more.labels.end(),
                         less.labels.begin(), less.labels.end());
}

auto has_label(const worker_kind& kind, const std::string& label) -> bool
{
    return label.empty() ||
           std::binary_search(kind.labels.begin(), kind.labels.end(), label);
}

/// Why no worker can run a task of the step; empty if one can.
auto reason_against(const step_spec& step, const service_view& view)
    -> std::string
{
    const auto need = resources_for(step, 1);
    bool labelled = false;
    for (const auto& kind : view.kinds)
    {
        if (!has_label(kind, step.required_label))
        {
            continue;
        }
        labelled = true;
        if (need.fits_in(kind.capacity))
        {
            return "";
        }
    }
    return labelled ? "a task is larger than any worker of its service"
                    : "no worker of the service has the required label";
}

auto retry_after(const job_id& job, milliseconds cleared_in)
    -> std::chrono::seconds
{
    // Callers that were refused together come back spread over half of the time.
    constexpr std::size_t steps = 1'024;
    const auto part =
        static_cast<double>(std::hash<job_id>()(job) % steps) / steps;
    const auto wait = real_s(cleared_in).count() * (1 + part / 2);
    return std::chrono::seconds(static_cast<std::int64_t>(
        std::ceil(std::clamp(wait, min_retry_s, max_retry_s))));
}

} // namespace

auto service_view::add_kind(worker_kind kind) -> void
{
    std::sort(kind.labels.begin(), kind.labels.end());
    if (std::any_of(kinds.begin(), kinds.end(),
                    [&](const worker_kind& known)
                    {
                        return offers(known, kind);
                    }))
    {
        return;
    }
    std::erase_if(kinds,
                  [&](const worker_kind& known)
                  {
                      return offers(kind, known);
                  });
    if (kinds.size() >= max_worker_kinds)
    {
        incomplete = true;
        return;
    }
    kinds.push_back(std::move(kind));
}

auto estimate_starts(const overload_summary& backlog,
                     const overload_selection& selection, time_point now)
    -> std::vector<start_estimate>
{
    std::vector<start_estimate> out;
    double work = 0;
    for (const auto& [priority, waiting] : backlog.waiting_work)
    {
        work += waiting;
        const auto start = std::min(
            max_start_s, work / selection.expected_share(priority, now));
        out.push_back({priority, std::chrono::duration_cast<milliseconds>(
                                     real_s(start))});
    }
    return out;
}

auto find_refusal(const job_spec& job, const service_view& view,
                  milliseconds age) -> std::optional<refusal>
{
    if (age > max_view_age)
    {
        return std::nullopt;
    }
    bool lasting = false;
    for (const auto& step : job.steps)
    {
        lasting = lasting || step.lasting;
        // Without any worker the service may not have begun yet.
        if (view.incomplete || view.kinds.empty())
        {
            continue;
        }
        auto why = reason_against(step, view);
        if (!why.empty())
        {
            return refusal{true, std::move(why), {}};
        }
    }
    // Scheduled jobs start later, and lasting ones are not worth less when late.
    if (job.occurrences > 0 || lasting)
    {
        return std::nullopt;
    }
    milliseconds start_in{0};
    for (const auto& item : view.starts)
    {
        if (item.priority <= job.queue.priority)
        {
            start_in = item.start_in;
        }
    }
    if (start_in <= worthless_after_objectives * objective(job))
    {
        return std::nullopt;
    }
    return refusal{false,
                   "there is too little capacity to start the job before it is "
                   "of no use; it was not accepted",
                   retry_after(job.id, start_in)};
}

} // namespace pimentoshunt::cell::policy
