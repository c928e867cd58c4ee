/// @file
/// Set of the instance incarnations that count as alive, published by the
/// control thread for traffic threads.
#pragma once

#include <pimentoshunt/ownership/holder.hpp>

#include <mutex>         // mutex
#include <string>        // string
#include <unordered_set> // unordered_set
#include <utility>       // move

namespace pimentoshunt::membership
{

/// @brief Thread-safe set of names of the form "instance#incarnation".
class live_holders
{
  public:
    /// @brief Replaces the set.
    auto set(std::unordered_set<std::string> names) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_names = std::move(names);
    }

    /// @brief Whether the incarnation @p name counts as alive.
    [[nodiscard]] auto contains(const std::string& name) const -> bool
    {
        const std::lock_guard lock(m_mutex);
        return m_names.count(name) != 0;
    }

  private:
    mutable std::mutex m_mutex;
    std::unordered_set<std::string> m_names;
};

} // namespace pimentoshunt::membership
