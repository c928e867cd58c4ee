/// @file
/// Validation of settings that several roles have in common.
#pragma once

#include <pimentoshunt/json/object_reader.hpp>

#include <string> // string

namespace pimentoshunt::detail
{

/// @brief Whether @p text is "host:port" with a port from 1 to 65535.
[[nodiscard]] auto is_address(const std::string& text) -> bool;

/// @brief Reads the member "log_level"; reports a fault if the level is
/// unknown.
[[nodiscard]] auto read_log_level(json::object_reader& reader,
                                  const std::string& fallback) -> std::string;

} // namespace pimentoshunt::detail
