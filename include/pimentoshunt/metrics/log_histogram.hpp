/// @file
/// A histogram with logarithmic bins, for times and counts that span several
/// orders of magnitude.
#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint> // uint64_t
#include <tuple>   // tuple
#include <vector>  // vector

namespace pimentoshunt::metrics
{

/// @brief Range and resolution of a logarithmic axis.
struct log_axis
{
    double lower_limit = 0;
    double upper_limit = 0;
    /// Number of bins between the limits; the edges of each have the same
    /// ratio.
    unsigned bins = 0;
};

/// Bins for each factor of ten. Neighbouring edges differ by about an eighth,
/// which bounds the error of quantiles.
inline constexpr unsigned bins_per_decade = 20;
/// 0.1 ms to 1,000 s, in seconds.
inline constexpr log_axis time_axis{1e-4, 1e3, 7 * bins_per_decade};
/// 1 to 1,000 attempts.
inline constexpr log_axis attempt_axis{1, 1e3, 3 * bins_per_decade};

/// @brief One bucket of a cumulative histogram.
struct cumulative_bucket
{
    /// Values in the bucket are below this bound.
    double upper_bound = 0;
    std::uint64_t count = 0;
};

/// @brief Counts values by size. Not thread-safe.
class log_histogram
{
  public:
    /// @param axis  values outside its limits are counted in the underflow and
    ///              overflow bins, which quantiles take as the limits
    explicit log_histogram(const log_axis& axis);

    /// @brief Adds one value; a negative value counts as 0.
    auto observe(double value) -> void;

    /// @brief Adds all values of @p other, which must have the same axis.
    auto merge(const log_histogram& other) -> void;

    /// @brief Returns the value below which the fraction @p p of all values
    /// lies.
    /// @param p  clamped to 0 to 1
    /// @return 0 if there are no values; else exact to within one bin
    [[nodiscard]] auto quantile(double p) const -> double;

    /// @brief Number of values.
    [[nodiscard]] auto count() const noexcept -> std::uint64_t
    {
        return m_count;
    }

    /// @brief Sum of all values, negative ones as 0.
    [[nodiscard]] auto sum() const noexcept -> double
    {
        return m_sum;
    }

    /// @brief Cumulative counts at two edges for each factor of ten; the last
    /// bucket ends at the axis's upper limit.
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
