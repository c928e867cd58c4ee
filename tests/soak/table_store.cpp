#include "table_store.hpp"

#include <algorithm> // all_of, min
#include <utility>   // move

namespace pimentoshunt::soak
{
namespace
{

constexpr std::size_t max_rows = 500;
constexpr std::size_t max_history = 20'000;

auto sort_key(const cell::row_key& at)
{
    return std::tuple(at.table, at.part, at.key);
}

} // namespace

auto table_store::is_satisfied(const cell::row_condition& condition) const
    -> bool
{
    const auto found = find(condition.at);
    return (found ? found->version : 0) == condition.version;
}

auto table_store::apply(const cell::row_transaction& transaction)
    -> store_outcome
{
    store_outcome out;
    out.committed = std::all_of(transaction.conditions.begin(),
                                transaction.conditions.end(),
                                [&](const cell::row_condition& condition)
                                {
                                    return is_satisfied(condition);
                                });
    if (!out.committed)
    {
        for (const auto& condition : transaction.conditions)
        {
            if (auto row = find(condition.at))
            {
                out.current.push_back(std::move(*row));
            }
        }
        return out;
    }
    ++m_version;
    for (const auto& write : transaction.writes)
    {
        const cell::stored_row row{write.at, write.value, m_version, false};
        m_rows[sort_key(write.at)] = row;
        append_history(row);
    }
    for (const auto& at : transaction.removals)
    {
        if (m_rows.erase(sort_key(at)) > 0)
        {
            append_history({at, "", m_version, true});
        }
    }
    return out;
}

auto table_store::read(const cell::row_range& range, std::size_t limit) const
    -> store_page
{
    const auto page_size = limit == 0 ? max_rows : std::min(limit, max_rows);
    store_page out;
    for (auto item = m_rows.lower_bound({range.table, range.part, range.from});
         item != m_rows.end(); ++item)
    {
        const auto& at = item->second.at;
        const bool inside = at.table == range.table && at.part == range.part &&
                            (range.until.empty() || at.key < range.until);
        if (!inside)
        {
            break;
        }
        if (out.rows.size() == page_size)
        {
            out.more = true;
            break;
        }
        out.rows.push_back(item->second);
    }
    return out;
}

auto table_store::changes(const std::string& table, std::uint64_t after) const
    -> std::optional<std::vector<cell::stored_row>>
{
    if (after < m_trimmed_version)
    {
        return std::nullopt;
    }
    std::vector<cell::stored_row> out;
    for (auto row = m_history.rbegin();
         row != m_history.rend() && row->version > after; ++row)
    {
        if (row->at.table == table)
        {
            out.push_back(*row);
        }
    }
    return std::vector<cell::stored_row>(out.rbegin(), out.rend());
}

auto table_store::find(const cell::row_key& at) const
    -> std::optional<cell::stored_row>
{
    const auto found = m_rows.find(sort_key(at));
    return found == m_rows.end() ? std::nullopt : std::optional(found->second);
}

auto table_store::trim_history(std::size_t changes) -> void
{
    while (m_history.size() > changes)
    {
        m_trimmed_version = m_history.front().version;
        m_history.pop_front();
    }
}

auto table_store::append_history(cell::stored_row row) -> void
{
    m_history.push_back(std::move(row));
    trim_history(max_history);
}

} // namespace pimentoshunt::soak
