#include <pimentoshunt/membership/member_table.hpp>

#include <algorithm> // max
#include <utility>   // move

namespace pimentoshunt::membership
{

auto to_string(member_state state) -> std::string
{
    switch (state)
    {
    case member_state::joining:
        return "joining";
    case member_state::ready:
        return "ready";
    case member_state::draining:
        return "draining";
    case member_state::left:
        return "left";
    }
    return "unknown";
}

auto member_table::merge(member news, time_point seen) -> bool
{
    const auto found = m_members.find(news.id);
    if (found == m_members.end())
    {
        news.last_alive = seen;
        m_members.emplace(news.id, std::move(news));
        return true;
    }
    auto& known = found->second;
    // A lower incarnation is an echo of an earlier life.
    if (news.incarnation < known.incarnation)
    {
        return false;
    }
    const bool reborn = news.incarnation > known.incarnation;
    const bool older =
        news.sequence < known.sequence ||
        (news.sequence == known.sequence && seen < known.last_alive);
    if (!reborn && older)
    {
        return false;
    }
    const bool changed = reborn || news.state != known.state;
    news.last_alive = seen;
    news.last_direct = known.last_direct;
    news.introduced_at = known.introduced_at;
    news.row_write_id = known.row_write_id;
    news.row_changed_at = known.row_changed_at;
    known = std::move(news);
    return changed;
}

auto member_table::heard(member news, time_point now) -> bool
{
    const auto id = news.id;
    const auto incarnation = news.incarnation;
    const bool changed = merge(std::move(news), now);
    auto& known = m_members.at(id);
    if (known.incarnation == incarnation)
    {
        known.last_direct = now;
    }
    return changed;
}

auto member_table::relayed(member news, std::chrono::microseconds age,
                           time_point now) -> bool
{
    // Each relay adds the time that the message was under way: the same
    // heartbeat, told in a circle, would seem younger with every round.
    const auto* const known = find(news.id);
    if (known != nullptr && known->last_alive != time_point{} &&
        known->incarnation == news.incarnation &&
        news.sequence <= known->sequence)
    {
        return false;
    }
    return merge(std::move(news), now - age);
}

auto member_table::introduced(member news, time_point now) -> void
{
    news.introduced_at = now;
    const auto write_id = std::exchange(news.row_write_id, {});
    const auto found = m_members.find(news.id);
    if (found == m_members.end())
    {
        const auto id = news.id;
        note_row(m_members[id] = std::move(news), write_id, now);
        return;
    }
    auto& known = found->second;
    if (news.incarnation > known.incarnation)
    {
        news.row_write_id = known.row_write_id;
        known = std::move(news);
    }
    known.introduced_at = now;
    note_row(known, write_id, now);
}

auto member_table::note_row(member& known, const std::string& write_id,
                            time_point now) -> void
{
    if (known.row_write_id != write_id)
    {
        known.row_write_id = write_id;
        known.row_changed_at = now;
    }
}

auto member_table::own_pause(std::chrono::nanoseconds length) -> void
{
    for (auto& [id, item] : m_members)
    {
        if (item.last_alive != time_point{})
        {
            item.last_alive += length;
        }
    }
}

auto member_table::forget_silent(time_point now) -> void
{
    for (auto item = m_members.begin(); item != m_members.end();)
    {
        const auto last_sign =
            std::max(item->second.last_alive, item->second.introduced_at);
        const bool silent = now - last_sign > m_limits.forget_after;
        item = silent ? m_members.erase(item) : std::next(item);
    }
}

auto member_table::alive(const member& item, time_point now) const -> bool
{
    return item.last_alive != time_point{} &&
           item.state != member_state::left &&
           now - item.last_alive <= m_limits.suspect_after;
}

auto member_table::alive(const instance_id& id, time_point now) const -> bool
{
    const auto* const item = find(id);
    return item != nullptr && alive(*item, now);
}

auto member_table::serving(const instance_id& id, std::uint64_t incarnation,
                           time_point now) const -> bool
{
    const auto* const item = find(id);
    return item != nullptr && item->incarnation == incarnation &&
           item->state == member_state::ready && alive(*item, now);
}

auto member_table::find(const instance_id& id) const -> const member*
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

} // namespace pimentoshunt::membership
