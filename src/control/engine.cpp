#include <pimentoshunt/control/engine.hpp>

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
/// An unchanged demand is repeated after this.
constexpr milliseconds demand_repeat{100};
/// Grants that an entry did not confirm in this time were lost.
constexpr milliseconds grant_timeout{1'000};
/// Between two requests for a newer plan.
constexpr milliseconds plan_request_interval{100};

} // namespace

engine::engine(engine_config config, time_point now)
    : m_config(std::move(config)), m_members(m_config.liveness),
      m_keeper(ownership::holder{m_config.self.id, m_config.self.incarnation},
               m_config.keeper),
      m_board(grant_timeout), m_desk(m_config.desk, m_config.self.incarnation),
      m_plan(std::make_shared<plan::revisioned_plan>()), m_last_tick(now)
{
    m_desk.owner_alive(self_id(), 0);
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
        send_to(instance_id(message.from()), plan_message());
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
        on_releases(message.released());
        break;
    case wire::envelope::BODY_NOT_SET:
        break;
    }
}

auto engine::on_beat(const wire::envelope& message, time_point now) -> void
{
    const auto& beat = message.beat();
    auto sender = transport::from_wire(beat.self());
    if (sender.id == self_id())
    {
        return;
    }
    const auto sender_id = sender.id;
    const auto revision = sender.plan_revision;
    const auto free_slots = sender.free_slots;
    m_membership_changed |= m_members.heard(std::move(sender), now);
    for (const auto& relayed : beat.relayed())
    {
        auto item = transport::from_wire(relayed);
        if (item.id == self_id())
        {
            continue;
        }
        const std::chrono::microseconds age(relayed.age_us());
        m_membership_changed |= m_members.relayed(std::move(item), age, now);
    }
    if (m_links.count(sender_id) != 0)
    {
        m_desk.owner_alive(sender_id, free_slots);
    }
    if (beat.plan_confirmed_age_us() >= 0 && revision <= m_plan->revision)
    {
        const std::chrono::microseconds age(beat.plan_confirmed_age_us());
        m_plan_confirmed = std::max(m_plan_confirmed, now - age);
    }
    const bool newer = revision > m_plan->revision;
    if ((newer || !m_list_known) && now >= m_next_plan_request)
    {
        m_next_plan_request = now + plan_request_interval;
        wire::envelope wanted;
        wanted.mutable_plan_wanted();
        send_to(sender_id, std::move(wanted));
    }
}

