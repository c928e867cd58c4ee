/// @file
/// Identity under which an instance holds the epoch of a worker: its ID and
/// incarnation.
#pragma once

#include <pimentoshunt/identifier.hpp>

#include <cstdint> // uint64_t
#include <string>  // string

namespace pimentoshunt::ownership
{

/// @brief One incarnation of an instance, which may hold workers.
struct holder
{
    instance_id id;
    std::uint64_t incarnation = 0;

    friend auto operator==(const holder&, const holder&) -> bool = default;

    /// @brief The holder's name in a fence request: "i1#42".
    [[nodiscard]] auto str() const -> std::string;

    /// @brief Parses the result of str(); returns an empty holder for any other
    ///        text.
    [[nodiscard]] static auto parse(const std::string& text) -> holder;
};

} // namespace pimentoshunt::ownership
