/// @file
/// Tracks which instances follow the owner of a cell. While the store is
/// unreachable, any instance that does not may have taken over unnoticed.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::cell
{

/// @brief The instances that could take over the cell, as their hellos reach
/// its owner. Used by the control thread only.
class followers
{
  public:
    /// @brief Handles a hello.
    /// @param follows  whether the sender knows this owner as the latest
    /// @param beat_at  when the owner sent the last heartbeat that the sender
    ///                 has received; the hello itself may be delayed
    auto heard(const std::string& name, bool follows, time_point beat_at,
               time_point now) -> void;
    /// @brief Forgets an instance that stops and so will not take over.
    auto remove(const std::string& name) -> void;
    /// @brief Handles a confirmation of the ownership by the store: instances
    /// that have been silent for long have not taken over, and are forgotten.
    auto confirmed(time_point now) -> void;

    /// @brief Whether any instances are known and all of them followed
    /// recently.
    [[nodiscard]] auto all_follow(time_point now) const -> bool;

  private:
    struct entry
    {
        time_point heard_at;
        /// Empty if the instance follows another owner or none.
        std::optional<time_point> followed_at;
    };

    std::map<std::string, entry> m_known;
};

} // namespace pimentoshunt::cell
