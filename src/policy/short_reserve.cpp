#include <pimentoshunt/policy/short_reserve.hpp>

#include <algorithm> // max
#include <cmath>     // exp2, ceil

namespace pimentoshunt::policy
{

namespace
{

auto max_of(double peak, std::int64_t use) -> double
{
    return std::max(peak, static_cast<double>(use));
}

auto excess_over(double peak, std::int64_t use) -> std::int64_t
{
    const auto whole = static_cast<std::int64_t>(std::ceil(peak));
    return std::max<std::int64_t>(whole - use, 0);
}

} // namespace

short_reserve::short_reserve(milliseconds half_life) : m_half_life(half_life)
{
}

auto short_reserve::record_usage(const resources& short_use, time_point now)
    -> void
{
    const auto before = decayed(now);
    m_peak.slots = max_of(before.slots, short_use.slots);
    m_peak.millicpus = max_of(before.millicpus, short_use.millicpus);
    m_peak.memory_mb = max_of(before.memory_mb, short_use.memory_mb);
    m_peak.accelerators = max_of(before.accelerators, short_use.accelerators);
    m_at = now;
}

auto short_reserve::required_free(const resources& short_use,
                                  time_point now) const -> resources
{
    const auto most = decayed(now);
    return {excess_over(most.slots, short_use.slots),
            excess_over(most.millicpus, short_use.millicpus),
            excess_over(most.memory_mb, short_use.memory_mb),
            excess_over(most.accelerators, short_use.accelerators)};
}

auto short_reserve::decayed(time_point now) const -> peak
{
    using real_ms = std::chrono::duration<double, std::milli>;
    const real_ms age = std::max(now - m_at, time_point::duration::zero());
    const auto factor = std::exp2(-age / real_ms(m_half_life));
    return {m_peak.slots * factor, m_peak.millicpus * factor,
            m_peak.memory_mb * factor, m_peak.accelerators * factor};
}

} // namespace pimentoshunt::policy
