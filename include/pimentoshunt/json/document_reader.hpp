/// @file
/// Parses the text of a JSON file into its root value, with the line of each
/// value for messages.
#pragma once

#include <pimentoshunt/json/fault.hpp>
#include <pimentoshunt/json/text_scan.hpp>

#include <boost/json/value.hpp>

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::json
{

/// @brief Result of parsing a JSON text.
struct parsed_text
{
    /// Null unless @ref is_well_formed.
    boost::json::value root;
    /// Lines of the values.
    text_scan positions;
    /// Syntax faults, duplicate keys, or that the text is too long.
    std::vector<fault> faults;
    bool is_well_formed = false;
};

/// @brief Parses @p text as JSON.
/// @param max_bytes  a longer text is reported as a fault and not parsed
[[nodiscard]] auto read_text(const std::string& text, std::size_t max_bytes)
    -> parsed_text;

/// @brief Sets the lines of those @p faults that have none and sorts all by
/// line; faults of the same line keep their order.
auto assign_lines(std::vector<fault>& faults, const text_scan& positions)
    -> void;

} // namespace pimentoshunt::json
