/// @file
/// Registry of the process's services, which are CAF actors that send messages
/// to each other by name.
#pragma once

#include <caf/actor.hpp>
#include <caf/actor_cast.hpp>
#include <caf/actor_system.hpp>
#include <caf/atom.hpp>
#include <caf/send.hpp>

#include <utility> // forward

namespace pimentoshunt::kernel
{

/// @brief Name of a service; at most ten letters, the limit of CAF atoms.
using service_name = caf::atom_value;

inline constexpr service_name control_service = caf::atom("control");
inline constexpr service_name transport_service = caf::atom("transport");
inline constexpr service_name worker_io_service = caf::atom("workerio");
/// Calls for tasks, which may take long and must not delay fences and
/// inspections.
inline constexpr service_name task_io_service = caf::atom("taskio");
inline constexpr service_name platform_io_service = caf::atom("platformio");

/// @brief The services of one process by name; thread-safe.
class directory
{
  public:
    explicit directory(caf::actor_system& system) : m_system(system)
    {
    }

    /// @brief Registers a service under @p name.
    auto put(service_name name, const caf::actor& service) -> void
    {
        m_system.registry().put(
            name, caf::actor_cast<caf::strong_actor_ptr>(service));
    }

    /// @brief The service named @p name, or a null handle.
    [[nodiscard]] auto find(service_name name) const -> caf::actor
    {
        return caf::actor_cast<caf::actor>(m_system.registry().get(name));
    }

    /// @brief Sends a message to the service named @p name.
    template<class Message>
    auto send(service_name name, Message&& message) const -> void
    {
        caf::anon_send(find(name), std::forward<Message>(message));
    }

    /// @brief Removes a service from the registry; the actor ends when its last
    ///        handle is released.
    auto remove(service_name name) -> void
    {
        m_system.registry().erase(name);
    }

  private:
    caf::actor_system& m_system;
};

} // namespace pimentoshunt::kernel
