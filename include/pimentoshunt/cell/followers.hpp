/// @file
/// Which instances follow the owner of a cell: while the store is away, any
/// other one may have taken the cell over unnoticed.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::cell
{

/// @brief The instances that could take the cell over, as its owner hears them.
class followers
{
  public:
    /// @brief An instance has greeted the owner.
    /// @param follows  whether it knows this owner as the latest
    /// @param beat_at  when the owner sent the beat that the instance had heard
    ///                 last: the greeting itself may come late
    auto heard(const std::string& name, bool follows, time_point beat_at,
               time_point now) -> void;
    /// @brief An instance stops: it takes nothing over any more.
    auto remove(const std::string& name) -> void;
    /// @brief The store has confirmed the ownership: those that have been
    /// silent for long have not taken the cell over, and are forgotten.
    auto confirmed(time_point now) -> void;

    /// @brief Whether there are some, and each followed a moment ago.
    [[nodiscard]] auto all_follow(time_point now) const -> bool;

  private:
    struct entry
    {
        time_point heard_at;
        /// Nothing: it follows another owner, or none.
        std::optional<time_point> followed_at;
    };

    std::map<std::string, entry> m_known;
};

} // namespace pimentoshunt::cell
