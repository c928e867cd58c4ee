/// @file
/// Event dispatch, timers and plan distribution of the engine.
#include <pimentoshunt/control/engine.hpp>

#include <pimentoshunt/logging.hpp>
#include <pimentoshunt/plan/parse.hpp>
#include <pimentoshunt/transport/wire_codec.hpp>

#include <algorithm> // find
#include <utility>   // move

namespace pimentoshunt::control
{
namespace
{

/// Interval between rounds of claims, inspections and membership updates.
constexpr milliseconds maintenance_interval{20};
/// A longer gap between ticks counts as a pause of this process.
constexpr milliseconds pause_threshold{250};
/// Time after which grants that an entry has not confirmed count as lost.
constexpr milliseconds grant_timeout{1'000};

/// Enables checkpoints, since request_checkpoints() executes them.
auto scheduler_options() -> policy::grant_scheduler_options
{
    policy::grant_scheduler_options options;
    options.checkpoints = true;
    return options;
}

} // namespace

engine::engine(engine_config config, time_point now)
    : m_config(std::move(config)), m_members(m_config.liveness),
      m_worker_manager(
          ownership::holder{m_config.self.id, m_config.self.incarnation},
          m_config.ownership_limits),
      m_demand_tracker(grant_timeout),
      m_desk(m_config.desk, m_config.self.incarnation),
      m_jobs(m_config.self.id, jobs::job_coordinator_intervals{},
             static_cast<std::uint32_t>(m_config.self.incarnation)),
      m_scheduler(scheduler_options()),
      m_plan(std::make_shared<plan::revisioned_plan>()), m_last_tick(now)
{
    m_desk.update_owner(self_id(), 0);
    m_links[self_id()].incarnation = m_config.self.incarnation;
}

auto engine::handle(event&& notification, time_point now) -> void
{
    std::visit(
        [&](auto& item)
        {
            on(item, now);
        },
        notification);
}

auto engine::on(peer_message& notification, time_point now) -> void
{
    const auto& message = notification.envelope;
    switch (message.body_case())
    {
    case wire::envelope::kBeat:
        on_heartbeat(message, now);
        break;
    case wire::envelope::kPlanWanted:
        send_to(instance_id(message.from()),
                plan_message(now, message.plan_wanted().list_only()));
        break;
    case wire::envelope::kPlan:
        on_plan_text(message.plan(), now);
        break;
    case wire::envelope::kWanted:
        on_demand(message, now);
        break;
    case wire::envelope::kGranted:
        on_grants(message, now);
        break;
    case wire::envelope::kReleased:
        on_releases(message.released(), now);
        break;
    case wire::envelope::kCell:
        // Handled by the cell role, not by this engine.
        break;
    case wire::envelope::kJob:
        m_effects.announced.push_back(
            {job_id(message.job().job()), message.job().cancelled()});
        break;
    case wire::envelope::BODY_NOT_SET:
        break;
    }
}

auto engine::on_plan_text(const wire::plan_text& message, time_point now)
    -> void
{
    apply_list(message, now);
    if (message.revision() <= m_plan->revision)
    {
        return;
    }
    auto parsed = pimentoshunt::handle(
        [&]() -> result<std::optional<plan::document>>
        {
            BOOST_LEAF_AUTO(document, plan::parse(message.text()));
            return std::optional<plan::document>(std::move(document));
        },
        [](const error&)
        {
            return std::optional<plan::document>();
        });
    if (!parsed)
    {
        return;
    }
    auto newer = std::make_shared<plan::revisioned_plan>();
    newer->revision = message.revision();
    newer->text = message.text();
    newer->parsed = std::move(*parsed);
    apply_plan(std::move(newer));
}

auto engine::on(request_arrived& notification, time_point now) -> void
{
    if (m_drain_over)
    {
        notification.item->resolve(entry::refusal{
            entry::refusal_reason::stopping, m_config.desk.retry_after});
        return;
    }
    m_desk.enqueue(notification.item, now);
    m_demand_changed = true;
}

auto engine::on(request_cancelled& notification, time_point) -> void
{
    m_desk.cancelled(notification.number);
    m_demand_changed = true;
}

auto engine::on(attempt_ended& notification, time_point now) -> void
{
    release_grant(notification.item, notification.outcome,
                  notification.run_time, now);
}

auto engine::on(fence_ended& notification, time_point now) -> void
{
    m_worker_manager.fenced(notification.worker, notification.epoch,
                            notification.answer, notification.report, now);
    m_capacity_changed = true;
}

auto engine::on(inspection_ended& notification, time_point now) -> void
{
    m_worker_manager.inspected(notification.worker, notification.number,
                               notification.report, now, m_effects.calls);
    m_capacity_changed = true;
}

auto engine::on(revocation_ended& notification, time_point) -> void
{
    m_worker_manager.revoked(notification.worker, notification.attempt,
                             notification.state);
    m_capacity_changed = true;
}

auto engine::on(list_read& notification, time_point now) -> void
{
    m_table_read = now;
    m_list_as_of = std::max(m_list_as_of, notification.asked_at);
    m_worker_manager.update_list(notification.list.workers);
    for (const auto& item : m_worker_manager.workers())
    {
        const bool drained =
            std::find(notification.drained.begin(), notification.drained.end(),
                      item.id) != notification.drained.end();
        m_worker_manager.set_drained(item.id, drained);
    }
    for (const auto& item : notification.registered)
    {
        if (item.id != self_id())
        {
            m_members.add_from_table(item, now);
        }
    }
    m_list_known = true;
    m_membership_changed = true;
    m_capacity_changed = true;
}

auto engine::on(plan_read& notification, time_point) -> void
{
    m_plan_known = true;
    const auto revision = notification.found ? notification.found->revision : 0;
    if (revision >= m_plan->revision)
    {
        m_plan_confirmed = std::max(m_plan_confirmed, notification.asked_at);
    }
    if (notification.found && revision > m_plan->revision)
    {
        apply_plan(notification.found);
    }
}

auto engine::on(plan_accepted& notification, time_point now) -> void
{
    m_plan_confirmed = std::max(m_plan_confirmed, notification.asked_at);
    if (notification.accepted->revision > m_plan->revision)
    {
        apply_plan(notification.accepted);
        announce_plan(now);
    }
}

auto engine::apply_plan(plan::plan_ptr newer) -> void
{
    // Callers pass only plans of a higher revision, so a late message never
    // reverts a plan.
    m_plan = std::move(newer);
    m_plan_known = true;
    m_scheduler.set_plan(m_plan->parsed);
    m_worker_manager.set_plan(m_plan);
    m_effects.new_plan = m_plan;
    m_next_heartbeat = time_point{};
    m_capacity_changed = true;
}

auto engine::announce_plan(time_point now) -> void
{
    for (const auto& [id, item] : m_members.all())
    {
        send_to(id, plan_message(now, false));
    }
}

auto engine::plan_message(time_point now, bool list_only) const
    -> wire::envelope
{
    wire::envelope message;
    auto* const body = message.mutable_plan();
    if (!list_only)
    {
        body->set_revision(m_plan->revision);
        body->set_text(m_plan->text);
    }
    body->set_list_age_us(list_age_us(now));
    for (const auto& item : m_worker_manager.listed_workers())
    {
        *body->add_workers() = transport::to_wire(item);
    }
    return message;
}

auto engine::on(jobs::job_coordinator_event& notification, time_point now)
    -> void
{
    m_jobs.handle(std::move(notification), now);
}

auto engine::on(job_announced& notification, time_point) -> void
{
    wire::envelope message;
    message.mutable_job()->set_job(notification.job.str());
    message.mutable_job()->set_cancelled(notification.cancelled);
    for (const auto& [id, item] : m_members.all())
    {
        send_to(id, message);
    }
    m_effects.announced.push_back(notification);
}

auto engine::on(drain_started&, time_point) -> void
{
    m_config.self.state = membership::member_state::draining;
    m_membership_changed = true;
    m_next_heartbeat = time_point{};
}

auto engine::on(drain_timed_out&, time_point) -> void
{
    m_drain_over = true;
    m_desk.refuse_all(
        {entry::refusal_reason::stopping, m_config.desk.retry_after});
}

auto engine::tick(time_point now) -> void
{
    detect_pause(now);
    m_desk.tick(now);
    m_jobs.tick(now);
    m_demand_changed = m_demand_changed || m_desk.size() > 0;
    if (now >= m_next_maintenance)
    {
        m_next_maintenance = now + maintenance_interval;
        run_maintenance(now);
    }
    if (now >= m_next_heartbeat)
    {
        m_next_heartbeat = now + m_config.heartbeat;
        beat(now);
    }
    if (now >= m_next_list)
    {
        m_next_list = now + m_config.list_interval;
        m_effects.read_list = true;
    }
    if (now >= m_next_plan)
    {
        m_next_plan = now + m_config.plan_poll;
        m_effects.read_plan = true;
    }
}

auto engine::detect_pause(time_point now) -> void
{
    const auto gap = now - m_last_tick;
    m_last_tick = now;
    if (gap > pause_threshold)
    {
        m_members.compensate_pause(gap);
    }
}

auto engine::run_maintenance(time_point now) -> void
{
    m_members.forget_silent(now);
    m_isolated = is_isolated(now);
    update_readiness();
    update_links(now);
    const auto seen = current_view(now);
    if (m_membership_changed)
    {
        m_membership_changed = false;
        m_worker_manager.assign(seen);
        m_jobs.assign(seen.serving);
        publish_alive(now);
    }
    m_worker_manager.tick(seen, now, m_effects.calls);
    update_policy(now);
    update_gauges(now);
}

auto engine::update_policy(time_point now) -> void
{
    for (const auto& worker : m_health.take_due_probes(now))
    {
        m_worker_manager.ledger().set_grant_mode(worker,
                                                 ledger::grant_mode::probe);
        logging::info("probing ejected worker").with("worker", worker);
        m_capacity_changed = true;
    }
    const auto cell_slots = m_worker_manager.listed_slots();
    const auto own_slots = m_worker_manager.ledger().capacity_total().slots;
    if (cell_slots > 0)
    {
        m_scheduler.set_cell_share(static_cast<double>(own_slots) /
                                   static_cast<double>(cell_slots));
    }
}

auto engine::update_readiness() -> void
{
    if (m_config.self.state == membership::member_state::joining &&
        m_plan_known && m_list_known)
    {
        m_config.self.state = membership::member_state::ready;
        m_membership_changed = true;
        m_next_heartbeat = time_point{};
    }
}

auto engine::flush(time_point now) -> effects
{
    collect_job_effects(now);
    if (m_demand_changed)
    {
        m_demand_changed = false;
        send_demand(now);
    }
    if (m_capacity_changed)
    {
        m_capacity_changed = false;
        place_waiting_work(now);
    }
    // Work bound by a local grant is no longer demanded from other owners.
    if (m_demand_changed)
    {
        m_demand_changed = false;
        send_demand(now);
    }
    // A grant bound to a job causes further calls.
    collect_job_effects(now);
    for (auto& [owner, items] : m_pending_releases)
    {
        wire::envelope message;
        for (auto& item : items)
        {
            *message.mutable_released()->add_items() = std::move(item);
        }
        send_to(owner, std::move(message));
    }
    m_pending_releases.clear();
    return std::exchange(m_effects, effects{});
}

auto engine::send_to(const instance_id& id, wire::envelope message) -> void
{
    const auto* const item = m_members.find(id);
    if (item != nullptr && !item->address.empty())
    {
        m_effects.sends.push_back(
            {item->address, add_sender(std::move(message))});
    }
}

auto engine::add_sender(wire::envelope message) const -> wire::envelope
{
    message.set_from(self_id().str());
    message.set_incarnation(m_config.self.incarnation);
    return message;
}

} // namespace pimentoshunt::control
