/// @file
/// Which workers suit a step by their speed. Answers a load of heterogeneous
/// workers on which steps with a close objective and steps with slack compete:
/// the former go to fast workers, the latter to slow ones as long as they meet
/// their objective there.
///
/// Inputs: speeds of the workers and free share of the fast ones, at most half a
/// second old; the step's objective. Without known differences between speeds
/// the preference is inactive, and choices are made as if all were equal. Used
/// by the scheduler on the control thread; no I/O.
#pragma once

#include <pimentoshunt/cell/detail/records.hpp>
#include <pimentoshunt/cell/policy/dispatch_order.hpp>
#include <pimentoshunt/clock.hpp>

#include <cstdint> // int64_t
#include <vector>  // vector

namespace pimentoshunt::cell::policy
{

/// @brief Speeds of the workers of one service.
struct speed_range
{
    /// Whether they differ by more than a tenth.
    bool differ = false;
    /// Speed that a fifth of the processors don't exceed, and that of the
    /// fastest twentieth.
    double slow = 1.0;
    double fast = 1.0;
    /// Free share of the processors of workers that are nearer to @ref fast than
    /// to @ref slow.
    double fast_free = 1.0;
};

/// @brief Computes the range of the given workers' speeds.
[[nodiscard]] auto range_of(std::vector<const detail::worker_record*> workers)
    -> speed_range;

/// @brief Preference of a step for workers by their speed.
struct speed_preference
{
    bool active = false;
    /// Whether the fastest workers come first; otherwise the slowest of those
    /// with at least the @ref required speed.
    bool fast_first = false;
    double required = 0.0;
    double slow = 1.0;
    double fast = 1.0;

    /// @brief Cost of a worker; speeds within a tenth of each other cost the
    /// same.
    [[nodiscard]] auto cost(double speed) const -> double;
};

/// @brief Evaluates a preference for many workers.
class speed_cost
{
  public:
    explicit speed_cost(const speed_preference& preference);

    /// @brief As @ref speed_preference::cost.
    /// @param log_speed  logarithm of the worker's speed
    [[nodiscard]] auto operator()(double log_speed) const -> double;

  private:
    speed_preference m_preference;
    double m_log_slow = 0;
    double m_log_fast = 0;
    double m_log_required = 0;
};

/// @brief Preference of a step that waits.
/// @param item  with its deadlines
/// @param factor  between declared and real run times of its queue
[[nodiscard]] auto preference_of(const waiting_step& item,
                                 const speed_range& range, double factor,
                                 time_point now) -> speed_preference;

/// @brief How many times as long as one task the slowest of @p tasks tasks
/// takes.
[[nodiscard]] auto slowest_of(std::size_t tasks) -> double;

/// @brief Sorts stably by preference; workers whose unclaimed processors don't
/// suffice for one task come last. Leaves the order if the preference is
/// inactive.
auto sort_by_speed(std::vector<detail::worker_record*>& workers,
                   const speed_preference& preference, std::int64_t millicpus)
    -> void;

} // namespace pimentoshunt::cell::policy
