/// @file
/// From the text of a JSON file to its root value and to sorted faults.
#pragma once

#include <pimentoshunt/json/fault.hpp>
#include <pimentoshunt/json/text_scan.hpp>

#include <boost/json/value.hpp>

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::json
{

/// @brief A text after its syntax was checked.
struct parsed_text
{
    boost::json::value root;
    text_scan positions;
    /// Syntax faults; @ref root is null if there is one besides duplicates.
    std::vector<fault> faults;
    bool is_well_formed = false;
};

/// @brief Reads @p text, at most @p max_bytes long.
[[nodiscard]] auto read_text(const std::string& text, std::size_t max_bytes)
    -> parsed_text;

/// @brief Fills in the lines of @p faults and sorts them by line.
auto assign_lines(std::vector<fault>& faults, const text_scan& positions)
    -> void;

} // namespace pimentoshunt::json
