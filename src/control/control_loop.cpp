#include <pimentoshunt/control/control_loop.hpp>

#include <pimentoshunt/control/outbound_batch.hpp>

#include <caf/behavior.hpp>
#include <caf/event_based_actor.hpp>

#include <utility> // move

namespace pimentoshunt::control
{
namespace
{

using wake_atom = caf::atom_constant<caf::atom("wake")>;
using tick_atom = caf::atom_constant<caf::atom("tick")>;

constexpr milliseconds tick_interval{4};

auto control_behavior(caf::event_based_actor* self, control_loop* loop)
    -> caf::behavior
{
    self->delayed_send(self, tick_interval, tick_atom::value);
    return {[loop](wake_atom)
            {
                loop->drain();
            },
            [self, loop](tick_atom)
            {
                loop->tick();
                self->delayed_send(self, tick_interval, tick_atom::value);
            }};
}

} // namespace

control_loop::control_loop(engine_config config, kernel::directory services,
                           call_starter calls)
    : m_engine(std::move(config), boot_clock::now()), m_services(services),
      m_calls(std::move(calls))
{
}

auto control_loop::post(event notification) -> void
{
    if (m_inbox.push(std::move(notification)))
    {
        m_services.send(kernel::control_service, wake_atom::value);
    }
}

auto control_loop::drain() -> void
{
    auto batch = m_inbox.drain();
    const auto now = boot_clock::now();
    for (auto& notification : batch)
    {
        m_engine.handle(std::move(notification), now);
    }
    execute(m_engine.flush(now));
}

auto control_loop::tick() -> void
{
    const auto now = boot_clock::now();
    m_engine.tick(now);
    execute(m_engine.flush(now));
}

auto control_loop::execute(effects wanted) -> void
{
    m_ready = m_engine.can_serve_callers();
    if (wanted.new_plan)
    {
        m_calls.publish(std::move(wanted.new_plan));
    }
    if (wanted.alive)
    {
        m_calls.publish_alive(std::move(*wanted.alive));
    }
    if (wanted.gauges)
    {
        m_longest_held = wanted.gauges->max_held_run_time;
        m_calls.publish_gauges(*wanted.gauges);
    }
    for (auto& call : wanted.calls.fences)
    {
        m_calls.fence(std::move(call));
    }
    for (auto& call : wanted.calls.inspections)
    {
        m_calls.inspect(std::move(call));
    }
    for (auto& call : wanted.calls.revocations)
    {
        m_calls.revoke(std::move(call));
    }
    for (auto& call : wanted.checkpoints)
    {
        m_calls.checkpoint(std::move(call));
    }
    for (auto& job : wanted.announced)
    {
        m_calls.find_job(std::move(job));
    }
    m_calls.jobs(std::move(wanted.jobs));
    if (wanted.read_list)
    {
        m_calls.read_list();
    }
    if (wanted.read_plan)
    {
        m_calls.read_plan();
    }
    if (!wanted.sends.empty())
    {
        m_services.send(kernel::transport_service,
                        outbound_batch{std::move(wanted.sends)});
    }
}

auto spawn_control(caf::actor_system& system, kernel::directory& services,
                   control_loop& loop) -> void
{
    services.put(kernel::control_service,
                 system.spawn<caf::detached>(control_behavior, &loop));
}

} // namespace pimentoshunt::control
