/// @file
/// The micro-kernel: services are CAF actors that find each other by name.
#pragma once

#include <caf/actor.hpp>
#include <caf/actor_cast.hpp>
#include <caf/actor_system.hpp>
#include <caf/atom.hpp>
#include <caf/send.hpp>

#include <utility> // forward

namespace pimentoshunt::kernel
{

/// @brief A service's name; at most ten letters.
using service_name = caf::atom_value;

inline constexpr service_name control_service = caf::atom("control");
inline constexpr service_name transport_service = caf::atom("transport");
inline constexpr service_name worker_io_service = caf::atom("workerio");
/// Calls for tasks, which may take long: apart from fences and inspections.
inline constexpr service_name task_io_service = caf::atom("taskio");
inline constexpr service_name platform_io_service = caf::atom("platformio");

/// @brief The services of one process, by name.
class directory
{
  public:
    explicit directory(caf::actor_system& system) : m_system(system)
    {
    }

    /// @brief Makes a service known under @p name.
    auto put(service_name name, const caf::actor& service) -> void
    {
        m_system.registry().put(
            name, caf::actor_cast<caf::strong_actor_ptr>(service));
    }

    /// @brief The service of that name; a null handle when there is none.
    [[nodiscard]] auto find(service_name name) const -> caf::actor
    {
        return caf::actor_cast<caf::actor>(m_system.registry().get(name));
    }

    /// @brief Sends a message to the service of that name.
    template<class Message>
    auto send(service_name name, Message&& message) const -> void
    {
        caf::anon_send(find(name), std::forward<Message>(message));
    }

    /// @brief Forgets a service, which ends with its last handle.
    auto remove(service_name name) -> void
    {
        m_system.registry().erase(name);
    }

  private:
    caf::actor_system& m_system;
};

} // namespace pimentoshunt::kernel
