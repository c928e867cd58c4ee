/// @file
/// The lives of instances that the control thread takes for alive, published
/// for traffic threads.
#pragma once

#include <pimentoshunt/ownership/holder.hpp>

#include <mutex>         // mutex
#include <string>        // string
#include <unordered_set> // unordered_set
#include <utility>       // move

namespace pimentoshunt::membership
{

/// @brief A set of "instance#incarnation"; one writer, many readers.
class live_holders
{
  public:
    /// @brief Replaces the set.
    auto set(std::unordered_set<std::string> names) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_names = std::move(names);
    }

    /// @brief Whether that life is taken for alive.
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
