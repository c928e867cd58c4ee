#include <pimentoshunt/cell/followers.hpp>

#include <algorithm> // all_of

namespace pimentoshunt::cell
{
namespace
{

/// After a longer time without a heartbeat an instance may follow another
/// owner. Must be shorter than the time that a later owner lets an earlier one
/// continue.
constexpr milliseconds max_beat_age{1'300};
/// An instance that has been silent for this long has left for good.
constexpr milliseconds forget_after{60'000};

} // namespace

auto followers::heard(const std::string& name, bool follows, time_point beat_at,
                      time_point now) -> void
{
    auto& item = m_known[name];
    item.heard_at = now;
    item.followed_at = follows ? std::optional(beat_at) : std::nullopt;
}

auto followers::remove(const std::string& name) -> void
{
    m_known.erase(name);
}

auto followers::confirmed(time_point now) -> void
{
    std::erase_if(m_known,
                  [&](const auto& item)
                  {
                      return now - item.second.heard_at > forget_after;
                  });
}

auto followers::all_follow(time_point now) const -> bool
{
    return !m_known.empty() &&
           std::all_of(m_known.begin(), m_known.end(),
                       [&](const auto& item)
                       {
                           const auto& at = item.second.followed_at;
                           return at && now - *at < max_beat_age;
                       });
}

} // namespace pimentoshunt::cell
