/// @file
/// Encodes and decodes an instance's row in the table, from which other
/// instances learn its address.
#pragma once

#include <pimentoshunt/membership/member_table.hpp>

#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::membership
{

/// @brief The row's value: a JSON object with id, incarnation, address,
///        http_address and data_centre.
[[nodiscard]] auto serialize(const member& item) -> std::string;

/// @brief Parses a row's value; nullopt if it is no JSON object or has no id.
[[nodiscard]] auto parse_member(const std::string& text)
    -> std::optional<member>;

} // namespace pimentoshunt::membership
