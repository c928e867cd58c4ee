#include <pimentoshunt/control/engine.hpp>

#include <pimentoshunt/transport/wire_codec.hpp>

#include <algorithm> // find, max, min
#include <iterator>  // next
#include <utility>   // move

namespace pimentoshunt::control
{
namespace
{

/// Between two requests for a newer plan.
constexpr milliseconds plan_request_interval{100};
/// A list older than this is asked for at another instance.
constexpr milliseconds list_too_old{2'500};
/// Between two requests for a fresher list.
constexpr milliseconds list_request_interval{500};
/// Without an answer of the table for this long it counts as out of reach.
constexpr milliseconds table_silence{5'000};
/// An instance whose row in the table stays as it is for this long is dead.
constexpr milliseconds row_silence{4'000};

/// Silences, each long enough to take over workers, after which the holder of
/// an idempotency key counts as dead.
constexpr int key_holder_silence = 3;
/// Other instances that one heartbeat tells of.
constexpr std::size_t relays_per_beat = 3;

} // namespace

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
    take_usage(sender_id, beat);
    if (m_links.count(sender_id) != 0)
    {
        m_desk.update_owner(sender_id, free_slots);
    }
    if (beat.plan_confirmed_age_us() >= 0 && revision <= m_plan->revision)
    {
        const std::chrono::microseconds age(beat.plan_confirmed_age_us());
        m_plan_confirmed = std::max(m_plan_confirmed, now - age);
    }
    want_list(sender_id, beat.list_age_us(), now);
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

auto engine::want_list(const instance_id& sender, std::int64_t age_us,
                       time_point now) -> void
{
    const bool too_old = !m_list_known || now - m_list_as_of > list_too_old;
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

auto engine::take_list(const wire::plan_text& message, time_point now) -> void
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
    m_keeper.listed(workers);
    m_list_known = true;
    m_list_as_of = as_of;
    m_membership_changed = true;
    m_capacity_changed = true;
}

auto engine::take_usage(const instance_id& sender, const wire::heartbeat& beat)
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
    m_picker.set_usage_elsewhere(elsewhere);
}

auto engine::publish_alive(time_point now) -> void
{
    std::unordered_set<std::string> names;
    names.insert(ownership::holder{self_id(), m_config.self.incarnation}.str());
    for (const auto& [id, item] : m_members.all())
    {
        // Later than for ownership: a repeat that takes a live instance for
        // dead is told that its outcome is unknown, and can't take it back.
        const bool heard = item.last_alive != time_point{};
        if (heard && now - item.last_alive <=
                         key_holder_silence * m_config.liveness.suspect_after)
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
        // A new life of the same instance numbers its grants anew.
        const bool same_life =
            item != nullptr && item->incarnation == link->second.incarnation;
        if (id == self_id() || (same_life && m_members.alive(id, now)))
        {
            ++link;
            continue;
        }
        m_desk.remove_owner(id);
        m_board.gone(id);
        m_returns.erase(id);
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

auto engine::known_dead(const membership::member& item) const -> bool
{
    // Rows are renewed with each reading of the list, so a row that stays as
    // it is while we read the table belongs to an instance that is gone. It
    // may not be taken for one that is merely out of our hearing.
    return item.row_changed_at != time_point{} &&
           m_table_read - item.row_changed_at > row_silence;
}

auto engine::isolated(time_point now) const -> bool
{
    const bool table_silent = now - m_table_read > table_silence;
    return table_silent && !quorate(now);
}

auto engine::quorate(time_point now) const -> bool
{
    std::size_t known = 1;
    std::size_t heard = 1;
    for (const auto& [id, item] : m_members.all())
    {
        const bool ever_heard = item.last_direct != time_point{};
        if (!ever_heard || item.state == membership::member_state::left ||
            known_dead(item))
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
    // In turn: each instance is relayed by many others, so a few a beat keep
    // the knowledge of it fresh, and bytes grow with instances, not squared.
    const auto count = std::min(relays_per_beat, all.size());
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
        static_cast<std::int64_t>(m_keeper.ledger().accounts().size());
    m_config.self.free_slots = m_keeper.ledger().free_total().slots;
    m_config.self.last_alive = now;
    ++m_config.self.sequence;
    publish_alive(now);
    m_desk.update_owner(self_id(), m_config.self.free_slots);
    wire::envelope message;
    auto* const body = message.mutable_beat();
    *body->mutable_self() = transport::to_wire(m_config.self, now);
    for (const auto& workspace : m_plan->parsed.workspaces)
    {
        const auto used = m_keeper.ledger().used_by(workspace.name);
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
            m_effects.sends.push_back({address, stamp(message)});
        }
    }
}

} // namespace pimentoshunt::control
