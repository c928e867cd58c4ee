/// @file
/// The name under which an instance holds the epoch of a worker.
#pragma once

#include <pimentoshunt/identifier.hpp>

#include <cstdint> // uint64_t
#include <string>  // string

namespace pimentoshunt::ownership
{

/// @brief One life of one instance.
struct holder
{
    instance_id id;
    std::uint64_t incarnation = 0;

    friend auto operator==(const holder&, const holder&) -> bool = default;

    /// @brief "i1#42", as it stands in a fence.
    [[nodiscard]] auto str() const -> std::string;

    /// @brief Reads what str() wrote; anything else gives an empty holder.
    [[nodiscard]] static auto parse(const std::string& text) -> holder;
};

} // namespace pimentoshunt::ownership
