/// @file
/// An instance's row in the table, by which others learn its address.
#pragma once

#include <pimentoshunt/membership/member_table.hpp>

#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::membership
{

/// @brief The row's value: JSON with id, incarnation, addresses, data centre.
[[nodiscard]] auto serialize(const member& item) -> std::string;

/// @brief Reads a row's value; nothing when it names no instance.
[[nodiscard]] auto parse_member(const std::string& text)
    -> std::optional<member>;

} // namespace pimentoshunt::membership
