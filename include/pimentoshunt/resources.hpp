/// @file
/// Resource amounts, as offered by workers and required by tasks.
#pragma once

#include <algorithm> // max
#include <compare>   // operator==
#include <cstdint>   // int64_t

namespace pimentoshunt
{

/// @brief A vector of resource amounts; member names state the units.
struct resources
{
    std::int64_t slots = 0;
    std::int64_t millicpus = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    friend auto operator==(const resources&, const resources&)
        -> bool = default;

    auto operator+=(const resources& other) noexcept -> resources&
    {
        slots += other.slots;
        millicpus += other.millicpus;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }

    auto operator-=(const resources& other) noexcept -> resources&
    {
        slots -= other.slots;
        millicpus -= other.millicpus;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend auto operator+(resources left, const resources& right) noexcept
        -> resources
    {
        return left += right;
    }

    friend auto operator-(resources left, const resources& right) noexcept
        -> resources
    {
        return left -= right;
    }

    /// @brief Whether no amount exceeds that of @p room.
    [[nodiscard]] auto fits_in(const resources& room) const noexcept -> bool
    {
        return slots <= room.slots && millicpus <= room.millicpus &&
               memory_mb <= room.memory_mb && accelerators <= room.accelerators;
    }

    /// @brief Whether any amount is negative.
    [[nodiscard]] auto negative() const noexcept -> bool
    {
        return slots < 0 || millicpus < 0 || memory_mb < 0 || accelerators < 0;
    }
};

} // namespace pimentoshunt
