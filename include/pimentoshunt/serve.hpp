/// @file
/// The long-running role of the program.
#pragma once

#include <pimentoshunt/settings.hpp>

namespace pimentoshunt
{

/// @brief Runs one instance until SIGTERM or SIGINT, then stops gracefully.
/// @return the process's exit status: 0 after a graceful stop, 1 when it could
///         not start
auto serve(const settings& config) -> int;

} // namespace pimentoshunt
