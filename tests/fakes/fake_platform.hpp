/// @file
/// In-memory platform for unit tests: a table, objects and an instance list,
/// without latency. The test decides which calls fail.
#pragma once

#include <pimentoshunt/platform/port.hpp>

#include <cstddef> // size_t
#include <map>     // map
#include <mutex>   // mutex
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::tests
{

/// @brief Models platform::port; thread-safe.
class fake_platform
{
  public:
    /// @brief While down, calls have no effect and fail with platform::not_sent.
    auto set_down(bool down) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_down = down;
    }

    /// @brief The next @p count commits take effect but fail with
    /// platform::outcome_unknown.
    auto lose_replies(int count) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_lost_replies = count;
    }

    /// @brief The next @p count commits have no effect and fail with
    /// platform::outcome_unknown.
    auto lose_requests(int count) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_lost_requests = count;
    }

    /// @brief Sets the result of instances().
    auto set_instances(platform::instance_list list) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_instances = std::move(list);
    }

    /// @brief Number of commits that reached the table, with conflicts and lost
    /// replies.
    [[nodiscard]] auto commits() const -> int
    {
        const std::lock_guard lock(m_mutex);
        return m_commits;
    }

    [[nodiscard]] auto read(const std::string& key)
        -> result<std::optional<platform::row>>
    {
        const std::lock_guard lock(m_mutex);
        if (m_down)
        {
            return unreachable();
        }
        const auto found = m_rows.find(key);
        if (found == m_rows.end())
        {
            return std::optional<platform::row>();
        }
        return std::optional<platform::row>(found->second);
    }

    [[nodiscard]] auto scan(const std::string& prefix, const std::string& after,
                            std::size_t limit)
        -> result<std::vector<platform::row>>
    {
        const std::lock_guard lock(m_mutex);
        if (m_down)
        {
            return unreachable();
        }
        std::vector<platform::row> out;
        for (const auto& [key, item] : m_rows)
        {
            if (out.size() < limit && key > after &&
                key.compare(0, prefix.size(), prefix) == 0)
            {
                out.push_back(item);
            }
        }
        return out;
    }

    [[nodiscard]] auto commit(const platform::transaction& change)
        -> result<platform::commit_outcome>
    {
        const std::lock_guard lock(m_mutex);
        if (m_down)
        {
            return unreachable();
        }
        if (m_lost_requests > 0)
        {
            --m_lost_requests;
            return unknown();
        }
        ++m_commits;
        auto outcome = apply(change);
        if (m_lost_replies > 0)
        {
            --m_lost_replies;
            return unknown();
        }
        return outcome;
    }

    [[nodiscard]] auto put_object(const std::string& name,
                                  const std::string& bytes) -> result<void>
    {
        const std::lock_guard lock(m_mutex);
        if (m_down)
        {
            return unreachable();
        }
        m_objects[name] = bytes;
        return {};
    }

    [[nodiscard]] auto get_object(const std::string& name)
        -> result<std::optional<std::string>>
    {
        const std::lock_guard lock(m_mutex);
        if (m_down)
        {
            return unreachable();
        }
        const auto found = m_objects.find(name);
        if (found == m_objects.end())
        {
            return std::optional<std::string>();
        }
        return std::optional<std::string>(found->second);
    }

    [[nodiscard]] auto instances() -> result<platform::instance_list>
    {
        const std::lock_guard lock(m_mutex);
        if (m_down)
        {
            return unreachable();
        }
        return m_instances;
    }

  private:
    static auto unreachable() -> leaf::error_id
    {
        return leaf::new_error(error{error_kind::platform, platform::not_sent,
                                     "fake", "the platform is down",
                                     "call set_down(false)"});
    }

    static auto unknown() -> leaf::error_id
    {
        return leaf::new_error(
            error{error_kind::platform, platform::outcome_unknown, "fake",
                  "the reply to the commit is lost", "read the rows back"});
    }

    /// Writes all rows, or none if a row has another version than expected.
    auto apply(const platform::transaction& change) -> platform::commit_outcome
    {
        platform::commit_outcome out;
        for (const auto& operation : change.operations)
        {
            const auto found = m_rows.find(operation.key);
            const auto version =
                found == m_rows.end() ? 0 : found->second.version;
            if (operation.expect != platform::expect_any &&
                operation.expect != version)
            {
                const auto writer =
                    version == 0 ? std::string() : found->second.write_id;
                out.conflicts.push_back({operation.key, {}, version, writer});
            }
        }
        out.committed = out.conflicts.empty();
        for (const auto& operation : change.operations)
        {
            if (!out.committed)
            {
                break;
            }
            if (!operation.value)
            {
                m_rows.erase(operation.key);
                continue;
            }
            auto& item = m_rows[operation.key];
            item = {operation.key, *operation.value, item.version + 1,
                    change.write_id};
        }
        return out;
    }

    mutable std::mutex m_mutex;
    std::map<std::string, platform::row> m_rows;
    std::map<std::string, std::string> m_objects;
    platform::instance_list m_instances;
    bool m_down = false;
    int m_lost_replies = 0;
    int m_lost_requests = 0;
    int m_commits = 0;
};

static_assert(platform::port<fake_platform>);

} // namespace pimentoshunt::tests
