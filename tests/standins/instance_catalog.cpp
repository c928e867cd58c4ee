#include "instance_catalog.hpp"

#include "json_access.hpp"

#include <algorithm> // find_if
#include <utility>   // move

namespace pimentoshunt::standins
{
namespace
{

auto find_entry(json::array& entries, const std::string& id) -> json::value*
{
    const auto found =
        std::find_if(entries.begin(), entries.end(),
                     [&](const json::value& entry)
                     {
                         return text_of(entry.as_object(), "id") == id;
                     });
    return found == entries.end() ? nullptr : &*found;
}

} // namespace

auto instance_catalog::replace(json::array entries, time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    push(std::move(entries), now);
}

auto instance_catalog::add(const json::array& entries, time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    auto next = m_versions.back().entries;
    for (const auto& entry : entries)
    {
        auto* known = find_entry(next, text_of(entry.as_object(), "id"));
        if (known == nullptr)
        {
            next.push_back(entry);
        }
        else
        {
            *known = entry;
        }
    }
    push(std::move(next), now);
}

auto instance_catalog::set_state(const std::string& id,
                                 const std::string& state, time_point now)
    -> bool
{
    const std::lock_guard lock(m_mutex);
    auto next = m_versions.back().entries;
    auto* entry = find_entry(next, id);
    if (entry == nullptr)
    {
        return false;
    }
    entry->as_object()["state"] = state;
    push(std::move(next), now);
    return true;
}

auto instance_catalog::remove(const std::string& id, time_point now) -> bool
{
    const std::lock_guard lock(m_mutex);
    auto next = m_versions.back().entries;
    auto* entry = find_entry(next, id);
    if (entry == nullptr)
    {
        return false;
    }
    next.erase(next.begin() + (entry - next.data()));
    push(std::move(next), now);
    return true;
}

auto instance_catalog::set_lag(milliseconds lag) -> void
{
    const std::lock_guard lock(m_mutex);
    m_lag = lag;
}

auto instance_catalog::set_frozen(bool frozen, time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    if (frozen && !m_frozen)
    {
        m_frozen_entries = visible(now);
    }
    m_frozen = frozen;
}

auto instance_catalog::shown(time_point now) -> json::array
{
    const std::lock_guard lock(m_mutex);
    prune(now);
    return m_frozen ? m_frozen_entries : visible(now);
}

auto instance_catalog::truth() -> json::array
{
    const std::lock_guard lock(m_mutex);
    return m_versions.back().entries;
}

auto instance_catalog::push(json::array entries, time_point now) -> void
{
    m_versions.push_back({now, std::move(entries)});
}

auto instance_catalog::prune(time_point now) -> void
{
    // The second oldest is visible already: the oldest never is again.
    while (m_versions.size() > 1 && m_versions[1].since + m_lag <= now)
    {
        m_versions.pop_front();
    }
}

auto instance_catalog::visible(time_point now) const -> const json::array&
{
    const auto* shown = &m_versions.front();
    for (const auto& candidate : m_versions)
    {
        if (candidate.since + m_lag <= now)
        {
            shown = &candidate;
        }
    }
    return shown->entries;
}

} // namespace pimentoshunt::standins
