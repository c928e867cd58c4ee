/// @file
/// When an owner that lives lets the cell go so that another instance takes it.
/// Answers an owner that the store fails alone, one that has become slow, and
/// one that is too small while a larger one is there. No I/O and no clock.
#pragma once

#include <pimentoshunt/cell/policy/succession.hpp>
#include <pimentoshunt/clock.hpp>

#include <cstddef>  // size_t
#include <cstdint>  // int64_t, uint32_t
#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::cell::policy
{

/// @brief How an owner stands.
struct owner_health
{
    /// Its share of processors, in thousandths of one; 0: not known.
    std::int64_t millicpus = 0;
    /// By how much its timers are late.
    milliseconds lag{0};
    /// Since it took the cell over.
    milliseconds held{0};
    /// Owners in a row, before this one, that held the cell for moments only.
    std::uint32_t brief_owners = 0;
    /// Whether it has read the cell.
    bool loaded = false;
    /// Whether the store has answered others since it failed this one.
    bool store_fails_here = false;
    /// Instances heard of late, and those of them whose last call to the store
    /// was answered: a slow store answers now this one, now that one.
    std::size_t heard = 0;
    std::size_t heard_with_store = 0;
};

/// @brief Limits of handing over.
struct hand_over_options
{
    /// An owner whose timers are later than that is slow, ...
    milliseconds slow_threshold{150};
    /// ... and hands over when it stays so for this long.
    milliseconds slow_for{1'000};
    /// A larger instance must be there for this long.
    milliseconds stronger_for{1'000};
    /// Calls of a slow owner run out of time by its own fault: only after so
    /// long the store is taken to fail it.
    milliseconds store_fails_slow_for{1'500};
    /// Time for which an owner keeps the cell at least when the one before it
    /// held it for moments only; doubles with each of them.
    milliseconds min_tenure{500};
    /// Times that it doubles at most.
    std::uint32_t max_doublings = 5;
    /// A small owner reads the whole cell first: what comes in between waits.
    milliseconds min_tenure_small{2'000};
};

/// @brief Why an owner hands over.
enum class hand_over_reason
{
    store_fails_here,
    slow,
    larger_instance
};

[[nodiscard]] auto to_string(hand_over_reason why) -> std::string;

/// @brief Weighs whether to hand over; told of each moment in turn.
class hand_over_policy
{
  public:
    explicit hand_over_policy(hand_over_options options = {},
                              succession_options succession = {})
        : m_options(options), m_succession(succession)
    {
    }

    /// @param best  who would take over; nothing: nobody could
    /// @return why to hand over now, or nothing
    [[nodiscard]] auto decide(const owner_health& own,
                              const std::optional<candidate>& best,
                              time_point now)
        -> std::optional<hand_over_reason>;

  private:
    /// How long something holds without a break.
    class condition_timer
    {
      public:
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
    condition_timer m_stronger;
};

} // namespace pimentoshunt::cell::policy
