/// @file
/// The platform stand-in's list of instances and workers. Tests change the
/// list and can make readers see a delayed or frozen copy.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <boost/json.hpp> // array

#include <deque>  // deque
#include <mutex>  // mutex
#include <string> // string

namespace pimentoshunt::standins
{

/// @brief Keeps the versions of the list that readers may still see.
/// Thread-safe.
class instance_catalog
{
  public:
    /// @brief Replaces the whole list.
    auto replace(boost::json::array entries, time_point now) -> void;

    /// @brief Adds entries; an entry with a known "id" replaces the old one.
    auto add(const boost::json::array& entries, time_point now) -> void;

    /// @brief Sets "state" of one entry.
    /// @return whether an entry has this id
    auto set_state(const std::string& id, const std::string& state,
                   time_point now) -> bool;

    /// @brief Removes one entry.
    /// @return whether an entry had this id
    auto remove(const std::string& id, time_point now) -> bool;

    /// @brief Publishes each change with the delay @p lag.
    auto set_lag(milliseconds lag) -> void;

    /// @brief Freezes the published list as of @p now, or publishes changes
    /// again.
    auto set_frozen(bool frozen, time_point now) -> void;

    /// @brief The list as readers of the platform see it.
    [[nodiscard]] auto published_entries(time_point now) -> boost::json::array;

    /// @brief The latest list, regardless of lag and freeze.
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
