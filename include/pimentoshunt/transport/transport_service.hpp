/// @file
/// The transport service: a CAF actor on its own thread that sends messages to
/// other instances. Only its thread uses the sending sockets.
#pragma once

#include <pimentoshunt/kernel/directory.hpp>
#include <pimentoshunt/transport/peer_link.hpp>

namespace pimentoshunt::transport
{

/// @brief Spawns the transport's thread and registers it as transport_service.
/// @param sender  used by that thread only; must outlive it
auto spawn_transport(caf::actor_system& system, kernel::directory& services,
                     peer_sender& sender) -> void;

} // namespace pimentoshunt::transport
