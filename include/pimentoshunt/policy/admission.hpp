/// @file
/// Refuses at arrival what cannot make its deadline.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/policy/run_time_estimator.hpp>

#include <cstdint> // int64_t
#include <vector>  // vector

namespace pimentoshunt::policy
{

/// @brief Work that is served before the request in question.
struct work_ahead
{
    const plan::workload* workload = nullptr;
    std::int64_t count = 0;
};

/// @brief What was decided about an arrival.
enum class admission_outcome
{
    admit,
    /// The work ahead takes longer than the request can wait.
    queue_too_long,
    /// Even with no wait, its run does not end in time.
    deadline_too_short
};

/// @brief The verdict with what the caller is told.
struct admission_decision
{
    admission_outcome outcome = admission_outcome::admit;
    /// For Retry-After: when the queue will have shrunk far enough.
    milliseconds retry_after{0};

    [[nodiscard]] auto admitted() const noexcept -> bool
    {
        return outcome == admission_outcome::admit;
    }
};

/// @brief Limits of @ref admission_controller.
struct admission_options
{
    /// Deviations by which the work ahead is taken to be less than its mean.
    double favourable_deviations = 2.0;
    /// Chance to end in time that the queue has to leave, as a share of the
    /// chance that the request has without a queue.
    double min_relative_chance = 0.95;
    milliseconds min_retry_after{100};
    milliseconds max_retry_after{60'000};
};

/// @brief Decides at arrival; every refusal is final and given at once.
///
/// A request is refused for the queue only where even a favourable course of
/// the work ahead spoils its chance to end in time; a deadline that is tight by
/// itself refuses nothing while any run seen was as fast.
class admission_controller
{
  public:
    explicit admission_controller(admission_options options = {});

    /// @brief Judges one arrival.
    /// @param workload  what is asked for
    /// @param deadline  latest time of its answer
    /// @param ahead  what waits and will be served before it
    /// @param slots  slots that serve this work and what is ahead, whether
    ///               free or in use; 0 where not known: nothing is refused for
    ///               the queue
    /// @param times  learned run times
    /// @param now  time of the arrival
    /// @complexity linear in the number of lines of @p ahead
    [[nodiscard]] auto
    judge(const plan::workload& workload, time_point deadline,
          const std::vector<work_ahead>& ahead, std::int64_t slots,
          const run_time_estimator& times, time_point now) const
        -> admission_decision;

    /// @brief From when on a run of @p workload would likely end too late.
    ///
    /// A request that waits longer goes behind those that can still make it;
    /// see wait_queue::push.
    [[nodiscard]] auto latest_start(const plan::workload& workload,
                                    time_point deadline,
                                    const run_time_estimator& times) const
        -> time_point;

  private:
    [[nodiscard]] auto refuse(admission_outcome outcome,
                              run_duration retry_after) const
        -> admission_decision;

    admission_options m_options;
};

} // namespace pimentoshunt::policy
