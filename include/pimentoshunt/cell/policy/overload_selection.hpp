/// @file
/// Chooses the jobs of a service that are served in time when there is too
/// little capacity for all.
///
/// Load: more waiting work than the service can finish before the deadlines.
/// Today's order then spends the capacity on whatever is about to be late, so
/// that everything becomes late.
///
/// Inputs: the unfinished jobs and the capacity at the time of the scheduling
/// pass (age 0), the arrival rates of the last ten seconds, and the submitters'
/// estimates, which are often far off. Without arrival rates (after a takeover)
/// no capacity is set aside for jobs of higher priority that are still to come;
/// without estimates all jobs count as the same work, and fit.
///
/// Used by the scheduler on the control thread; no I/O.
#pragma once

#include <pimentoshunt/cell/model.hpp>
#include <pimentoshunt/clock.hpp>

#include <cstddef>  // size_t
#include <cstdint>  // uint32_t, uint64_t
#include <map>      // map
#include <optional> // optional
#include <set>      // set
#include <vector>   // vector

namespace pimentoshunt::cell::policy
{

/// @brief Place of a job in the order within its priority; lower comes first.
enum class lateness_class
{
    /// Has begun, so that a delay would throw away what it has done, or has
    /// waited longest among the delayed.
    under_way,
    /// Can be finished in time.
    chosen,
    /// Will be late, but not worthless.
    delayed,
    /// Will probably be worthless when it ends.
    unlikely,
    /// Worthless to its caller already.
    expired
};

/// @brief An unfinished job that competes for the capacity of a service.
struct backlog_job
{
    /// Identifies the job; increases in the order of arrival.
    std::uint64_t arrival = 0;
    std::uint32_t priority = 0;
    /// When its objective ends, and when finishing it is worth nothing.
    time_point due;
    time_point worthless_at;
    /// Estimated length of its longest chain of steps that are left.
    milliseconds chain{0};
    /// Estimated work left, in seconds of the whole service.
    double work = 0;
    /// Value to its caller, in relation to other jobs of the priority.
    double worth = 1;
    /// Whether one of its tasks has started.
    bool under_way = false;
    bool expired = false;
    /// Result of the selection.
    lateness_class lateness = lateness_class::chosen;

    /// @brief Time by which jobs of one lateness class are ordered.
    [[nodiscard]] auto order_time() const -> time_point;
};

/// @brief Thresholds of the selection.
struct overload_options
{
    /// Share of the capacity that is counted on: steps wait for one another, and
    /// tasks leave gaps on workers.
    double utilisation = 0.85;
    /// Share at which a service that is short counts as no longer short, and for
    /// how long its backlog must fit before it does.
    double calm_utilisation = 0.7;
    milliseconds calm_for{1'000};
    /// Share of the capacity that goes to the delayed jobs, oldest first: those
    /// that can still be in time, then the others.
    double aged_share = 0.125;
    /// Part of its chain by which a job has to be done before a deadline in the
    /// fluid model, in which tasks have no length.
    double chain_margin = 0.5;
    /// Exponent of the work by which the value of jobs that will be late is
    /// divided. With 1 the largest tenth of a queue was served at less than half
    /// of the queue's rate.
    double late_exponent = 0.7;
    /// Least share of the capacity that a priority is expected to get.
    double least_share = 0.05;
    /// Time constant of arrival rates and of the mean work of a queue.
    milliseconds rate_window{10'000};
};

/// @brief Numbers of jobs in each state, and the work that is waiting.
struct overload_summary
{
    std::size_t chosen = 0;
    std::size_t delayed = 0;
    std::size_t expired = 0;
    /// Estimated work of the jobs that are not expired, by priority, in seconds
    /// of the whole service.
    std::map<std::uint32_t, double> waiting_work;
};

/// @brief Selection for one service.
class overload_selection
{
  public:
    explicit overload_selection(overload_options options = {})
        : m_options(options)
    {
    }

    /// @brief A job was accepted.
    /// @param work  all its estimated work, in seconds of the whole service
    auto on_arrival(const queue_name& queue, std::uint32_t priority,
                    double work, time_point now) -> void;

    /// @brief Value of a job: large jobs are worth more than small ones of the
    /// same queue, but not in proportion to their work.
    [[nodiscard]] auto worth_of(const queue_name& queue, double work) const
        -> double;

    /// @brief Sets the lateness class of each job. While capacity is not short,
    /// all that are not expired are @c chosen.
    /// @complexity n log n
    auto select(std::vector<backlog_job>& jobs, time_point now)
        -> overload_summary;

    [[nodiscard]] auto is_short() const noexcept -> bool
    {
        return m_short;
    }

    /// @brief Share of the capacity that jobs of @p priority may expect after
    /// those of higher priority that are still to come.
    [[nodiscard]] auto expected_share(std::uint32_t priority,
                                      time_point now) const -> double;

  private:
    struct average
    {
        double value = 0;
        time_point at;
    };

    [[nodiscard]] auto fits(const std::vector<backlog_job*>& by_due,
                            double utilisation, time_point now) const -> bool;
    auto update_state(const std::vector<backlog_job*>& by_due, time_point now)
        -> void;
    auto choose(const std::vector<backlog_job*>& by_due, time_point now)
        -> void;
    auto promote_oldest(std::vector<backlog_job>& jobs, time_point now) -> void;

    overload_options m_options;
    bool m_short = false;
    std::optional<time_point> m_fits_since;
    std::optional<time_point> m_selected_at;
    /// Work that arrives in a second, by priority.
    std::map<std::uint32_t, average> m_rates;
    /// Mean work of a job, by queue.
    std::map<queue_name, double> m_mean_work;
    /// Work that the delayed set may still be given, by priority.
    std::map<std::uint32_t, double> m_credit;
    /// Jobs that were taken out of the delayed set, by arrival.
    std::set<std::uint64_t> m_promoted;
};

} // namespace pimentoshunt::cell::policy
