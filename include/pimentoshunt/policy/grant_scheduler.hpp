/// @file
/// Scheduling decision of a worker owner: assigns waiting work to free workers.
/// A pure computation over the ledger and the demand; called by the control
/// thread.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/ledger/capacity_ledger.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/policy/admission.hpp>
#include <pimentoshunt/policy/run_time_estimator.hpp>
#include <pimentoshunt/policy/short_reserve.hpp>
#include <pimentoshunt/policy/workspace_shares.hpp>

#include <cstdint>       // int64_t
#include <queue>         // priority_queue
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::policy
{

/// @brief Waiting work of one workload at one entry instance.
struct demand_line
{
    instance_id entry;
    const plan::workload* workload = nullptr;
    /// Waiting units for which no grant is in flight.
    std::int64_t count = 0;
    /// Earliest deadline of these units, by this instance's clock.
    time_point deadline;
    /// Arrival of the unit that has waited longest, by this instance's clock.
    time_point waiting_since;
};

/// @brief One unit of a demand line assigned to one worker.
struct placement
{
    std::size_t line = 0;
    worker_id worker;
};

/// @brief A batch attempt that can be checkpointed to free resources for short
///        work.
struct checkpoint_candidate
{
    worker_id worker;
    attempt_id attempt;
};

/// @brief Options of @ref grant_scheduler.
struct grant_scheduler_options
{
    /// A workload is long if its mean run time exceeds this many times the
    /// median run time of services.
    double long_ratio = 8.0;
    /// Whether the caller checkpoints the attempts that checkpoint_candidates
    /// returns. Long work may then use most of the capacity of the last peak of
    /// short work.
    bool checkpoints = false;
    /// Half-life of the recorded peak usage of short work.
    milliseconds peak_half_life{60'000};
    /// Half-life of that peak if batch work is checkpointed.
    milliseconds peak_half_life_with_checkpoints{1'000};
    /// Largest share of the capacity reserved for a waiting gang.
    double max_gang_reserve_share = 0.25;
    /// Time that short work waits before a checkpoint is due, as a multiple of
    /// the median run time of services.
    double checkpoint_wait_medians = 1.0;
};

namespace detail
{

/// @brief Sort key of a demand line; the smallest is served first.
struct urgency
{
    /// 0 for services, 1 for batch and gangs.
    int rank = 0;
    int priority = 0;
    /// Used share of the workspace's quota if above 1, else 0.
    double over_quota = 0;
    time_point deadline;

    friend auto operator<(const urgency& left, const urgency& right) -> bool;
};

/// @brief A demand line during one scheduling pass.
struct candidate
{
    urgency key;
    std::size_t line = 0;
    std::int64_t left = 0;
    /// Units already placed.
    std::int64_t placed = 0;
    /// Index of the workload in workload_cache::workloads.
    std::size_t cached = 0;

    /// @brief Orders a max-heap so that its top is the most urgent line.
    friend auto operator<(const candidate& left, const candidate& right) -> bool
    {
        return right.key < left.key ||
               (!(left.key < right.key) && right.line < left.line);
    }
};

/// @brief Values that one scheduling pass looks up once per workload and
///        workspace.
struct workload_cache
{
    struct cached_workload
    {
        bool is_long = false;
        std::size_t workspace = 0;
    };

    std::unordered_map<const plan::workload*, std::size_t> by_workload;
    std::unordered_map<workspace_name, std::size_t> by_workspace;
    std::vector<cached_workload> workloads;
    std::vector<quota_usage> workspaces;
};

/// @brief Capacity that one scheduling pass has to leave free.
struct reserved_capacity
{
    resources for_short;
    resources for_gang;
    bool is_gang_waiting = false;
};

} // namespace detail

/// @brief Chooses placements; the caller reserves them in the ledger.
///
/// Services are served before batch and gangs; within a class the order is
/// priority, then workspaces within their quota before those above it, then
/// the earliest deadline. Work that runs many times longer than the median
/// service leaves the recent peak usage of short work free. While a gang waits
/// for capacity, later gangs get nothing and long batch work leaves part of
/// the capacity to the waiting gang.
class grant_scheduler
{
  public:
    explicit grant_scheduler(grant_scheduler_options options = {});

    /// @brief Replaces the quotas and workloads of the earlier plan.
    auto set_plan(const plan::document& document) -> void;

    /// @brief Replaces the usage of each workspace at other owners.
    auto set_usage_elsewhere(const std::vector<workspace_usage>& usages)
        -> void;

    /// @brief Sets this owner's share of the cell's capacity, 0 to 1.
    ///
    /// Demand lines count all waiting work of the cell. The reserve for short
    /// work and the number of checkpoints are computed from this share of the
    /// demand.
    auto set_cell_share(double share) -> void;

    /// @brief Records the run time of a run that ended with an answer.
    auto observe(const plan::workload& workload, run_duration run_time) -> void;

    /// @brief Records that a run still in progress has lasted @p so_far.
    auto observe_running(const plan::workload& workload, run_duration so_far)
        -> void;

    /// @brief Assigns free capacity to the most urgent lines.
    /// @param accounts  the ledger; @p take reserves each placement in it,
    ///                  under the workload's workspace
    /// @param lines  the demand, in any order; counts are not changed
    /// @param take  called synchronously as bool(const placement&) for each
    ///              placement; if it returns false, the line gets no further
    ///              placements in this call
    /// @param now  time of the decision
    /// @complexity for each placement, logarithmic in the number of lines and
    ///             as capacity_ledger::best_fit in the number of workers; for
    ///             each call, linear in the number of lines and of workloads
    ///             with reservations
    template<class Take>
    auto pick(const ledger::capacity_ledger& accounts,
              const std::vector<demand_line>& lines, Take&& take,
              time_point now) -> void;

    /// @brief Computes the work that is served before a new request, for
    ///        admission control.
    /// @param lines  all waiting work, as for @ref pick
    /// @return counts by the order of @ref pick; of an equally urgent line,
    ///         only the units with earlier deadlines
    /// @complexity linear in the number of lines
    [[nodiscard]] auto work_ahead_of(const ledger::capacity_ledger& accounts,
                                     const std::vector<demand_line>& lines,
                                     const plan::workload& workload,
                                     time_point deadline, time_point now) const
        -> std::vector<work_ahead>;

    /// @brief Selects long batch attempts to checkpoint for waiting short work.
    /// @param lines  the work that still waits after @ref pick
    /// @return no more attempts than needed to free the slots for this owner's
    ///         share of the waiting short work: attempts of workspaces above
    ///         their quota first, then the lowest priority, then the most
    ///         recently granted; empty if no short work has waited for
    ///         grant_scheduler_options::checkpoint_wait_medians, or without
    ///         grant_scheduler_options::checkpoints
    /// @complexity linear in the number of reservations
    [[nodiscard]] auto
    checkpoint_candidates(const ledger::capacity_ledger& accounts,
                          const std::vector<demand_line>& lines,
                          time_point now) const
        -> std::vector<checkpoint_candidate>;

    /// @brief Whether the workload runs many times longer than the median
    ///        service.
    /// @note Batch and gang work with unknown run times counts as long.
    [[nodiscard]] auto is_long(const plan::workload& workload) const -> bool;

    /// @brief The learned run times.
    [[nodiscard]] auto run_times() const noexcept -> const run_time_estimator&
    {
        return m_times;
    }

  private:
    using heap = std::priority_queue<detail::candidate>;

    struct known_workload
    {
        plan::workload workload;
        bool is_long = false;
    };

    auto begin(const ledger::capacity_ledger& accounts,
               const std::vector<demand_line>& lines,
               const resources& short_use, detail::workload_cache& cached,
               time_point now) -> heap;
    auto cache_workload(const ledger::capacity_ledger& accounts,
                        const plan::workload& workload,
                        detail::workload_cache& cached) const -> std::size_t;
    [[nodiscard]] static auto urgency_of(const quota_usage& workspace,
                                         const demand_line& line,
                                         std::int64_t placed, time_point now)
        -> detail::urgency;
    [[nodiscard]] auto has_long_runs(const plan::workload& workload) const
        -> bool;
    auto reclassify_workloads() -> void;
    [[nodiscard]] auto
    find_worker_for(const ledger::capacity_ledger& accounts,
                    const plan::workload& workload, bool is_long,
                    const detail::reserved_capacity& reserved) const
        -> const worker_id*;
    auto reserve_for_gang(const ledger::capacity_ledger& accounts,
                          const detail::candidate& waiting,
                          const plan::workload& workload,
                          detail::reserved_capacity& reserved) const -> void;
    [[nodiscard]] auto
    short_in_use(const ledger::capacity_ledger& accounts) const -> resources;
    [[nodiscard]] auto short_waiting(const std::vector<demand_line>& lines,
                                     run_duration waited, time_point now) const
        -> resources;
    [[nodiscard]] auto is_short_service(const plan::workload& workload) const
        -> bool;
    [[nodiscard]] auto find(const workload_name& name) const
        -> const known_workload*;

    grant_scheduler_options m_options;
    std::unordered_map<workload_name, known_workload> m_workloads;
    workspace_shares m_shares;
    run_time_estimator m_times;
    /// Run times of all services together.
    detail::run_time_sample m_service_times;
    run_duration m_short_median{0};
    short_reserve m_reserve;
    double m_cell_share = 1.0;
};

template<class Take>
auto grant_scheduler::pick(const ledger::capacity_ledger& accounts,
                           const std::vector<demand_line>& lines, Take&& take,
                           time_point now) -> void
{
    const auto short_use = short_in_use(accounts);
    detail::workload_cache cached;
    auto waiting = begin(accounts, lines, short_use, cached, now);
    detail::reserved_capacity reserved;
    reserved.for_short = m_reserve.required_free(short_use, now);
    while (!waiting.empty())
    {
        auto next = waiting.top();
        waiting.pop();
        const auto& line = lines[next.line];
        const auto& workload = *line.workload;
        const auto& known = cached.workloads[next.cached];
        auto& workspace = cached.workspaces[known.workspace];
        const auto key = urgency_of(workspace, line, next.placed, now);
        if (next.key < key)
        {
            // Earlier placements of this pass raised the workspace's usage.
            next.key = key;
            waiting.push(next);
            continue;
        }
        const auto* const worker =
            find_worker_for(accounts, workload, known.is_long, reserved);
        if (worker == nullptr)
        {
            reserve_for_gang(accounts, next, workload, reserved);
            continue;
        }
        if (!take(placement{next.line, *worker}))
        {
            continue;
        }
        workspace.used += workload.each;
        ++next.placed;
        --next.left;
        if (next.left > 0)
        {
            next.key = urgency_of(workspace, line, next.placed, now);
            waiting.push(next);
        }
    }
}

} // namespace pimentoshunt::policy
