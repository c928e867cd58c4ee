#include <pimentoshunt/control/engine.hpp>

namespace pimentoshunt::control
{

auto engine::on(status_wanted& news, time_point now) -> void
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
        static_cast<std::int64_t>(m_keeper.ledger().accounts().size());
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
    for (const auto& item : m_keeper.workers())
    {
        worker_status one;
        one.id = item.id;
        one.capacity = item.capacity;
        if (const auto* const account = m_keeper.ledger().find(item.id))
        {
            one.held = true;
            one.open_for_grants = !account->worker.leaving;
            one.free = account->free;
            one.holdings = account->holdings.size();
        }
        status.workers.push_back(one);
    }
    for (const auto& workload : m_plan->parsed.workloads)
    {
        status.queues.push_back({workload.name, workload.tenant,
                                 plan::to_string(workload.cls),
                                 m_desk.waiting(workload.name)});
    }
    news.answer->set_value(std::move(status));
}

} // namespace pimentoshunt::control
