#include <pimentoshunt/cell/policy/hand_over.hpp>

#include <algorithm> // max, min

namespace pimentoshunt::cell::policy
{

auto to_string(hand_over_reason why) -> std::string
{
    switch (why)
    {
    case hand_over_reason::store_fails_here:
        return "store calls fail on this instance only";
    case hand_over_reason::slow:
        return "timers of this instance are late";
    case hand_over_reason::larger_instance:
        break;
    }
    return "a larger instance is available";
}

auto hand_over_policy::condition_timer::update(bool now_true, time_point now)
    -> milliseconds
{
    if (!now_true)
    {
        m_since.reset();
        return milliseconds(0);
    }
    m_since = m_since.value_or(now);
    return std::chrono::duration_cast<milliseconds>(now - *m_since);
}

/// The delay between consecutive changes of the owner grows: each change costs
/// a load of the whole cell, and its cause may lie outside the owners.
auto hand_over_policy::min_tenure(const owner_health& own) const -> milliseconds
{
    if (own.brief_owners == 0)
    {
        return milliseconds(0);
    }
    const auto doublings =
        std::min(own.brief_owners - 1, m_options.max_doublings);
    return m_options.min_tenure * (1u << doublings);
}

auto hand_over_policy::decide(const owner_health& own,
                              const std::optional<candidate>& best,
                              time_point now) -> std::optional<hand_over_reason>
{
    const bool slow = own.lag > m_options.slow_threshold;
    const bool fails_only_here =
        own.store_fails_here && 2 * own.heard_with_store > own.heard;
    const auto fails_for = m_store_fails.update(fails_only_here, now);
    const auto slow_for = m_slow.update(slow && own.loaded, now);
    const bool larger = best && !has_enough_cpu(own.millicpus, m_succession) &&
                        best->millicpus >= 2 * own.millicpus;
    const auto larger_for = m_larger.update(larger, now);
    if (!best || own.held < min_tenure(own))
    {
        return std::nullopt;
    }
    if (fails_only_here &&
        (!slow || fails_for >= m_options.store_fails_slow_for))
    {
        return hand_over_reason::store_fails_here;
    }
    const bool is_large_enough = 2 * best->millicpus >= own.millicpus;
    if (is_large_enough && slow_for >= m_options.slow_for)
    {
        return hand_over_reason::slow;
    }
    const auto least = std::max(m_options.min_tenure_small, min_tenure(own));
    if (own.loaded && own.held >= least && larger_for >= m_options.larger_for)
    {
        return hand_over_reason::larger_instance;
    }
    return std::nullopt;
}

} // namespace pimentoshunt::cell::policy
