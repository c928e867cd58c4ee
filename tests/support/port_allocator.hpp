/// @file
/// Free TCP ports on the loopback address.
#pragma once

namespace pimentoshunt::testing
{

/// @brief A port of 127.0.0.1 that no one listens on.
/// @note Ports lie below the range that the kernel gives to outgoing
/// connections, and each test process begins elsewhere, so a port stays free
/// until it is used, and free for a restart.
/// @throw std::runtime_error when none is left
[[nodiscard]] auto free_port() -> int;

} // namespace pimentoshunt::testing
