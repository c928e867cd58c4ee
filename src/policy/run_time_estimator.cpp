#include <pimentoshunt/policy/run_time_estimator.hpp>

#include <algorithm> // max, clamp
#include <cmath>     // sqrt

namespace pimentoshunt::policy
{

namespace
{

constexpr int bin_count = 160;
constexpr double shortest_ms = 0.01;
constexpr double longest_ms = 1e9;
/// Total weight at which all weights are halved, so that mainly the last
/// hundred runs count.
constexpr double halving_weight = 200.0;
/// Observed runs from which on the declared run time is ignored.
constexpr std::size_t min_learned_runs = 5;

using real_ms = std::chrono::duration<double, std::milli>;

auto to_duration(double ms) -> run_duration
{
    return std::chrono::duration_cast<run_duration>(real_ms(ms));
}

} // namespace

namespace detail
{

run_time_sample::run_time_sample()
    : m_bins(hist::make_histogram_with(
          hist::dense_storage<double>(),
          run_time_axis(bin_count, shortest_ms, longest_ms)))
{
}

auto run_time_sample::add(run_duration run_time) -> void
{
    const auto ms =
        std::clamp(real_ms(run_time).count(), shortest_ms, longest_ms * 0.99);
    m_bins(ms);
    m_weight += 1;
    m_sum_ms += ms;
    m_sum_squares += ms * ms;
    ++m_count;
    if (m_weight >= halving_weight)
    {
        decay();
    }
}

auto run_time_sample::quantile(double q) const -> run_duration
{
    const auto& axis = m_bins.axis();
    double below = 0;
    for (int i = 0; i < axis.size(); ++i)
    {
        below += m_bins[i];
        if (below > 0 && below >= q * m_weight)
        {
            return to_duration(axis.value(i + 0.5));
        }
    }
    return run_duration(0);
}

auto run_time_sample::fraction_within(run_duration limit) const -> double
{
    if (m_weight <= 0)
    {
        return 1;
    }
    const auto& axis = m_bins.axis();
    const auto ms = real_ms(limit).count();
    double within = 0;
    for (int i = 0; i < axis.size() && axis.value(i) < ms; ++i)
    {
        within += m_bins[i];
    }
    return within / m_weight;
}

auto run_time_sample::mean() const -> run_duration
{
    return m_weight > 0 ? to_duration(m_sum_ms / m_weight) : run_duration(0);
}

auto run_time_sample::deviation() const -> run_duration
{
    if (m_weight <= 0)
    {
        return run_duration(0);
    }
    const auto mean_ms = m_sum_ms / m_weight;
    const auto variance = m_sum_squares / m_weight - mean_ms * mean_ms;
    return to_duration(std::sqrt(std::max(variance, 0.0)));
}

auto run_time_sample::decay() -> void
{
    for (auto&& bin : m_bins)
    {
        bin *= 0.5;
    }
    m_weight *= 0.5;
    m_sum_ms *= 0.5;
    m_sum_squares *= 0.5;
}

} // namespace detail

auto run_time_estimator::observe(const workload_name& workload,
                                 run_duration run_time) -> void
{
    auto& known = m_known[workload];
    known.finished.add(run_time);
    known.running = run_duration(0);
}

auto run_time_estimator::observe_running(const workload_name& workload,
                                         run_duration so_far) -> void
{
    auto& known = m_known[workload];
    known.running = std::max(known.running, so_far);
}

auto run_time_estimator::quantile(const plan::workload& workload,
                                  double q) const -> run_duration
{
    const run_duration declared = workload.run_time;
    const auto* const known = find(workload.name);
    if (known == nullptr)
    {
        return declared;
    }
    if (known->finished.count() < min_learned_runs)
    {
        return std::max(declared, known->running);
    }
    return known->finished.quantile(q);
}

auto run_time_estimator::mean(const plan::workload& workload) const
    -> run_duration
{
    return is_learned(workload.name) ? find(workload.name)->finished.mean()
                                     : p50(workload);
}

auto run_time_estimator::deviation(const plan::workload& workload) const
    -> run_duration
{
    return is_learned(workload.name) ? find(workload.name)->finished.deviation()
                                     : p50(workload);
}

auto run_time_estimator::probability_within(const workload_name& workload,
                                            run_duration limit) const -> double
{
    return is_learned(workload)
               ? find(workload)->finished.fraction_within(limit)
               : 1;
}

auto run_time_estimator::is_learned(const workload_name& workload) const -> bool
{
    const auto* const known = find(workload);
    return known != nullptr && known->finished.count() >= min_learned_runs;
}

auto run_time_estimator::forget(const workload_name& workload) -> void
{
    m_known.erase(workload);
}

auto run_time_estimator::find(const workload_name& workload) const
    -> const workload_run_times*
{
    const auto found = m_known.find(workload);
    return found == m_known.end() ? nullptr : &found->second;
}

} // namespace pimentoshunt::policy
