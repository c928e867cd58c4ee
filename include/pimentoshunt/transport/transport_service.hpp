/// @file
/// The transport as a service of the kernel: it alone uses the sockets.
#pragma once

#include <pimentoshunt/kernel/directory.hpp>
#include <pimentoshunt/transport/peer_link.hpp>

namespace pimentoshunt::transport
{

/// @brief Spawns the transport's thread and registers it by name.
/// @param sender  used by that thread alone; outlives it
auto spawn_transport(caf::actor_system& system, kernel::directory& services,
                     peer_sender& sender) -> void;

} // namespace pimentoshunt::transport
