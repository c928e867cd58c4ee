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

/// Between two rounds of claims, inspections and membership.
constexpr milliseconds slow_interval{20};
/// A gap between ticks longer than this is a pause of our own.
constexpr milliseconds pause_threshold{250};
/// Grants that an entry did not confirm in this time were lost.
constexpr milliseconds grant_timeout{1'000};

/// Batch work is checkpointed where the picker names it: see make_room().
auto picker_options() -> policy::grant_picker_options
{
    policy::grant_picker_options options;
    options.checkpoints = true;
    return options;
}

} // namespace

engine::engine(engine_config config, time_point now)
    : m_config(std::move(config)), m_members(m_config.liveness),
      m_keeper(ownership::holder{m_config.self.id, m_config.self.incarnation},
               m_config.keeper),
      m_board(grant_timeout), m_desk(m_config.desk, m_config.self.incarnation),
      m_jobs(m_config.self.id, jobs::job_coordinator_intervals{},
             static_cast<std::uint32_t>(m_config.self.incarnation)),
      m_picker(picker_options()),
      m_plan(std::make_shared<plan::revisioned_plan>()), m_last_tick(now)
{
    m_desk.update_owner(self_id(), 0);
    m_links[self_id()].incarnation = m_config.self.incarnation;
}

auto engine::handle(event&& news, time_point now) -> void
{
    std::visit(
        [&](auto& item)
        {
            on(item, now);
        },
        news);
}

