/// @file
/// Allocates free TCP ports on the loopback address to tests.
#pragma once

namespace pimentoshunt::testing
{

/// @brief Returns a port of 127.0.0.1 that no socket is bound to. Thread-safe.
/// @note The ports are below the kernel's ephemeral range, and each test
/// process starts at an offset derived from its process id. So a port is still
/// free when a process binds it, and again when the process restarts.
/// @throw std::runtime_error if no port is free
[[nodiscard]] auto free_port() -> int;

} // namespace pimentoshunt::testing
