/// @file
/// The platform's list of instances, which can lag or be frozen.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <boost/json.hpp> // array

#include <deque>  // deque
#include <mutex>  // mutex
#include <string> // string

namespace pimentoshunt::standins
{

/// @brief The list as it was at each change; safe to share by threads.
class instance_catalog
{
  public:
    /// @brief Replaces the whole list.
    auto replace(boost::json::array entries, time_point now) -> void;

    /// @brief Adds entries, or replaces those with the same "id".
    auto add(const boost::json::array& entries, time_point now) -> void;

    /// @brief Sets "state" of one entry.
    /// @return whether the entry is there
    auto set_state(const std::string& id, const std::string& state,
                   time_point now) -> bool;

    /// @brief Removes one entry.
    /// @return whether the entry was there
    auto remove(const std::string& id, time_point now) -> bool;

    /// @brief The list is shown as it was @p lag ago.
    auto set_lag(milliseconds lag) -> void;

    /// @brief Keeps what is shown at @p now, or shows changes again.
    auto set_frozen(bool frozen, time_point now) -> void;

    /// @brief What callers are shown.
    [[nodiscard]] auto published_entries(time_point now) -> boost::json::array;

    /// @brief The list as it truly is.
    [[nodiscard]] auto current_entries() -> boost::json::array;

  private:
    struct version
    {
        time_point since;
        boost::json::array entries;
    };

    auto add_version(boost::json::array entries, time_point now) -> void;
    auto prune_versions(time_point now) -> void;
    [[nodiscard]] auto find_visible_version(time_point now) const
        -> const boost::json::array&;

    std::mutex m_mutex;
    std::deque<version> m_versions{version{}};
    milliseconds m_lag{0};
    bool m_frozen = false;
    boost::json::array m_frozen_entries;
};

} // namespace pimentoshunt::standins
