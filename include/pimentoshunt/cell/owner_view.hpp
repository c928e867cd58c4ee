/// @file
/// What an instance knows of the owner's state: queue lengths, and by what it
/// refuses jobs. Filled from the scheduler at the owner and from the owner's
/// heartbeats elsewhere. Used by the control thread only.
#pragma once

#include <pimentoshunt/cell/policy/refusals.hpp>
#include <pimentoshunt/cell/scheduler.hpp>

#include <cell.pb.h> // cell_beat

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional

namespace pimentoshunt::cell
{

/// @brief The owner's state as last heard.
class owner_view
{
  public:
    /// @brief Takes the state from this instance's own scheduler. Kinds of
    /// workers that were there before are kept: they may come back.
    auto update(const scheduler& from, time_point now) -> void;

    /// @brief Adds the state to a heartbeat.
    auto write(wire::cell_beat& out, time_point now) const -> void;
    /// @brief Takes the state from a heartbeat.
    auto read(const wire::cell_beat& beat, time_point now) -> void;

    /// @brief Number of jobs of a queue that have not started; nothing if the
    /// state is too old.
    [[nodiscard]] auto pending_of(const queue_name& queue, time_point now) const
        -> std::optional<std::uint64_t>;
    /// @brief Why a new job is refused; nothing if it is to be accepted.
    [[nodiscard]] auto refusal_of(const job_spec& job, time_point now) const
        -> std::optional<policy::refusal>;

  private:
    /// Older counts are not reported: callers may rely on an age of at most two
    /// seconds, besides the time of their own request.
    static constexpr milliseconds max_pending_age{2'500};

    /// New kinds of workers are rare, and finding them takes a look at each
    /// worker.
    static constexpr milliseconds kinds_interval{1'000};

    auto
    update_kinds(const std::map<service_name, policy::service_view>& latest)
        -> void;

    std::map<queue_name, std::uint64_t> m_pending;
    std::map<service_name, policy::service_view> m_services;
    time_point m_updated_at;
    /// When the start estimates were made.
    time_point m_estimated_at;
    /// Epoch, version and time of the last update of the kinds by an own
    /// scheduler.
    std::uint64_t m_kinds_epoch = 0;
    std::uint64_t m_kinds_version = 0;
    time_point m_kinds_updated_at;
};

} // namespace pimentoshunt::cell
