/// @file
/// Finds the line of each value of a JSON text, and its syntax faults.
#pragma once

#include <pimentoshunt/json/fault.hpp>

#include <cstddef>       // size_t
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::json
{

/// @brief Result of scanning a text.
struct text_scan
{
    /// Line of each value, from 1, by JSON pointer.
    std::unordered_map<std::string, std::size_t> lines;
    /// The first syntax fault, and each key that its object holds twice.
    std::vector<fault> faults;

    /// @brief Returns the line of the value at @p pointer. If there is none,
    /// as for a missing key, returns the line of its nearest existing parent.
    [[nodiscard]] auto line_of(std::string pointer) const -> std::size_t;
};

/// Maximum nesting depth of objects and arrays.
inline constexpr std::size_t max_nesting = 16;

/// @brief Scans @p text with the streaming parser of Boost.JSON, the library
/// that also parses the text into values.
/// @complexity linear in the size of the text
[[nodiscard]] auto scan(const std::string& text) -> text_scan;

} // namespace pimentoshunt::json
