#include <pimentoshunt/transport/transport_service.hpp>

#include <pimentoshunt/control/outbound_batch.hpp>

#include <caf/behavior.hpp>
#include <caf/event_based_actor.hpp>

namespace pimentoshunt::transport
{
namespace
{

auto transport_behavior(caf::event_based_actor*, peer_sender* sender)
    -> caf::behavior
{
    return {[sender](const control::outbound_batch& batch)
            {
                const auto now = boot_clock::now();
                for (const auto& message : batch.items)
                {
                    sender->send(message, now);
                }
            }};
}

} // namespace

auto spawn_transport(caf::actor_system& system, kernel::directory& services,
                     peer_sender& sender) -> void
{
    services.put(kernel::transport_service,
                 system.spawn<caf::detached>(transport_behavior, &sender));
}

} // namespace pimentoshunt::transport
