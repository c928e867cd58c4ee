/// @file
/// Decides when a live owner hands the cell over to another instance: when only
/// this owner has lost the store, when its event loop is slow, or when it is
/// small and a much larger instance is available. Called by the owner on the
/// control thread; no I/O, the caller passes the time.
#pragma once

#include <pimentoshunt/cell/policy/succession.hpp>
#include <pimentoshunt/clock.hpp>

#include <cstddef>  // size_t
#include <cstdint>  // int64_t, uint32_t
#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::cell::policy
{

/// @brief State of the owner at one moment.
struct owner_health
{
    /// Processors available to it, in thousandths of one; 0: unknown.
    std::int64_t millicpus = 0;
    /// Mean delay of its timers.
    milliseconds lag{0};
    /// Time since it took the cell over.
    milliseconds held{0};
    /// Consecutive owners before this one that held the cell only briefly.
    std::uint32_t brief_owners = 0;
    /// Whether it has loaded the stored state of the cell.
    bool loaded = false;
    /// Whether the store has answered other instances since it failed this one.
    bool store_fails_here = false;
    /// Instances heard from recently, and how many of them had their last store
    /// call answered. A slow store answers instances at random, so that one
    /// failing call here proves nothing.
    std::size_t heard = 0;
    std::size_t heard_with_store = 0;
};

/// @brief Thresholds and durations of hand-over decisions.
struct hand_over_options
{
    /// Timer lag above which an owner counts as slow.
    milliseconds slow_threshold{150};
    /// How long an owner must be slow before it hands over.
    milliseconds slow_for{1'000};
    /// How long a larger instance must be available.
    milliseconds larger_for{1'000};
    /// A slow owner may let store calls time out by itself: the store counts as
    /// failing only after this time.
    milliseconds store_fails_slow_for{1'500};
    /// Minimum time for which an owner keeps the cell when the one before it
    /// held it only briefly; doubles with each consecutive brief owner.
    milliseconds min_tenure{500};
    /// Maximum number of doublings of @ref min_tenure.
    std::uint32_t max_doublings = 5;
    /// Minimum time for which a small owner keeps the cell for a larger
    /// instance: every change costs a load of the whole cell, and new jobs wait
    /// meanwhile.
    milliseconds min_tenure_small{2'000};
};

/// @brief Why an owner hands the cell over.
enum class hand_over_reason
{
    store_fails_here,
    slow,
    larger_instance
};

/// @brief Text of the reason for logs.
[[nodiscard]] auto to_string(hand_over_reason why) -> std::string;

/// @brief Decides whether to hand the cell over; to be called periodically with
/// the current state.
class hand_over_policy
{
  public:
    explicit hand_over_policy(hand_over_options options = {},
                              succession_options succession = {})
        : m_options(options), m_succession(succession)
    {
    }

    /// @param own  state of this owner
    /// @param best  the preferred successor; nothing: no instance can take over
    /// @param now  not earlier than in the call before
    /// @return the reason to hand over now, or nothing
    [[nodiscard]] auto decide(const owner_health& own,
                              const std::optional<candidate>& best,
                              time_point now)
        -> std::optional<hand_over_reason>;

  private:
    /// Measures for how long a condition has been true without interruption.
    class condition_timer
    {
      public:
        /// Records the condition.
        /// @return for how long it has been true; 0 if it is false
        auto update(bool now_true, time_point now) -> milliseconds;

      private:
        std::optional<time_point> m_since;
    };

    [[nodiscard]] auto min_tenure(const owner_health& own) const
        -> milliseconds;

    hand_over_options m_options;
    succession_options m_succession;
    condition_timer m_store_fails;
    condition_timer m_slow;
    condition_timer m_larger;
};

} // namespace pimentoshunt::cell::policy
