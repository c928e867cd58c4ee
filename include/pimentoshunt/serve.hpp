/// @file
/// Runs an instance; called by the subcommand `serve`.
#pragma once

#include <pimentoshunt/settings.hpp>

namespace pimentoshunt
{

/// @brief Runs one instance until SIGTERM or SIGINT, then stops gracefully.
/// @return exit status of the process: 0 after a graceful stop, 1 if the
///         instance could not start; the error is printed to standard error
auto serve(const settings& config) -> int;

} // namespace pimentoshunt
