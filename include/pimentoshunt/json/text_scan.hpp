/// @file
/// Where the values of a JSON text stand, and what is wrong with its syntax.
#pragma once

#include <pimentoshunt/json/fault.hpp>

#include <cstddef>       // size_t
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::json
{

/// @brief What a pass over the text found.
struct text_scan
{
    /// Line, from 1, of each value by its JSON pointer.
    std::unordered_map<std::string, std::size_t> lines;
    /// A syntax fault, or each key that its object has twice.
    std::vector<fault> faults;

    /// @brief The line of @p pointer, or of its nearest parent that exists.
    [[nodiscard]] auto line_of(std::string pointer) const -> std::size_t;
};

/// Bound on the nesting of objects and arrays.
inline constexpr std::size_t max_nesting = 16;

/// @brief Reads @p text with Boost.JSON's own parser, line by line.
/// @complexity linear in the size of the text
[[nodiscard]] auto scan(const std::string& text) -> text_scan;

} // namespace pimentoshunt::json
