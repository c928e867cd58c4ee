/// @file
/// Heartbeats, failure detection, quorum, and the exchange of the platform's
/// list between instances.
#include <pimentoshunt/control/engine.hpp>

#include <pimentoshunt/transport/wire_codec.hpp>

#include <algorithm> // find, max, min
#include <iterator>  // next
#include <utility>   // move

namespace pimentoshunt::control
{
namespace
{

/// Interval between requests for a newer plan.
constexpr milliseconds plan_request_interval{100};
/// Age from which on the list is requested from another instance.
constexpr milliseconds max_list_age{2'500};
/// Interval between requests for a newer list.
constexpr milliseconds list_request_interval{500};
/// Time without an answer after which the table counts as unreachable.
constexpr milliseconds table_timeout{5'000};
/// Time after which an instance whose table row is unchanged counts as dead.
constexpr milliseconds row_timeout{4'000};

/// Multiple of liveness_limits::suspect_after, the silence after which workers
/// are taken over, at which the holder of an idempotency key counts as dead.
constexpr int key_holder_timeout_factor = 3;
/// Number of other instances whose state one heartbeat relays.
constexpr std::size_t relays_per_heartbeat = 3;

} // namespace

auto engine::on_heartbeat(const wire::envelope& message, time_point now) -> void
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
    apply_usage(sender_id, beat);
    if (m_links.count(sender_id) != 0)
    {
        m_desk.update_owner(sender_id, free_slots);
    }
    if (beat.plan_confirmed_age_us() >= 0 && revision <= m_plan->revision)
    {
        const std::chrono::microseconds age(beat.plan_confirmed_age_us());
        m_plan_confirmed = std::max(m_plan_confirmed, now - age);
    }
    request_list(sender_id, beat.list_age_us(), now);
    const bool newer = revision > m_plan->revision;
    if (newer && now >= m_next_plan_request)
    {
        m_next_plan_request = now + plan_request_interval;
        wire::envelope wanted;
        wanted.mutable_plan_wanted();
        send_to(sender_id, std::move(wanted));
    }
}

auto engine::list_age_us(time_point now) const -> std::int64_t
{
    if (!m_list_known)
    {
        return -1;
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                                 m_list_as_of)
        .count();
}

auto engine::request_list(const instance_id& sender, std::int64_t age_us,
                          time_point now) -> void
{
    const bool too_old = !m_list_known || now - m_list_as_of > max_list_age;
    const auto theirs = now - std::chrono::microseconds(age_us);
    if (age_us < 0 || !too_old || theirs <= m_list_as_of ||
        now < m_next_list_request)
    {
        return;
    }
    m_next_list_request = now + list_request_interval;
    wire::envelope wanted;
    wanted.mutable_plan_wanted()->set_list_only(true);
    send_to(sender, std::move(wanted));
}

auto engine::apply_list(const wire::plan_text& message, time_point now) -> void
{
    const auto as_of = now - std::chrono::microseconds(message.list_age_us());
    if (message.list_age_us() < 0 || (m_list_known && as_of <= m_list_as_of))
    {
        return;
    }
    std::vector<worker::description> workers;
    workers.reserve(message.workers_size());
    for (const auto& item : message.workers())
    {
        workers.push_back(transport::from_wire(item));
    }
    m_worker_manager.update_list(workers);
    m_list_known = true;
    m_list_as_of = as_of;
    m_membership_changed = true;
    m_capacity_changed = true;
}

auto engine::apply_usage(const instance_id& sender, const wire::heartbeat& beat)
    -> void
{
    auto& reported = m_usage[sender];
    reported.clear();
    for (const auto& item : beat.usage())
    {
        resources in_use;
        in_use.slots = item.slots();
        reported.push_back({workspace_name(item.workspace()), in_use});
    }
    std::map<workspace_name, resources> totals;
    for (const auto& [id, items] : m_usage)
    {
        for (const auto& item : items)
        {
            totals[item.workspace] += item.in_use;
        }
    }
    std::vector<policy::workspace_usage> elsewhere;
    elsewhere.reserve(totals.size());
    for (const auto& [workspace, in_use] : totals)
    {
        elsewhere.push_back({workspace, in_use});
    }
    m_scheduler.set_usage_elsewhere(elsewhere);
}

auto engine::publish_alive(time_point now) -> void
{
    std::unordered_set<std::string> names;
    names.insert(ownership::holder{self_id(), m_config.self.incarnation}.str());
    for (const auto& [id, item] : m_members.all())
    {
        // A longer timeout than for ownership: if a live instance were taken
        // for dead, a repeated request would get the answer "outcome unknown",
        // which cannot be corrected later.
        const bool heard = item.last_alive != time_point{};
        if (heard &&
            now - item.last_alive <=
                key_holder_timeout_factor * m_config.liveness.suspect_after)
        {
            names.insert(ownership::holder{id, item.incarnation}.str());
        }
    }
    m_effects.alive = std::move(names);
}

auto engine::update_links(time_point now) -> void
{
    for (auto link = m_links.begin(); link != m_links.end();)
    {
        const auto& id = link->first;
        const auto* const item = m_members.find(id);
        // A new incarnation of an instance restarts the numbering of its
        // grants.
        const bool same_life =
            item != nullptr && item->incarnation == link->second.incarnation;
        if (id == self_id() || (same_life && m_members.alive(id, now)))
        {
            ++link;
            continue;
        }
        m_desk.remove_owner(id);
        m_demand_tracker.remove_entry(id);
        m_pending_releases.erase(id);
        m_usage.erase(id);
        m_membership_changed = true;
        m_demand_changed = true;
        link = m_links.erase(link);
    }
    for (const auto& [id, item] : m_members.all())
    {
        if (m_members.alive(item, now) && m_links.count(id) == 0)
        {
            m_links[id].incarnation = item.incarnation;
            m_desk.update_owner(id, item.free_slots);
            m_membership_changed = true;
            m_demand_changed = true;
        }
    }
}

auto engine::current_view(time_point now) const -> ownership::membership_view
{
    ownership::membership_view seen;
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
    seen.has_quorum = has_quorum(now);
    return seen;
}

auto engine::is_known_dead(const membership::member& item) const -> bool
{
    // Each instance rewrites its row whenever it reads the list. A row that
    // does not change while this instance can read the table therefore belongs
    // to an instance that has ended, not to one that is merely unreachable.
    return item.row_changed_at != time_point{} &&
           m_table_read - item.row_changed_at > row_timeout;
}

auto engine::is_isolated(time_point now) const -> bool
{
    const bool table_silent = now - m_table_read > table_timeout;
    return table_silent && !has_quorum(now);
}

auto engine::has_quorum(time_point now) const -> bool
{
    std::size_t known = 1;
    std::size_t heard = 1;
    for (const auto& [id, item] : m_members.all())
    {
        const bool ever_heard = item.last_direct != time_point{};
        if (!ever_heard || item.state == membership::member_state::left ||
            is_known_dead(item))
        {
            continue;
        }
        ++known;
        heard += m_members.alive(item, now) ? 1 : 0;
    }
    return 2 * heard >= known;
}

auto engine::add_relayed(wire::heartbeat& body, time_point now) -> void
{
    const auto& all = m_members.all();
    if (!m_config.relay || all.empty())
    {
        return;
    }
    // Round robin: each instance is relayed by many others, so a few members
    // per heartbeat keep its state recent, and the bytes sent grow linearly
    // with the number of instances, not quadratically.
    const auto count = std::min(relays_per_heartbeat, all.size());
    auto item = std::next(
        all.begin(), static_cast<std::ptrdiff_t>(m_relay_cursor % all.size()));
    for (std::size_t i = 0; i < count; ++i)
    {
        if (item->second.last_alive != time_point{})
        {
            *body.add_relayed() = transport::to_wire(item->second, now);
        }
        ++item;
        item = item == all.end() ? all.begin() : item;
    }
    m_relay_cursor += count;
}

auto engine::beat(time_point now) -> void
{
    m_config.self.plan_revision = m_plan->revision;
    m_config.self.workers_held =
        static_cast<std::int64_t>(m_worker_manager.ledger().accounts().size());
    m_config.self.free_slots = m_worker_manager.ledger().free_total().slots;
    m_config.self.last_alive = now;
    ++m_config.self.sequence;
    publish_alive(now);
    m_desk.update_owner(self_id(), m_config.self.free_slots);
    wire::envelope message;
    auto* const body = message.mutable_beat();
    *body->mutable_self() = transport::to_wire(m_config.self, now);
    for (const auto& workspace : m_plan->parsed.workspaces)
    {
        const auto used = m_worker_manager.ledger().used_by(workspace.name);
        if (used.total.slots > 0)
        {
            auto* const line = body->add_usage();
            line->set_workspace(workspace.name.str());
            line->set_slots(used.total.slots);
        }
    }
    body->set_list_age_us(list_age_us(now));
    body->set_plan_confirmed_age_us(-1);
    if (m_plan_confirmed != time_point{})
    {
        const auto age = std::chrono::duration_cast<std::chrono::microseconds>(
            now - m_plan_confirmed);
        body->set_plan_confirmed_age_us(age.count());
    }
    add_relayed(*body, now);
    std::vector<std::string> addresses = m_config.seeds;
    for (const auto& [id, item] : m_members.all())
    {
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
            m_effects.sends.push_back({address, add_sender(message)});
        }
    }
}

} // namespace pimentoshunt::control
