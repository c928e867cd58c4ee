/// @file
/// Gauge snapshots and status reports of the engine.
#include <pimentoshunt/control/engine.hpp>

#include <algorithm> // max

namespace pimentoshunt::control
{
namespace
{

/// Interval between gauge snapshots.
constexpr milliseconds gauge_interval{1'000};

} // namespace

auto engine::update_gauges(time_point now) -> void
{
    if (now < m_next_gauges)
    {
        return;
    }
    m_next_gauges = now + gauge_interval;
    gauge_snapshot seen;
    const auto& accounts = m_worker_manager.ledger();
    seen.slots_free = accounts.free_total().slots;
    seen.workers_held = static_cast<std::int64_t>(accounts.accounts().size());
    seen.plan_revision = m_plan->revision;
    seen.grants = m_attempts - m_attempts_reported;
    m_attempts_reported = m_attempts;
    // Classes without waiting work are reported too; otherwise the gauge would
    // keep their last queue length.
    for (const auto cls : {plan::work_class::service, plan::work_class::batch,
                           plan::work_class::gang})
    {
        seen.waiting[cls] = 0;
    }
    const auto& in_use = accounts.used_by_workload();
    for (const auto& item : m_plan->parsed.workloads)
    {
        seen.waiting[item.cls] +=
            static_cast<std::int64_t>(m_desk.waiting(item.name));
        if (in_use.count(item.name) != 0)
        {
            seen.max_held_run_time =
                std::max(seen.max_held_run_time, item.run_time);
        }
    }
    for (const auto& [name, used] : in_use)
    {
        seen.slots_in_use += used.total.slots;
    }
    m_effects.gauges = std::move(seen);
}

auto engine::on(status_requested& notification, time_point now) -> void
{
    cell_status status;
    status.instance = self_id();
    status.state = m_config.self.state;
    status.ready = ready();
    status.plan_revision = m_plan->revision;
    if (m_plan_confirmed != time_point{})
    {
        status.plan_confirmed =
            std::chrono::duration_cast<milliseconds>(now - m_plan_confirmed);
    }
    instance_status own;
    own.id = self_id();
    own.data_centre = m_config.self.data_centre;
    own.state = m_config.self.state;
    own.alive = true;
    own.workers_held =
        static_cast<std::int64_t>(m_worker_manager.ledger().accounts().size());
    own.plan_revision = m_plan->revision;
    status.instances.push_back(own);
    for (const auto& [id, item] : m_members.all())
    {
        instance_status other;
        other.id = id;
        other.data_centre = item.data_centre;
        other.state = item.state;
        other.alive = m_members.alive(item, now);
        other.silent =
            std::chrono::duration_cast<milliseconds>(now - item.last_alive);
        other.workers_held = item.workers_held;
        other.plan_revision = item.plan_revision;
        status.instances.push_back(other);
    }
    for (const auto& item : m_worker_manager.workers())
    {
        worker_status one;
        one.id = item.id;
        one.capacity = item.capacity;
        if (const auto* const account = m_worker_manager.ledger().find(item.id))
        {
            one.held = true;
            one.open_for_grants = account->is_accepting();
            one.free = account->free;
            one.reservations = account->reservations.size();
        }
        status.workers.push_back(one);
    }
    for (const auto& workload : m_plan->parsed.workloads)
    {
        status.queues.push_back({workload.name, workload.workspace,
                                 plan::to_string(workload.cls),
                                 m_desk.waiting(workload.name)});
    }
    notification.answer->set_value(std::move(status));
}

} // namespace pimentoshunt::control