auto engine::on(peer_message& news, time_point now) -> void
{
    const auto& message = news.envelope;
    switch (message.body_case())
    {
    case wire::envelope::kBeat:
        on_beat(message, now);
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
        // Meant for another role of the program.
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
    take_list(message, now);
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
    adopt(std::move(newer));
}

auto engine::on(request_arrived& news, time_point now) -> void
{
    if (m_drain_over)
    {
        news.item->resolve(entry::refusal{entry::refusal_reason::stopping,
                                          m_config.desk.retry_after});
        return;
    }
    m_desk.enqueue(news.item, now);
    m_demand_changed = true;
}

auto engine::on(request_cancelled& news, time_point) -> void
{
    m_desk.cancelled(news.number);
    m_demand_changed = true;
}

auto engine::on(attempt_ended& news, time_point now) -> void
{
    give_back(news.item, news.outcome, news.run_time, now);
}

auto engine::on(fence_ended& news, time_point now) -> void
{
    m_keeper.fenced(news.worker, news.epoch, news.answer, news.report, now);
    m_capacity_changed = true;
}

auto engine::on(inspection_ended& news, time_point now) -> void
{
    m_keeper.inspected(news.worker, news.number, news.report, now,
                       m_effects.calls);
    m_capacity_changed = true;
}

auto engine::on(revocation_ended& news, time_point) -> void
{
    m_keeper.revoked(news.worker, news.attempt, news.state);
    m_capacity_changed = true;
}

auto engine::on(list_read& news, time_point now) -> void
{
    m_table_read = now;
    m_list_as_of = std::max(m_list_as_of, news.asked_at);
    m_keeper.listed(news.list.workers);
    for (const auto& item : m_keeper.workers())
    {
        const bool drained = std::find(news.drained.begin(), news.drained.end(),
                                       item.id) != news.drained.end();
        m_keeper.set_drained(item.id, drained);
    }
    for (const auto& item : news.registered)
    {
        if (item.id != self_id())
        {
            m_members.introduced(item, now);
        }
    }
    m_list_known = true;
    m_membership_changed = true;
    m_capacity_changed = true;
}

auto engine::on(plan_read& news, time_point) -> void
{
    m_plan_known = true;
    const auto revision = news.found ? news.found->revision : 0;
    if (revision >= m_plan->revision)
    {
        m_plan_confirmed = std::max(m_plan_confirmed, news.asked_at);
    }
    if (news.found && revision > m_plan->revision)
    {
        adopt(news.found);
    }
}

auto engine::on(plan_accepted& news, time_point now) -> void
{
    m_plan_confirmed = std::max(m_plan_confirmed, news.asked_at);
    if (news.accepted->revision > m_plan->revision)
    {
        adopt(news.accepted);
        announce_plan(now);
    }
}

auto engine::adopt(plan::plan_ptr newer) -> void
{
    // Revisions only grow: whatever comes late never reverts a plan.
    m_plan = std::move(newer);
    m_plan_known = true;
    m_picker.set_plan(m_plan->parsed);
    m_keeper.set_plan(m_plan);
    m_effects.new_plan = m_plan;
    m_next_beat = time_point{};
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
    for (const auto& item : m_keeper.listed_workers())
    {
        *body->add_workers() = transport::to_wire(item);
    }
    return message;
}

auto engine::on(jobs::job_coordinator_event& news, time_point now) -> void
{
    m_jobs.handle(std::move(news), now);
}

auto engine::on(job_announced& news, time_point) -> void
{
    wire::envelope message;
    message.mutable_job()->set_job(news.job.str());
    message.mutable_job()->set_cancelled(news.cancelled);
    for (const auto& [id, item] : m_members.all())
    {
        send_to(id, message);
    }
    m_effects.announced.push_back(news);
}

auto engine::on(drain_begun&, time_point) -> void
{
    m_config.self.state = membership::member_state::draining;
    m_membership_changed = true;
    m_next_beat = time_point{};
}

auto engine::on(drain_over&, time_point) -> void
{
    m_drain_over = true;
    m_desk.refuse_all(
        {entry::refusal_reason::stopping, m_config.desk.retry_after});
}

auto engine::tick(time_point now) -> void
{
    note_pause(now);
    m_desk.tick(now);
    m_jobs.tick(now);
    m_demand_changed = m_demand_changed || m_desk.size() > 0;
    if (now >= m_next_slow)
    {
        m_next_slow = now + slow_interval;
        slow_tick(now);
    }
    if (now >= m_next_beat)
    {
        m_next_beat = now + m_config.heartbeat;
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

auto engine::note_pause(time_point now) -> void
{
    const auto gap = now - m_last_tick;
    m_last_tick = now;
    if (gap > pause_threshold)
    {
        m_members.own_pause(gap);
    }
}

auto engine::slow_tick(time_point now) -> void
{
    m_members.forget_silent(now);
    m_isolated = isolated(now);
    update_readiness();
    update_links(now);
    const auto seen = view(now);
    if (m_membership_changed)
    {
        m_membership_changed = false;
        m_keeper.assign(seen);
        m_jobs.assign(seen.serving);
        publish_alive(now);
    }
    m_keeper.tick(seen, now, m_effects.calls);
    update_policy(now);
    update_gauges(now);
}

auto engine::update_policy(time_point now) -> void
{
    for (const auto& worker : m_health.take_due_probes(now))
    {
        m_keeper.ledger().set_intake(worker, ledger::intake::probe);
        logging::info("ejected worker gets a probe").with("worker", worker);
        m_capacity_changed = true;
    }
    const auto cell_slots = m_keeper.listed_slots();
    const auto own_slots = m_keeper.ledger().capacity_total().slots;
    if (cell_slots > 0)
    {
        m_picker.set_cell_share(static_cast<double>(own_slots) /
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
        m_next_beat = time_point{};
    }
}

auto engine::flush(time_point now) -> effects
{
    collect_jobs(now);
    if (m_demand_changed)
    {
        m_demand_changed = false;
        send_demand(now);
    }
    if (m_capacity_changed)
    {
        m_capacity_changed = false;
        place(now);
    }
    // What was bound here is no longer wanted of the other owners.
    if (m_demand_changed)
    {
        m_demand_changed = false;
        send_demand(now);
    }
    // A grant bound to a job leads to calls of its own.
    collect_jobs(now);
    for (auto& [owner, items] : m_returns)
    {
        wire::envelope message;
        for (auto& item : items)
        {
            *message.mutable_released()->add_items() = std::move(item);
        }
        send_to(owner, std::move(message));
    }
    m_returns.clear();
    return std::exchange(m_effects, effects{});
}

auto engine::send_to(const instance_id& id, wire::envelope message) -> void
{
    const auto* const item = m_members.find(id);
    if (item != nullptr && !item->address.empty())
    {
        m_effects.sends.push_back({item->address, stamp(std::move(message))});
    }
}

auto engine::stamp(wire::envelope message) const -> wire::envelope
{
    message.set_from(self_id().str());
    message.set_incarnation(m_config.self.incarnation);
    return message;
}

} // namespace pimentoshunt::control
