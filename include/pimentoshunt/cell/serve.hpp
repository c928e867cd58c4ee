/// @file
/// Entry point of the process that runs one instance of a cell.
#pragma once

#include <pimentoshunt/cell/settings.hpp>

#include <string> // string

namespace pimentoshunt::cell
{

/// @brief Runs one instance until SIGTERM or SIGINT, then stops gracefully.
/// @param settings_file  read again on SIGHUP
/// @return the process's exit status: 0 after a graceful stop, 1 when it could
///         not start
auto serve(const settings& config, const std::string& settings_file) -> int;

} // namespace pimentoshunt::cell
