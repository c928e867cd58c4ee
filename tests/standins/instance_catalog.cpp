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
    add_version(std::move(entries), now);
}

auto instance_catalog::add(const json::array& entries, time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    auto next = m_versions.back().entries;
    for (const auto& entry : entries)
    {
        auto* existing = find_entry(next, text_of(entry.as_object(), "id"));
        if (existing == nullptr)
        {
            next.push_back(entry);
        }
        else
        {
            *existing = entry;
        }
    }
    add_version(std::move(next), now);
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
    add_version(std::move(next), now);
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
    add_version(std::move(next), now);
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
        m_frozen_entries = find_visible_version(now);
    }
    m_frozen = frozen;
}

auto instance_catalog::published_entries(time_point now) -> json::array
{
    const std::lock_guard lock(m_mutex);
    prune_versions(now);
    return m_frozen ? m_frozen_entries : find_visible_version(now);
}

auto instance_catalog::current_entries() -> json::array
{
    const std::lock_guard lock(m_mutex);
    return m_versions.back().entries;
}

auto instance_catalog::add_version(json::array entries, time_point now) -> void
{
    m_versions.push_back({now, std::move(entries)});
}

auto instance_catalog::prune_versions(time_point now) -> void
{
    // Once the second oldest version is visible, the oldest is never read
    // again.
    while (m_versions.size() > 1 && m_versions[1].since + m_lag <= now)
    {
        m_versions.pop_front();
    }
}

auto instance_catalog::find_visible_version(time_point now) const
    -> const json::array&
{
    const auto* newest = &m_versions.front();
    for (const auto& candidate : m_versions)
    {
        if (candidate.since + m_lag <= now)
        {
            newest = &candidate;
        }
    }
    return newest->entries;
}

} // namespace pimentoshunt::standins
