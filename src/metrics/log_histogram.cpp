#include <pimentoshunt/metrics/log_histogram.hpp>

#include <algorithm> // clamp, max

namespace pimentoshunt::metrics
{
namespace
{

constexpr int underflow_bin = -1;
constexpr unsigned bins_per_bucket = bins_per_decade / 2;

} // namespace

log_histogram::log_histogram(const log_axis& axis)
    : m_bins(std::make_tuple(
                 axis_type(axis.bins, axis.lower_limit, axis.upper_limit)),
             storage_type())
{
}

auto log_histogram::observe(double value) -> void
{
    const auto counted = std::max(value, 0.0);
    m_bins(counted);
    ++m_count;
    m_sum += counted;
}

auto log_histogram::merge(const log_histogram& other) -> void
{
    m_bins += other.m_bins;
    m_count += other.m_count;
    m_sum += other.m_sum;
}

auto log_histogram::quantile(double p) const -> double
{
    if (m_count == 0)
    {
        return 0;
    }
    const auto& axis = m_bins.axis();
    const auto rank = std::clamp(p, 0.0, 1.0) * static_cast<double>(m_count);
    auto below = static_cast<double>(m_bins.at(underflow_bin));
    if (rank <= below && below > 0)
    {
        return axis.value(0);
    }
    for (int i = 0; i < axis.size(); ++i)
    {
        const auto here = static_cast<double>(m_bins.at(i));
        if (here > 0 && rank <= below + here)
        {
            return axis.value(i + (rank - below) / here);
        }
        below += here;
    }
    return axis.value(axis.size());
}

auto log_histogram::buckets() const -> std::vector<cumulative_bucket>
{
    const auto& axis = m_bins.axis();
    std::vector<cumulative_bucket> points;
    std::uint64_t below = m_bins.at(underflow_bin);
    for (int i = 0; i < axis.size(); ++i)
    {
        below += m_bins.at(i);
        if ((i + 1) % static_cast<int>(bins_per_bucket) == 0)
        {
            points.push_back({axis.value(i + 1), below});
        }
    }
    return points;
}

} // namespace pimentoshunt::metrics
