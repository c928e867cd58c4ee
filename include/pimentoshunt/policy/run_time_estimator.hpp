/// @file
/// Estimates run times per workload from observed runs, with decaying
/// histograms.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/plan/document.hpp>

#include <boost/histogram.hpp> // histogram, axis::regular

#include <chrono>        // nanoseconds
#include <cstddef>       // size_t
#include <unordered_map> // unordered_map

namespace pimentoshunt::policy
{

using run_duration = std::chrono::nanoseconds;

namespace detail
{

namespace hist = boost::histogram;
using run_time_axis = hist::axis::regular<double, hist::axis::transform::log>;
using run_time_histogram = decltype(hist::make_histogram_with(
    hist::dense_storage<double>(), run_time_axis(1, 1.0, 2.0)));

/// @brief Histogram of run times with logarithmic bins, in which recent runs
///        have a higher weight.
class run_time_sample
{
  public:
    run_time_sample();

    /// @brief Adds one finished run.
    auto add(run_duration run_time) -> void;

    /// @brief Quantile @p q of the weighted run times.
    /// @param q  0 to 1
    /// @return middle of the bin, within 10% of the true value; 0 if empty
    /// @complexity linear in the constant number of bins
    [[nodiscard]] auto quantile(double q) const -> run_duration;

    /// @brief Share of the runs that ended within @p limit; 1 if empty.
    [[nodiscard]] auto fraction_within(run_duration limit) const -> double;

    /// @brief Weighted mean; 0 if empty.
    [[nodiscard]] auto mean() const -> run_duration;

    /// @brief Weighted standard deviation; 0 if empty.
    [[nodiscard]] auto deviation() const -> run_duration;

    /// @brief Number of finished runs, without decay.
    [[nodiscard]] auto count() const noexcept -> std::size_t
    {
        return m_count;
    }

  private:
    auto decay() -> void;

    run_time_histogram m_bins;
    double m_weight = 0;
    double m_sum_ms = 0;
    double m_sum_squares = 0;
    std::size_t m_count = 0;
};

} // namespace detail

/// @brief Run time estimates per workload; the declared run time is used until
///        enough runs were observed.
class run_time_estimator
{
  public:
    /// @brief Records a run that ended with an answer.
    auto observe(const workload_name& workload, run_duration run_time) -> void;

    /// @brief Records that a run still in progress has lasted @p so_far.
    /// @note Without this lower bound, a workload with very long runs would be
    ///       taken for short until its first run ends.
    auto observe_running(const workload_name& workload, run_duration so_far)
        -> void;

    /// @brief Estimated quantile for @p workload.
    [[nodiscard]] auto quantile(const plan::workload& workload, double q) const
        -> run_duration;

    /// @brief Estimated median.
    [[nodiscard]] auto p50(const plan::workload& workload) const -> run_duration
    {
        return quantile(workload, 0.5);
    }

    /// @brief Estimated 99th percentile.
    [[nodiscard]] auto p99(const plan::workload& workload) const -> run_duration
    {
        return quantile(workload, 0.99);
    }

    /// @brief Estimated mean.
    [[nodiscard]] auto mean(const plan::workload& workload) const
        -> run_duration;

    /// @brief Estimated standard deviation; the median estimate until enough
    ///        runs were observed.
    [[nodiscard]] auto deviation(const plan::workload& workload) const
        -> run_duration;

    /// @brief Probability that a run ends within @p limit; 1 until enough runs
    ///        were observed.
    [[nodiscard]] auto probability_within(const workload_name& workload,
                                          run_duration limit) const -> double;

    /// @brief Whether the estimate is based on observed runs instead of the
    ///        declared run time.
    [[nodiscard]] auto is_learned(const workload_name& workload) const -> bool;

    /// @brief Removes the data of a workload that is no longer in the plan.
    auto forget(const workload_name& workload) -> void;

  private:
    struct workload_run_times
    {
        detail::run_time_sample finished;
        /// Longest observed time of a run in progress since the last finish.
        run_duration running{0};
    };

    [[nodiscard]] auto find(const workload_name& workload) const
        -> const workload_run_times*;

    std::unordered_map<workload_name, workload_run_times> m_known;
};

} // namespace pimentoshunt::policy
