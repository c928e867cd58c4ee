#include <pimentoshunt/policy/admission.hpp>

#include <algorithm> // clamp, max, min
#include <cmath>     // sqrt

namespace pimentoshunt::policy
{

namespace
{

/// Quantile of the learned run times that counts as the fastest possible run.
constexpr double fastest_quantile = 0.01;

using real_ms = std::chrono::duration<double, std::milli>;

/// @brief Time until the slots have served all work ahead of a request.
struct queue_time
{
    real_ms expected{0};
    real_ms favourable{0};
};

auto time_of(const std::vector<work_ahead>& ahead, std::int64_t slots,
             const run_time_estimator& times, double favourable_deviations)
    -> queue_time
{
    double sum = 0;
    double known = 0;
    double variance = 0;
    for (const auto& line : ahead)
    {
        const auto count = static_cast<double>(line.count);
        const auto width = static_cast<double>(line.workload->each.slots);
        const real_ms mean = times.mean(*line.workload);
        const real_ms deviation = times.deviation(*line.workload);
        const auto spread = deviation.count() * width;
        sum += count * width * mean.count();
        if (times.is_learned(line.workload->name))
        {
            known += count * width * mean.count();
            variance += count * spread * spread;
        }
    }
    const auto least = known - favourable_deviations * std::sqrt(variance);
    const auto servers = static_cast<double>(slots);
    return {real_ms(sum / servers), real_ms(std::max(least, 0.0) / servers)};
}

} // namespace

admission_controller::admission_controller(admission_options options)
    : m_options(options)
{
}

auto admission_controller::judge(const plan::workload& workload,
                                 time_point deadline,
                                 const std::vector<work_ahead>& ahead,
                                 std::int64_t slots,
                                 const run_time_estimator& times,
                                 time_point now) const -> admission_decision
{
    const real_ms slack = deadline - now;
    const bool is_learned = times.is_learned(workload.name);
    // Declared run times are often far off, so they never cause a refusal.
    const real_ms fastest = is_learned
                                ? times.quantile(workload, fastest_quantile)
                                : run_duration(0);
    if (slack.count() <= 0 || fastest > slack)
    {
        return refuse(admission_outcome::deadline_too_short, run_duration(0));
    }
    if (slots <= 0)
    {
        return {};
    }
    const auto queue =
        time_of(ahead, slots, times, m_options.favourable_deviations);
    const auto chance = [&](real_ms left)
    {
        return times.probability_within(
            workload.name, std::chrono::duration_cast<run_duration>(left));
    };
    const auto left = slack - queue.favourable;
    if (left.count() > 0 &&
        chance(left) >= chance(slack) * m_options.min_relative_chance)
    {
        return {};
    }
    const real_ms needed =
        is_learned ? times.quantile(workload, m_options.min_relative_chance)
                   : run_duration(0);
    const auto excess = queue.expected + std::min(needed, slack) - slack;
    return refuse(admission_outcome::queue_too_long,
                  std::chrono::duration_cast<run_duration>(excess));
}

auto admission_controller::latest_start(const plan::workload& workload,
                                        time_point deadline,
                                        const run_time_estimator& times) const
    -> time_point
{
    return times.is_learned(workload.name)
               ? deadline -
                     times.quantile(workload, m_options.min_relative_chance)
               : deadline;
}

auto admission_controller::refuse(admission_outcome outcome,
                                  run_duration retry_after) const
    -> admission_decision
{
    const auto wait = std::chrono::ceil<milliseconds>(retry_after);
    return {outcome, std::clamp(wait, m_options.min_retry_after,
                                m_options.max_retry_after)};
}

} // namespace pimentoshunt::policy
