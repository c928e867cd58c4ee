/// @file
/// A histogram on a logarithmic axis, with quantiles.
#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint> // uint64_t
#include <tuple>   // tuple
#include <vector>  // vector

namespace pimentoshunt::metrics
{

/// @brief The ends of a logarithmic axis.
struct log_axis
{
    double lower_limit = 0;
    double upper_limit = 0;
    /// Between them; all of the same ratio.
    unsigned bins = 0;
};

/// Bins for each factor of ten; neighbouring edges differ by an eighth.
inline constexpr unsigned bins_per_decade = 20;
/// 0.1 ms to 1,000 s, in seconds.
inline constexpr log_axis time_axis{1e-4, 1e3, 7 * bins_per_decade};
/// 1 to 1,000 attempts.
inline constexpr log_axis attempt_axis{1, 1e3, 3 * bins_per_decade};

/// @brief One point of a cumulative distribution.
struct cumulative_bucket
{
    /// Upper end, exclusive.
    double upper_bound = 0;
    std::uint64_t count = 0;
};

/// @brief Counts of values by size. Not safe between threads.
class log_histogram
{
  public:
    /// @param axis  values below or above it are counted at its ends
    explicit log_histogram(const log_axis& axis);

    /// @brief Counts one value.
    auto observe(double value) -> void;

    /// @brief Adds all counts of @p other, which has the same axis.
    auto merge(const log_histogram& other) -> void;

    /// @brief The value below which the share @p p of all values lies.
    /// @param p  from 0 to 1
    /// @return 0 without values; else exact to within one bin
    [[nodiscard]] auto quantile(double p) const -> double;

    /// @brief How many values were counted.
    [[nodiscard]] auto count() const noexcept -> std::uint64_t
    {
        return m_count;
    }

    /// @brief The sum of all values.
    [[nodiscard]] auto sum() const noexcept -> double
    {
        return m_sum;
    }

    /// @brief Cumulative counts at two edges a decade, the last at the end of
    /// the axis.
    [[nodiscard]] auto buckets() const -> std::vector<cumulative_bucket>;

  private:
    using axis_type =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using storage_type =
        boost::histogram::storage_adaptor<std::vector<std::uint64_t>>;

    boost::histogram::histogram<std::tuple<axis_type>, storage_type> m_bins;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

} // namespace pimentoshunt::metrics
