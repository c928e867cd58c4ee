/// @file
/// Admission control: rejects a request on arrival if it cannot finish before
/// its deadline. A pure computation; the caller passes the queue and the time.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/policy/run_time_estimator.hpp>

#include <cstdint> // int64_t
#include <vector>  // vector

namespace pimentoshunt::policy
{

/// @brief Queued units of one workload that are served before the request.
struct work_ahead
{
    const plan::workload* workload = nullptr;
    std::int64_t count = 0;
};

/// @brief Result of the admission check.
enum class admission_outcome
{
    admit,
    /// The queued work takes longer than the request can wait.
    queue_too_long,
    /// The run would end after the deadline even without queueing.
    deadline_too_short
};

/// @brief Admission result and the retry delay reported to the caller.
struct admission_decision
{
    admission_outcome outcome = admission_outcome::admit;
    /// Value for Retry-After: time until the queue is expected to be short
    /// enough.
    milliseconds retry_after{0};

    [[nodiscard]] auto admitted() const noexcept -> bool
    {
        return outcome == admission_outcome::admit;
    }
};

/// @brief Options of @ref admission_controller.
struct admission_options
{
    /// Standard deviations subtracted from the expected queueing time, so that
    /// a request is refused only if it is late even in a favourable case.
    double favourable_deviations = 2.0;
    /// Smallest probability of finishing in time at which a request is
    /// admitted, relative to its probability with an empty queue.
    double min_relative_chance = 0.95;
    milliseconds min_retry_after{100};
    milliseconds max_retry_after{60'000};
};

/// @brief Decides once, on arrival; a refusal is final and immediate.
///
/// A request is refused because of the queue only if even a favourable
/// estimate of the queueing time lowers its probability of finishing in time
/// too far. A tight deadline alone is no reason to refuse as long as some
/// observed run was fast enough.
class admission_controller
{
  public:
    explicit admission_controller(admission_options options = {});

    /// @brief Decides whether to admit one request.
    /// @param workload  workload of the request
    /// @param deadline  latest time at which the answer is useful
    /// @param ahead  queued work that is served before the request
    /// @param slots  slots, free or in use, that serve the request and the
    ///               work ahead; 0 if unknown, in which case no request is
    ///               refused because of the queue
    /// @param times  learned run times
    /// @param now  arrival time
    /// @complexity linear in the number of elements of @p ahead
    [[nodiscard]] auto
    judge(const plan::workload& workload, time_point deadline,
          const std::vector<work_ahead>& ahead, std::int64_t slots,
          const run_time_estimator& times, time_point now) const
        -> admission_decision;

    /// @brief Latest start at which a run of @p workload likely ends in time.
    ///
    /// After this time wait_queue serves the request after those that can still
    /// meet their deadlines; see wait_queue::push.
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
