#include <pimentoshunt/cell/ownership.hpp>

#include <cell.pb.h>

#include <utility> // move

namespace pimentoshunt::cell
{

auto to_bytes(const lease_content& content) -> std::string
{
    wire::stored_owner out;
    out.set_epoch(content.epoch);
    out.set_instance(content.instance);
    out.set_peer_address(content.peer_address);
    out.set_incarnation(content.incarnation);
    out.set_released(content.released);
    out.set_renewals(content.renewals);
    out.set_unsettled(content.unsettled);
    out.set_brief_owners(content.brief_owners);
    out.set_silence_kept_since(content.silence_kept_since);
    return out.SerializeAsString();
}

auto read_lease(const std::string& bytes) -> lease_content
{
    wire::stored_owner from;
    lease_content out;
    if (!from.ParseFromString(bytes))
    {
        return out;
    }
    out.epoch = from.epoch();
    out.instance = from.instance();
    out.peer_address = from.peer_address();
    out.incarnation = from.incarnation();
    out.released = from.released();
    out.renewals = from.renewals();
    out.unsettled = from.unsettled();
    out.brief_owners = from.brief_owners();
    out.silence_kept_since = from.silence_kept_since();
    return out;
}

ownership::ownership(std::string instance, std::string peer_address,
                     std::uint64_t incarnation, ownership_options options,
                     time_point now)
    : m_instance(std::move(instance)), m_peer_address(std::move(peer_address)),
      m_incarnation(incarnation), m_options(options), m_next_read(now)
{
}

auto ownership::on_row_read(const lease_reading& row, time_point now) -> void
{
    // Reads with a long gap say nothing about changes in between.
    const bool continuous =
        m_row_known && now - m_last_reading < m_options.take_over_after;
    if (!continuous || row.version != m_row.version)
    {
        // The heartbeat named the version that the row had when it was sent.
        const bool matches_heartbeat = row.version == m_heartbeat_row_version;
        m_row_since = matches_heartbeat ? m_last_heartbeat_at : now;
        if (matches_heartbeat && m_unconfirmed_owner)
        {
            m_row_since =
                now - (m_options.take_over_after - m_options.unconfirmed_grace);
        }
    }
    m_row = row;
    m_row_known = true;
    m_last_reading = now;
    if (row.content.epoch >= m_epoch)
    {
        if (row.content.epoch > m_epoch)
        {
            m_unowned_since.reset();
        }
        m_epoch = row.content.epoch;
        m_released = row.content.released || m_epoch <= m_released_epoch;
        m_owner_address = row.content.peer_address;
    }
}

auto ownership::on_owner_heartbeat(const owner_heartbeat& heartbeat,
                                   time_point now) -> void
{
    if (heartbeat.epoch < m_epoch || heartbeat.instance == m_instance)
    {
        return;
    }
    if (heartbeat.released)
    {
        m_released_epoch = heartbeat.epoch;
    }
    m_epoch = heartbeat.epoch;
    m_successors = heartbeat.successors;
    m_owner_address = heartbeat.peer_address;
    m_last_heartbeat_at = now;
    m_heartbeat_row_version = heartbeat.row_version;
    m_released = heartbeat.released;
    m_unconfirmed_owner =
        heartbeat.confirmed_age >= m_options.unconfirmed_after;
}

auto ownership::next_step(time_point now) -> ownership_step
{
    if (m_owner)
    {
        return ownership_step::nothing;
    }
    const bool heard = now - m_last_heartbeat_at < m_options.suspect_after;
    if (heard && !m_unconfirmed_owner && !m_released)
    {
        m_unowned_since.reset();
        return ownership_step::nothing;
    }
    const bool is_fresh =
        m_row_known && now - m_last_reading < 2 * m_options.read_interval;
    const bool is_unowned = has_last_owner_ended() ||
                            now - m_row_since >= m_options.take_over_after;
    if (is_fresh && is_my_turn(is_unowned, now))
    {
        m_row_known = false;
        m_unowned_since.reset();
        return ownership_step::take_over;
    }
    if (now >= m_next_read)
    {
        m_next_read = now + m_options.read_interval;
        return ownership_step::read_row;
    }
    return ownership_step::nothing;
}

auto ownership::is_my_turn(bool is_unowned, time_point now) -> bool
{
    if (!is_unowned)
    {
        m_unowned_since.reset();
        return false;
    }
    m_unowned_since = m_unowned_since.value_or(now);
    // Only this instance knows that its earlier incarnation has ended.
    if (is_earlier_incarnation() &&
        policy::has_enough_cpu(m_options.millicpus, m_options.succession))
    {
        return true;
    }
    return now - *m_unowned_since >=
           policy::claim_delay(m_instance, m_options.millicpus, m_successors,
                               m_epoch, m_options.succession);
}

auto ownership::held(time_point now) const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(now - m_taken_over_at);
}

auto ownership::claim() const -> lease_content
{
    lease_content out{m_row.content.epoch + 1, m_instance, m_peer_address,
                      m_incarnation,           false,      0};
    out.unsettled = !earlier_owner_ended();
    const auto& before = m_row.content;
    const bool brief =
        m_row.version > 0 && before.renewals < m_options.brief_renewals;
    out.brief_owners = brief ? before.brief_owners + 1 : 0;
    out.silence_kept_since =
        before.silence_kept_since > 0 ? before.silence_kept_since : out.epoch;
    return out;
}

auto ownership::renewal(bool released) const -> lease_content
{
    lease_content out{m_epoch,       m_instance, m_peer_address,
                      m_incarnation, released,   m_row.content.renewals + 1};
    out.unsettled = m_row.content.unsettled &&
                    m_confirmed_at - m_taken_over_at < m_options.settled_after;
    out.brief_owners = m_row.content.brief_owners;
    out.silence_kept_since = m_row.content.silence_kept_since;
    return out;
}

auto ownership::confirmed(std::uint64_t version, const lease_content& content,
                          time_point sent_at) -> void
{
    if (!m_owner || content.epoch != m_epoch)
    {
        m_taken_over_at = sent_at;
    }
    m_row = {version, content};
    m_epoch = content.epoch;
    m_owner = true;
    m_released = false;
    m_owner_address = m_peer_address;
    m_confirmed_at = sent_at;
}

auto ownership::lost(time_point now) -> void
{
    m_owner = false;
    m_row_known = false;
    m_owner_address.clear();
    m_next_read = now;
}

auto ownership::release_to(std::vector<std::string> successors, time_point now)
    -> void
{
    lost(now);
    m_released_epoch = m_epoch;
    m_released = true;
    m_successors = std::move(successors);
}

auto ownership::is_mine(const lease_content& content) const -> bool
{
    return content.instance == m_instance &&
           content.incarnation == m_incarnation;
}

auto ownership::confirmed_age(time_point now) const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(now - m_confirmed_at);
}

auto ownership::may_act(bool followed, time_point now) const -> bool
{
    return m_owner &&
           (followed || now - m_confirmed_at < m_options.max_unconfirmed_age);
}

} // namespace pimentoshunt::cell
