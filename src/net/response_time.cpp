#include <pimentoshunt/net/response_time.hpp>

#include <algorithm> // clamp, max, min
#include <cmath>     // abs

namespace pimentoshunt::net
{
namespace
{

/// Weights and factor of RFC 6298.
constexpr double mean_weight = 1.0 / 8.0;
constexpr double deviation_weight = 1.0 / 4.0;
constexpr double deviations = 4.0;
/// Three doublings: eight times the usual limit is an outage.
constexpr std::uint32_t most_doublings = 3;

} // namespace

auto response_time::answered(milliseconds took) -> void
{
    const real_milliseconds sample(took);
    m_unanswered = 0;
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

auto response_time::unanswered(time_point began, time_point now) -> void
{
    if (began < m_doubled_at)
    {
        return;
    }
    m_doubled_at = now;
    m_unanswered = std::min(m_unanswered + 1, most_doublings);
}

auto response_time::limit(milliseconds least, milliseconds most) const
    -> milliseconds
{
    if (!m_mean)
    {
        return most;
    }
    const auto usual =
        std::chrono::ceil<milliseconds>(*m_mean + deviations * m_deviation);
    const auto limit = std::max(least, usual) * (1u << m_unanswered);
    return std::min(limit, most);
}

} // namespace pimentoshunt::net
