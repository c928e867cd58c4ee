#include <pimentoshunt/net/timeout_estimator.hpp>

#include <algorithm> // clamp, max, min
#include <cmath>     // abs

namespace pimentoshunt::net
{
namespace
{

/// Weights and factor from RFC 6298.
constexpr double mean_weight = 1.0 / 8.0;
constexpr double deviation_weight = 1.0 / 4.0;
constexpr double deviation_factor = 4.0;
/// Limits the timeout to eight times the usual one; a peer that takes longer is
/// treated as down.
constexpr std::uint32_t max_doublings = 3;

} // namespace

auto timeout_estimator::record_response(milliseconds took) -> void
{
    const real_milliseconds sample(took);
    m_timeouts_in_a_row = 0;
    if (!m_mean)
    {
        m_mean = sample;
        m_deviation = sample / 2;
        return;
    }
    const auto error = sample - *m_mean;
    m_deviation += (real_milliseconds(std::abs(error.count())) - m_deviation) *
                   deviation_weight;
    *m_mean += error * mean_weight;
}

auto timeout_estimator::record_timeout(time_point began, time_point now) -> void
{
    if (began < m_doubled_at)
    {
        return;
    }
    m_doubled_at = now;
    m_timeouts_in_a_row = std::min(m_timeouts_in_a_row + 1, max_doublings);
}

auto timeout_estimator::current_timeout(milliseconds min_timeout,
                                        milliseconds max_timeout) const
    -> milliseconds
{
    if (!m_mean)
    {
        return max_timeout;
    }
    const auto usual = std::chrono::ceil<milliseconds>(
        *m_mean + deviation_factor * m_deviation);
    const auto current_timeout =
        std::max(min_timeout, usual) * (1u << m_timeouts_in_a_row);
    return std::min(current_timeout, max_timeout);
}

} // namespace pimentoshunt::net
