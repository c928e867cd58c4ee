#include "table.hpp"

#include <utility> // move

namespace pimentoshunt::standins
{
namespace
{

auto begins_with(const std::string& text, const std::string& prefix) -> bool
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

auto table::read(const std::string& key) const -> std::optional<platform::row>
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_rows.find(key);
    if (found == m_rows.end())
    {
        return std::nullopt;
    }
    return found->second;
}

auto table::scan(const std::string& prefix, const std::string& after,
                 std::size_t limit) const -> std::vector<platform::row>
{
    const std::lock_guard lock(m_mutex);
    std::vector<platform::row> rows;
    const auto from_start = after.empty() || after < prefix;
    auto next =
        from_start ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
    while (next != m_rows.end() && rows.size() < limit &&
           begins_with(next->first, prefix))
    {
        rows.push_back(next->second);
        ++next;
    }
    return rows;
}

auto table::commit(const platform::transaction& change) -> commit_result
{
    const std::lock_guard lock(m_mutex);
    commit_result answer;
    answer.conflicts = find_conflicts(change);
    if (!answer.conflicts.empty())
    {
        return answer;
    }
    answer.committed = true;
    for (const auto& operation : change.operations)
    {
        answer.versions.push_back(apply(operation, change.write_id));
    }
    return answer;
}

auto table::find_conflicts(const platform::transaction& change) const
    -> std::vector<platform::row>
{
    std::vector<platform::row> conflicts;
    for (const auto& operation : change.operations)
    {
        const auto found = m_rows.find(operation.key);
        const auto exists = found != m_rows.end();
        const auto version = exists ? found->second.version : 0;
        if (operation.expect != platform::expect_any &&
            operation.expect != version)
        {
            conflicts.push_back({operation.key, "", version,
                                 exists ? found->second.write_id : ""});
        }
    }
    return conflicts;
}

auto table::apply(const platform::operation& change,
                  const std::string& write_id) -> std::int64_t
{
    if (!change.value.has_value())
    {
        m_rows.erase(change.key);
        return 0;
    }
    auto& row = m_rows[change.key];
    row.key = change.key;
    row.value = *change.value;
    row.write_id = write_id;
    return ++row.version;
}

auto object_store::put(const std::string& name, std::string bytes) -> void
{
    const std::lock_guard lock(m_mutex);
    m_objects[name] = std::move(bytes);
}

auto object_store::get(const std::string& name) const
    -> std::optional<std::string>
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
    {
        return std::nullopt;
    }
    return found->second;
}

} // namespace pimentoshunt::standins
