/// @file
/// Decides when this instance takes the cell over, keeps it or lets it go. No
/// I/O: it is told of rows and messages and says what to do.
#pragma once

#include <pimentoshunt/cell/policy/succession.hpp>
#include <pimentoshunt/clock.hpp>

#include <cstdint>  // int64_t, uint32_t, uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::cell
{

/// @brief The lease row's content.
struct lease_content
{
    std::uint64_t epoch = 0;
    std::string instance;
    std::string peer_address;
    std::uint64_t incarnation = 0;
    bool released = false;
    std::uint64_t renewals = 0;
    /// An owner before this one may not have noticed yet that it is over.
    bool unsettled = false;
    /// Owners in a row, before this one, that held the cell for moments only.
    std::uint32_t brief_owners = 0;
};

/// @brief The lease row as it was read; version 0: there is none.
struct lease_reading
{
    std::uint64_t version = 0;
    lease_content content;
};

[[nodiscard]] auto to_bytes(const lease_content& content) -> std::string;
[[nodiscard]] auto read_lease(const std::string& bytes) -> lease_content;

/// @brief What an owner tells the other instances.
struct owner_heartbeat
{
    std::uint64_t epoch = 0;
    std::string instance;
    std::string peer_address;
    bool released = false;
    /// How long ago the store confirmed it.
    milliseconds confirmed_age{0};
    /// The lease row's version as the owner knows it.
    std::uint64_t row_version = 0;
    /// Instances that should take the cell over, the first one first.
    std::vector<std::string> successors;
};

/// @brief Times of the ownership.
struct ownership_options
{
    /// How often the owner renews its row.
    milliseconds renew_interval{400};
    /// A follower that hears nothing for so long reads the row.
    milliseconds suspect_after{700};
    /// A row unchanged for so long has no owner that could renew: two renewals
    /// fit in.
    milliseconds take_over_after{1'100};
    /// An owner whose row was not renewed for so long is watched in the store
    /// although it is heard.
    milliseconds unconfirmed_after{900};
    /// How long the row of such an owner is watched: it would have renewed it
    /// by then if it reached the store.
    milliseconds unconfirmed_grace{500};
    /// How often a follower reads the row while it suspects.
    milliseconds read_interval{100};
    /// Without a confirmation for so long, an owner renews no leases and
    /// starts nothing, unless all other instances follow it.
    milliseconds max_unconfirmed_age{3'000};
    /// After so long as owner, the one before it acts no more: its limit, and
    /// the time that a transaction may take.
    milliseconds settled_after{4'000};
    /// An owner that has renewed its row less often held the cell for moments
    /// only.
    std::uint64_t brief_renewals = 20;
    /// This instance's share of processors, in thousandths of one; 0: not
    /// known.
    std::int64_t millicpus = 0;
    policy::succession_options succession;
};

/// @brief The next step of a follower.
enum class ownership_step
{
    nothing,
    read_row,
    take_over
};

/// @brief What one instance knows of the cell's ownership.
class ownership
{
  public:
    ownership(std::string instance, std::string peer_address,
              std::uint64_t incarnation, ownership_options options,
              time_point now);

    /// @brief The row was read, or a transaction has shown it.
    auto on_row_read(const lease_reading& row, time_point now) -> void;
    /// @brief The owner was heard.
    auto on_owner_heartbeat(const owner_heartbeat& heartbeat, time_point now)
        -> void;

    /// @brief What a follower does now.
    [[nodiscard]] auto next_step(time_point now) -> ownership_step;

    /// @brief Whether all earlier owners are over for certain.
    [[nodiscard]] auto earlier_owner_ended() const -> bool
    {
        return has_last_owner_ended() && !m_row.content.unsettled;
    }

    /// @brief Since this instance took the cell over.
    [[nodiscard]] auto held(time_point now) const -> milliseconds;
    /// @brief Owners in a row, before this one, that held the cell for moments
    /// only.
    [[nodiscard]] auto brief_owners() const noexcept -> std::uint32_t
    {
        return m_row.content.brief_owners;
    }

    /// @brief What the row should say for a takeover or a renewal.
    [[nodiscard]] auto claim() const -> lease_content;
    [[nodiscard]] auto renewal(bool released) const -> lease_content;
    /// @brief The row's version that either depends on.
    [[nodiscard]] auto version() const noexcept -> std::uint64_t
    {
        return m_row.version;
    }

    /// @brief The row now says that this instance owns the cell.
    /// @param sent_at  when the transaction was sent
    auto confirmed(std::uint64_t version, const lease_content& content,
                   time_point sent_at) -> void;
    /// @brief This instance lets go or was overtaken.
    auto lost(time_point now) -> void;
    /// @brief This instance lets go for one of the @p successors, and lets them
    /// try first.
    auto release_to(std::vector<std::string> successors, time_point now)
        -> void;

    [[nodiscard]] auto owner() const noexcept -> bool
    {
        return m_owner;
    }
    /// @brief Whether the row names this life of this instance.
    [[nodiscard]] auto is_mine(const lease_content& content) const -> bool;
    /// @brief Age of the store's last confirmation, for an owner.
    [[nodiscard]] auto confirmed_age(time_point now) const -> milliseconds;
    /// @brief Whether an owner may renew leases and start work.
    /// @param followed  whether all other instances follow it now
    [[nodiscard]] auto may_act(bool followed, time_point now) const -> bool;

    /// @brief When the transaction was sent that confirmed the ownership last.
    [[nodiscard]] auto confirmed_at() const noexcept -> time_point
    {
        return m_confirmed_at;
    }

    /// @brief The highest epoch known.
    [[nodiscard]] auto epoch() const noexcept -> std::uint64_t
    {
        return m_epoch;
    }
    /// @brief Where the owner is reached; empty when it isn't known.
    [[nodiscard]] auto owner_address() const noexcept -> const std::string&
    {
        return m_owner_address;
    }
    [[nodiscard]] auto options() const noexcept -> const ownership_options&
    {
        return m_options;
    }

  private:
    /// Whether the row names an earlier life of this instance.
    [[nodiscard]] auto is_earlier_incarnation() const -> bool
    {
        return m_row.version > 0 && m_row.content.instance == m_instance &&
               m_row.content.incarnation != m_incarnation;
    }
    /// Whether the owner that the row names is over for certain: it let go, or
    /// it was this instance.
    [[nodiscard]] auto has_last_owner_ended() const -> bool
    {
        return m_row.version == 0 || m_row.content.released ||
               m_row.content.instance == m_instance ||
               m_row.content.epoch <= m_released_epoch;
    }

    /// Whether the cell has been free for as long as others may try first.
    [[nodiscard]] auto is_my_turn(bool free, time_point now) -> bool;

    std::string m_instance;
    std::string m_peer_address;
    std::uint64_t m_incarnation;
    ownership_options m_options;
    lease_reading m_row;
    bool m_row_known = false;
    /// Since when readings have shown the row unchanged.
    time_point m_row_since;
    time_point m_last_reading;
    time_point m_next_read;
    time_point m_heard_at;
    std::uint64_t m_heard_version = 0;
    bool m_unconfirmed_owner = false;
    bool m_released = false;
    /// Named by the last owner that was heard.
    std::vector<std::string> m_successors;
    /// Since when readings have shown that nobody owns the cell.
    std::optional<time_point> m_free_since;
    /// The latest epoch whose owner has said itself that it has ended.
    std::uint64_t m_released_epoch = 0;
    bool m_owner = false;
    std::uint64_t m_epoch = 0;
    std::string m_owner_address;
    time_point m_confirmed_at;
    time_point m_taken_over_at;
};

} // namespace pimentoshunt::cell
