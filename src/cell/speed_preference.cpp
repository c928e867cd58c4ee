#include <pimentoshunt/cell/policy/speed_preference.hpp>

#include <algorithm> // max, min, sort, stable_sort
#include <cmath>     // exp, log, round
#include <tuple>     // tuple

namespace pimentoshunt::cell::policy
{
namespace
{

using detail::worker_record;

/// Speeds within this ratio count as equal.
constexpr double equal_within = 1.1;
/// Cost of a worker for each unit of the logarithm of speed. Two workers of
/// three with speed 0.7 and one with 1.7 differ by 3.5: more than packing, which
/// costs at most 1, and less than distance from the data, which costs 10.
constexpr double speed_weight = 4.0;
constexpr double most_cost = 8.0;
/// Increase of the time of the slowest of several tasks with the logarithm of
/// their number, for tasks of a step that vary by 0.3 (standard deviation of the
/// logarithm): 1.58 for 10 tasks, 2.15 for 100.
constexpr double width_weight = 0.25;
/// Shares of the processors below which the speeds count as slow or not as the
/// fastest.
constexpr double slow_share = 0.2;
constexpr double fast_share = 0.95;
/// Steps of a priority other than 0 ask for fast workers only while this share of
/// their processors is free: urgent steps arrive without notice.
constexpr double least_fast_free = 0.25;

/// Multiple of log(equal_within) nearest to the logarithm of a ratio.
auto log_class(double log_ratio) -> double
{
    static const auto width = std::log(equal_within);
    return std::round(log_ratio / width) * width;
}

} // namespace

auto range_of(std::vector<const worker_record*> workers) -> speed_range
{
    speed_range out;
    if (workers.empty())
    {
        return out;
    }
    std::sort(workers.begin(), workers.end(),
              [](const worker_record* left, const worker_record* right)
              {
                  return left->speed < right->speed;
              });
    out.differ = workers.back()->speed > equal_within * workers.front()->speed;
    if (!out.differ)
    {
        return out;
    }
    double total = 0;
    for (const auto* worker : workers)
    {
        total += static_cast<double>(worker->entry.capacity.millicpus);
    }
    out.slow = workers.front()->speed;
    out.fast = workers.front()->speed;
    double sum = 0;
    for (const auto* worker : workers)
    {
        out.slow = sum <= slow_share * total ? worker->speed : out.slow;
        out.fast = sum <= fast_share * total ? worker->speed : out.fast;
        sum += static_cast<double>(worker->entry.capacity.millicpus);
    }
    double of_fast = 0;
    double free = 0;
    for (const auto* worker : workers)
    {
        // The geometric mean is as many times the one as the other is its own.
        if (worker->speed * worker->speed >= out.slow * out.fast)
        {
            of_fast += static_cast<double>(worker->entry.capacity.millicpus);
            free += static_cast<double>(
                std::max<std::int64_t>(worker->room().millicpus, 0));
        }
    }
    out.fast_free = of_fast > 0 ? free / of_fast : 0;
    return out;
}

auto slowest_of(std::size_t tasks) -> double
{
    return 1 + width_weight *
                   std::log(std::max<double>(static_cast<double>(tasks), 1.0));
}

speed_cost::speed_cost(const speed_preference& preference)
    : m_preference(preference)
{
    if (preference.active)
    {
        m_log_slow = std::log(preference.slow);
        m_log_fast = std::log(preference.fast);
        m_log_required = std::log(preference.required);
    }
}

auto speed_cost::operator()(double log_speed) const -> double
{
    if (!m_preference.active)
    {
        return 0;
    }
    double steps = 0;
    if (m_preference.fast_first)
    {
        steps = std::max(0.0, log_class(m_log_fast - log_speed));
    }
    else if (log_speed >= m_log_required)
    {
        steps = std::max(0.0, log_class(log_speed - m_log_slow));
    }
    else
    {
        steps = log_class(m_log_fast - m_log_slow) +
                std::max(0.0, log_class(m_log_required - log_speed));
    }
    return std::min(speed_weight * steps, most_cost);
}

auto speed_preference::cost(double speed) const -> double
{
    return speed_cost(*this)(std::log(speed));
}

auto preference_of(const waiting_step& item, const speed_range& range,
                   double factor, time_point now) -> speed_preference
{
    using ms = std::chrono::duration<double, std::milli>;
    speed_preference out;
    if (!range.differ)
    {
        return out;
    }
    out.active = true;
    out.slow = range.slow;
    out.fast = range.fast;
    const auto& spec = *item.step->spec;
    const ms left = item.due - now;
    const ms chain = item.chain;
    // A step is as long as its slowest task.
    const ms needed = chain + ms(spec.estimate) * factor *
                                  (slowest_of(item.step->waiting.size()) - 1);
    if (item.expired || left <= chain / range.fast)
    {
        // It will be late on any worker.
        return out;
    }
    out.required = needed / left;
    if (out.required <= range.slow)
    {
        return out;
    }
    if (item.job->spec->queue.priority > 0 && range.fast_free < least_fast_free)
    {
        out.required = 0;
        return out;
    }
    out.fast_first = true;
    return out;
}

auto sort_by_speed(std::vector<worker_record*>& workers,
                   const speed_preference& preference, std::int64_t millicpus)
    -> void
{
    if (!preference.active)
    {
        return;
    }
    const speed_cost cost(preference);
    const auto key = [&](const worker_record* worker)
    {
        return std::tuple(worker->unclaimed_millicpus() < millicpus,
                          cost(worker->log_speed));
    };
    std::stable_sort(workers.begin(), workers.end(),
                     [&](const worker_record* left, const worker_record* right)
                     {
                         return key(left) < key(right);
                     });
}

} // namespace pimentoshunt::cell::policy
