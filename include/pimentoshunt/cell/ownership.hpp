/// @file
/// Decides when this instance takes the cell over, keeps it or releases it. It
/// is fed with reads of the lease row and heartbeats of the owner, and returns
/// the next step. Control thread only; no I/O.
#pragma once

#include <pimentoshunt/cell/policy/succession.hpp>
#include <pimentoshunt/clock.hpp>

#include <cstdint>  // int64_t, uint32_t, uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::cell
{

/// @brief Content of the lease row.
struct lease_content
{
    std::uint64_t epoch = 0;
    std::string instance;
    std::string peer_address;
    std::uint64_t incarnation = 0;
    bool released = false;
    std::uint64_t renewals = 0;
    /// Whether an owner before this one may still act, not knowing that it was
    /// replaced.
    bool unsettled = false;
    /// Consecutive owners before this one that held the cell only briefly.
    std::uint32_t brief_owners = 0;
    /// The first of the successive owners up to this one that extend no lease on
    /// a worker whose row shows a silence; 0: an earlier version of the program,
    /// which does not know of it. See @ref roster_entry::no_orders_for.
    std::uint64_t silence_kept_since = 0;
};

/// @brief The lease row as read from the store; version 0: it does not exist.
struct lease_reading
{
    std::uint64_t version = 0;
    lease_content content;
};

/// @brief Serializes the content of the lease row.
[[nodiscard]] auto to_bytes(const lease_content& content) -> std::string;
/// @brief Parses the lease row.
/// @return empty content with epoch 0 if the bytes can't be parsed
[[nodiscard]] auto read_lease(const std::string& bytes) -> lease_content;

/// @brief Heartbeat of the owner to all other instances.
struct owner_heartbeat
{
    std::uint64_t epoch = 0;
    std::string instance;
    std::string peer_address;
    bool released = false;
    /// Time since the store last confirmed the ownership.
    milliseconds confirmed_age{0};
    /// Version of the lease row as last written by the owner.
    std::uint64_t row_version = 0;
    /// Instances that should take the cell over, the preferred one first.
    std::vector<std::string> successors;
};

/// @brief Intervals and timeouts of the ownership.
struct ownership_options
{
    /// How often the owner renews its lease row.
    milliseconds renew_interval{400};
    /// A follower that has heard nothing from the owner for this time reads the
    /// row.
    milliseconds suspect_after{700};
    /// A row that has not changed for this time belongs to an owner that can't
    /// renew it: two renewals would fit in.
    milliseconds take_over_after{1'100};
    /// When an owner reports that its last confirmation is older than this,
    /// followers watch its row in the store although they hear it.
    milliseconds unconfirmed_after{900};
    /// How long followers watch the row of such an owner: it would have renewed
    /// the row in this time if it reached the store.
    milliseconds unconfirmed_grace{500};
    /// How often a follower reads the row while it suspects the owner.
    milliseconds read_interval{100};
    /// An owner without a confirmation for this time renews no worker leases
    /// and starts no runs, unless all other instances follow it.
    milliseconds max_unconfirmed_age{3'000};
    /// After this time as owner, the owner before it certainly no longer acts:
    /// @ref max_unconfirmed_age plus the time that a transaction may take.
    milliseconds settled_after{4'000};
    /// An owner with fewer renewals of its row counts as brief.
    std::uint64_t brief_renewals = 20;
    /// Processors available to this instance, in thousandths of one; 0:
    /// unknown.
    std::int64_t millicpus = 0;
    policy::succession_options succession;
};

/// @brief What a follower does next.
enum class ownership_step
{
    nothing,
    read_row,
    take_over
};

/// @brief View of one instance on the ownership of the cell.
class ownership
{
  public:
    ownership(std::string instance, std::string peer_address,
              std::uint64_t incarnation, ownership_options options,
              time_point now);

    /// @brief Records the row as read from the store or returned by a
    /// transaction.
    auto on_row_read(const lease_reading& row, time_point now) -> void;
    /// @brief Records a heartbeat; those of earlier epochs and own ones are
    /// ignored.
    auto on_owner_heartbeat(const owner_heartbeat& heartbeat, time_point now)
        -> void;

    /// @brief Returns what this instance does next as a follower; nothing if it
    /// is the owner.
    [[nodiscard]] auto next_step(time_point now) -> ownership_step;

    /// @brief Whether all earlier owners have certainly ended.
    [[nodiscard]] auto earlier_owner_ended() const -> bool
    {
        return has_last_owner_ended() && !m_row.content.unsettled;
    }

    /// @brief Time since this instance took the cell over.
    [[nodiscard]] auto held(time_point now) const -> milliseconds;
    /// @brief Consecutive owners before this one that held the cell only
    /// briefly.
    [[nodiscard]] auto brief_owners() const noexcept -> std::uint32_t
    {
        return m_row.content.brief_owners;
    }

    /// @brief Content of the row for a takeover (claim) or a renewal.
    [[nodiscard]] auto claim() const -> lease_content;
    [[nodiscard]] auto renewal(bool released) const -> lease_content;
    /// @brief Version of the row on which a takeover or renewal is conditional.
    [[nodiscard]] auto version() const noexcept -> std::uint64_t
    {
        return m_row.version;
    }

    /// @brief Records that the row names this instance as owner.
    /// @param version  of the written row
    /// @param content  of the written row
    /// @param sent_at  when the transaction was sent
    auto confirmed(std::uint64_t version, const lease_content& content,
                   time_point sent_at) -> void;
    /// @brief Ends the ownership after a release or a takeover by another
    /// instance.
    auto lost(time_point now) -> void;
    /// @brief Ends the ownership in favour of the @p successors, which get to
    /// claim the cell before this instance does.
    auto release_to(std::vector<std::string> successors, time_point now)
        -> void;

    /// @brief Whether this instance owns the cell.
    [[nodiscard]] auto owner() const noexcept -> bool
    {
        return m_owner;
    }
    /// @brief Whether the row names this incarnation of this instance.
    [[nodiscard]] auto is_mine(const lease_content& content) const -> bool;
    /// @brief Time since the last confirmed transaction of this owner was sent.
    [[nodiscard]] auto confirmed_age(time_point now) const -> milliseconds;
    /// @brief Whether the owner may renew worker leases and start runs.
    /// @param followed  whether all other instances follow it now
    [[nodiscard]] auto may_act(bool followed, time_point now) const -> bool;

    /// @brief When the last transaction that confirmed the ownership was sent.
    [[nodiscard]] auto confirmed_at() const noexcept -> time_point
    {
        return m_confirmed_at;
    }

    /// @brief Highest known epoch.
    [[nodiscard]] auto epoch() const noexcept -> std::uint64_t
    {
        return m_epoch;
    }
    /// @brief Address of the owner; empty if unknown.
    [[nodiscard]] auto owner_address() const noexcept -> const std::string&
    {
        return m_owner_address;
    }
    [[nodiscard]] auto options() const noexcept -> const ownership_options&
    {
        return m_options;
    }

  private:
    /// Whether the row names an earlier incarnation of this instance.
    [[nodiscard]] auto is_earlier_incarnation() const -> bool
    {
        return m_row.version > 0 && m_row.content.instance == m_instance &&
               m_row.content.incarnation != m_incarnation;
    }
    /// Whether the owner that the row names has certainly ended: it has
    /// released the cell, or it was this instance.
    [[nodiscard]] auto has_last_owner_ended() const -> bool
    {
        return m_row.version == 0 || m_row.content.released ||
               m_row.content.instance == m_instance ||
               m_row.content.epoch <= m_released_epoch;
    }

    /// Whether the cell has had no owner for as long as this instance must let
    /// others claim it first.
    [[nodiscard]] auto is_my_turn(bool is_unowned, time_point now) -> bool;

    std::string m_instance;
    std::string m_peer_address;
    std::uint64_t m_incarnation;
    ownership_options m_options;
    lease_reading m_row;
    bool m_row_known = false;
    /// Since when the row is known to be unchanged.
    time_point m_row_since;
    time_point m_last_reading;
    time_point m_next_read;
    time_point m_last_heartbeat_at;
    std::uint64_t m_heartbeat_row_version = 0;
    bool m_unconfirmed_owner = false;
    bool m_released = false;
    /// Named in the last heartbeat of the owner.
    std::vector<std::string> m_successors;
    /// When reads first showed that the cell has no owner.
    std::optional<time_point> m_unowned_since;
    /// Highest epoch whose owner has announced its own release.
    std::uint64_t m_released_epoch = 0;
    bool m_owner = false;
    std::uint64_t m_epoch = 0;
    std::string m_owner_address;
    time_point m_confirmed_at;
    time_point m_taken_over_at;
};

} // namespace pimentoshunt::cell
