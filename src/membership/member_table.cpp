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

auto member_table::merge(member update, time_point seen) -> bool
{
    const auto found = m_members.find(update.id);
    if (found == m_members.end())
    {
        update.last_alive = seen;
        m_members.emplace(update.id, std::move(update));
        return true;
    }
    auto& known = found->second;
    // A lower incarnation is a delayed message of an earlier start.
    if (update.incarnation < known.incarnation)
    {
        return false;
    }
    const bool is_restarted = update.incarnation > known.incarnation;
    const bool older =
        update.sequence < known.sequence ||
        (update.sequence == known.sequence && seen < known.last_alive);
    if (!is_restarted && older)
    {
        return false;
    }
    const bool changed = is_restarted || update.state != known.state;
    update.last_alive = seen;
    update.last_direct = known.last_direct;
    update.table_read_at = known.table_read_at;
    update.row_write_id = known.row_write_id;
    update.row_changed_at = known.row_changed_at;
    known = std::move(update);
    return changed;
}

auto member_table::heard(member update, time_point now) -> bool
{
    const auto id = update.id;
    const auto incarnation = update.incarnation;
    const bool changed = merge(std::move(update), now);
    auto& known = m_members.at(id);
    if (known.incarnation == incarnation)
    {
        known.last_direct = now;
    }
    return changed;
}

auto member_table::relayed(member update, std::chrono::microseconds age,
                           time_point now) -> bool
{
    // A relayed age does not include transit times. A heartbeat relayed in a
    // cycle would therefore seem more recent with every round; only a higher
    // sequence number counts.
    const auto* const known = find(update.id);
    if (known != nullptr && known->last_alive != time_point{} &&
        known->incarnation == update.incarnation &&
        update.sequence <= known->sequence)
    {
        return false;
    }
    return merge(std::move(update), now - age);
}

auto member_table::add_from_table(member update, time_point now) -> void
{
    update.table_read_at = now;
    const auto write_id = std::exchange(update.row_write_id, {});
    const auto found = m_members.find(update.id);
    if (found == m_members.end())
    {
        const auto id = update.id;
        update_row(m_members[id] = std::move(update), write_id, now);
        return;
    }
    auto& known = found->second;
    if (update.incarnation > known.incarnation)
    {
        update.row_write_id = known.row_write_id;
        known = std::move(update);
    }
    known.table_read_at = now;
    update_row(known, write_id, now);
}

auto member_table::update_row(member& known, const std::string& write_id,
                              time_point now) -> void
{
    if (known.row_write_id != write_id)
    {
        known.row_write_id = write_id;
        known.row_changed_at = now;
    }
}

auto member_table::compensate_pause(std::chrono::nanoseconds length) -> void
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
            std::max(item->second.last_alive, item->second.table_read_at);
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