auto engine::on_plan_text(const wire::plan_text& message, time_point) -> void
{
    if (!m_list_known && message.workers_size() > 0)
    {
        std::vector<worker::description> workers;
        for (const auto& item : message.workers())
        {
            workers.push_back(transport::from_wire(item));
        }
        m_keeper.listed(workers);
        m_list_known = true;
        m_membership_changed = true;
    }
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

auto engine::on_demand(const wire::envelope& message, time_point now) -> void
{
    std::vector<entry::asked_line> lines;
    lines.reserve(message.wanted().lines_size());
    for (const auto& line : message.wanted().lines())
    {
        lines.push_back(transport::from_wire(line, now));
    }
    m_board.told(instance_id(message.from()), std::move(lines),
                 message.wanted().grants_seen());
    m_capacity_changed = true;
}

auto engine::on_grants(const wire::envelope& message, time_point now) -> void
{
    const instance_id owner(message.from());
    const auto link = m_links.find(owner);
    if (link != m_links.end())
    {
        auto& known = link->second;
        known.incarnation = message.incarnation();
        known.grants_seen = message.granted().sequence();
        known.last_at = time_point{};
        m_desk.owner_alive(owner, message.granted().free_slots());
    }
    for (const auto& item : message.granted().items())
    {
        auto granted = transport::from_wire(item);
        granted.owner = owner;
        granted.owner_incarnation = message.incarnation();
        if (!m_desk.bind(granted))
        {
            give_back(granted, ownership::attempt_outcome::never_started);
        }
    }
    static_cast<void>(now);
    m_demand_changed = true;
}

auto engine::on_releases(const wire::releases& message) -> void
{
    constexpr std::uint32_t last_outcome = 5;
    for (const auto& item : message.items())
    {
        const auto outcome =
            item.outcome() <= last_outcome
                ? static_cast<ownership::attempt_outcome>(item.outcome())
                : ownership::attempt_outcome::unknown;
        release_here(worker_id(item.worker()), attempt_id(item.attempt()),
                     outcome);
    }
}

auto engine::release_here(const worker_id& worker, const attempt_id& attempt,
                          ownership::attempt_outcome outcome) -> void
{
    m_keeper.released(worker, attempt, outcome, m_effects.calls);
    m_capacity_changed = true;
}

auto engine::on(request_arrived& news, time_point now) -> void
{
    m_desk.arrived(news.item, now);
    m_demand_changed = true;
}

auto engine::on(request_cancelled& news, time_point) -> void
{
    m_desk.cancelled(news.number);
    m_demand_changed = true;
}

auto engine::on(attempt_ended& news, time_point) -> void
{
    give_back(news.item, news.outcome);
}

auto engine::give_back(const entry::grant& item,
                       ownership::attempt_outcome outcome) -> void
{
    if (item.owner == self_id())
    {
        release_here(item.worker, item.attempt, outcome);
        return;
    }
    wire::release message;
    message.set_attempt(item.attempt.str());
    message.set_worker(item.worker.str());
    message.set_outcome(static_cast<std::uint32_t>(outcome));
    message.set_workload(item.workload.str());
    m_returns[item.owner].push_back(std::move(message));
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

auto engine::on(plan_accepted& news, time_point) -> void
{
    m_plan_confirmed = std::max(m_plan_confirmed, news.asked_at);
    if (news.accepted->revision > m_plan->revision)
    {
        adopt(news.accepted);
        announce_plan();
    }
}

auto engine::adopt(plan::plan_ptr newer) -> void
{
    // Revisions only grow: whatever comes late never reverts a plan.
    m_plan = std::move(newer);
    m_plan_known = true;
    m_effects.new_plan = m_plan;
    m_next_beat = time_point{};
    m_capacity_changed = true;
}

auto engine::announce_plan() -> void
{
    for (const auto& [id, item] : m_members.all())
    {
        send_to(id, plan_message());
    }
}

auto engine::plan_message() const -> wire::envelope
{
    wire::envelope message;
    auto* const body = message.mutable_plan();
    body->set_revision(m_plan->revision);
    body->set_text(m_plan->text);
    for (const auto& item : m_keeper.workers())
    {
        *body->add_workers() = transport::to_wire(item);
    }
    return message;
}

auto engine::on(drain_begun&, time_point) -> void
{
    m_config.self.state = membership::member_state::draining;
    m_membership_changed = true;
    m_next_beat = time_point{};
}

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

auto engine::tick(time_point now) -> void
{
    note_pause(now);
    m_desk.tick(now);
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
    update_readiness();
    update_links(now);
    const auto seen = view(now);
    if (m_membership_changed)
    {
        m_membership_changed = false;
        m_keeper.assign(seen);
        publish_alive(now);
    }
    m_keeper.tick(seen, now, m_effects.calls);
}

auto engine::publish_alive(time_point now) -> void
{
    std::unordered_set<std::string> names;
    names.insert(ownership::holder{self_id(), m_config.self.incarnation}.str());
    for (const auto& [id, item] : m_members.all())
    {
        if (m_members.alive(item, now))
        {
            names.insert(ownership::holder{id, item.incarnation}.str());
        }
    }
    m_effects.alive = std::move(names);
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

auto engine::update_links(time_point now) -> void
{
    for (auto link = m_links.begin(); link != m_links.end();)
    {
        const auto& id = link->first;
        const auto* const item = m_members.find(id);
        // A new life of the same instance numbers its grants anew.
        const bool same_life =
            item != nullptr && item->incarnation == link->second.incarnation;
        if (id == self_id() || (same_life && m_members.alive(id, now)))
        {
            ++link;
            continue;
        }
        m_desk.owner_gone(id);
        m_board.gone(id);
        m_returns.erase(id);
        m_membership_changed = true;
        m_demand_changed = true;
        link = m_links.erase(link);
    }
    for (const auto& [id, item] : m_members.all())
    {
        if (m_members.alive(item, now) && m_links.count(id) == 0)
        {
            m_links[id].incarnation = item.incarnation;
            m_desk.owner_alive(id, item.free_slots);
            m_membership_changed = true;
            m_demand_changed = true;
        }
    }
}

auto engine::view(time_point now) const -> ownership::claim_view
{
    ownership::claim_view seen;
    seen.members = &m_members;
    if (ready())
    {
        seen.serving.push_back(self_id());
    }
    for (const auto& [id, item] : m_members.all())
    {
        if (m_members.serving(id, item.incarnation, now))
        {
            seen.serving.push_back(id);
        }
    }
    seen.quorate = quorate(now);
    return seen;
}

auto engine::quorate(time_point now) const -> bool
{
    std::size_t known = 1;
    std::size_t heard = 1;
    for (const auto& [id, item] : m_members.all())
    {
        const bool ever_heard = item.last_direct != time_point{};
        if (!ever_heard || item.state == membership::member_state::left)
        {
            continue;
        }
        ++known;
        heard += m_members.alive(item, now) ? 1 : 0;
    }
    return 2 * heard >= known;
}

auto engine::beat(time_point now) -> void
{
    m_config.self.plan_revision = m_plan->revision;
    m_config.self.workers_held =
        static_cast<std::int64_t>(m_keeper.ledger().accounts().size());
    m_config.self.free_slots = m_keeper.ledger().free_total().slots;
    m_config.self.last_alive = now;
    m_desk.owner_alive(self_id(), m_config.self.free_slots);
    wire::envelope message;
    auto* const body = message.mutable_beat();
    *body->mutable_self() = transport::to_wire(m_config.self, now);
    body->set_plan_confirmed_age_us(-1);
    if (m_plan_confirmed != time_point{})
    {
        const auto age = std::chrono::duration_cast<std::chrono::microseconds>(
            now - m_plan_confirmed);
        body->set_plan_confirmed_age_us(age.count());
    }
    std::vector<std::string> addresses = m_config.seeds;
    for (const auto& [id, item] : m_members.all())
    {
        if (m_config.relay && item.last_alive != time_point{})
        {
            *body->add_relayed() = transport::to_wire(item, now);
        }
        const bool seeded = std::find(addresses.begin(), addresses.end(),
                                      item.address) != addresses.end();
        if (!seeded && !item.address.empty())
        {
            addresses.push_back(item.address);
        }
    }
    for (const auto& address : addresses)
    {
        if (address != m_config.self.address)
        {
            m_effects.sends.push_back({address, stamp(message)});
        }
    }
}

auto engine::flush(time_point now) -> effects
{
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

auto engine::send_demand(time_point now) -> void
{
    for (auto& [id, link] : m_links)
    {
        sent_demand next{m_desk.demand_of(id), link.grants_seen};
        if (id == self_id())
        {
            m_board.told(id, std::move(next.lines), link.grants_seen);
            m_capacity_changed = true;
            continue;
        }
        const bool repeat =
            !next.lines.empty() && now - link.last_at >= demand_repeat;
        if (next == link.last && !repeat)
        {
            continue;
        }
        wire::envelope message;
        auto* const body = message.mutable_wanted();
        body->set_grants_seen(next.grants_seen);
        for (const auto& line : next.lines)
        {
            *body->add_lines() = transport::to_wire(line, now);
        }
        link.last = std::move(next);
        link.last_at = now;
        send_to(id, std::move(message));
    }
}

auto engine::place(time_point now) -> void
{
    const auto lines = m_board.lines(m_plan->parsed, now);
    if (lines.empty())
    {
        return;
    }
    std::map<instance_id, std::vector<entry::grant>> by_entry;
    const auto take = [&](const policy::placement& choice)
    {
        const auto& line = lines[choice.line];
        ledger::holding item;
        item.attempt = next_attempt();
        item.workload = line.workload->name;
        item.tenant = line.workload->tenant;
        item.each = line.workload->each;
        item.granted_at = now;
        item.entry = line.entry;
        if (!m_keeper.ledger().take(choice.worker, item))
        {
            return false;
        }
        const auto& account = *m_keeper.ledger().find(choice.worker);
        by_entry[line.entry].push_back({item.attempt, item.workload,
                                        choice.worker, account.worker.base_url,
                                        account.epoch, self_id(),
                                        m_config.self.incarnation});
        return true;
    };
    m_picker.pick(m_keeper.ledger(), lines, take, now);
    for (const auto& [entry, grants] : by_entry)
    {
        hand_out(entry, grants, now);
    }
}

auto engine::hand_out(const instance_id& entry,
                      const std::vector<entry::grant>& grants, time_point now)
    -> void
{
    if (entry == self_id())
    {
        for (const auto& item : grants)
        {
            if (!m_desk.bind(item))
            {
                give_back(item, ownership::attempt_outcome::never_started);
            }
        }
        m_demand_changed = true;
        return;
    }
    std::vector<workload_name> names;
    wire::envelope message;
    auto* const body = message.mutable_granted();
    for (const auto& item : grants)
    {
        names.push_back(item.workload);
        *body->add_items() = transport::to_wire(item);
    }
    body->set_sequence(m_board.granted(entry, names, now));
    body->set_free_slots(m_keeper.ledger().free_total().slots);
    send_to(entry, std::move(message));
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

auto engine::next_attempt() -> attempt_id
{
    ++m_attempts;
    return attempt_id(self_id().str() + "-" +
                      std::to_string(m_config.self.incarnation) + "-" +
                      std::to_string(m_attempts));
}

} // namespace pimentoshunt::control
