/// @file
/// The owner's decision: which waiting work gets which free worker.
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

/// @brief Waiting work of one workload at one entry.
struct demand_line
{
    instance_id entry;
    const plan::workload* workload = nullptr;
    /// How many wait and have no grant on the way.
    std::int64_t count = 0;
    /// The earliest deadline among them, on this instance's clock.
    time_point deadline;
    /// When the first in line arrived, on this instance's clock.
    time_point waiting_since;
};

/// @brief One unit of a demand line put on one worker.
struct placement
{
    std::size_t line = 0;
    worker_id worker;
};

/// @brief A batch attempt whose checkpoint makes room for short work.
struct checkpoint_candidate
{
    worker_id worker;
    attempt_id attempt;
};

/// @brief Limits of @ref grant_scheduler.
struct grant_scheduler_options
{
    /// Work is long when its mean run time is this many short medians.
    double long_ratio = 8.0;
    /// Whether the caller checkpoints what checkpoint_candidates names, which
    /// allows long work into most of the room of the last peak.
    bool checkpoints = false;
    /// Time after which a peak of short use counts half.
    milliseconds peak_half_life{60'000};
    /// The same where batch work is checkpointed.
    milliseconds peak_half_life_with_checkpoints{1'000};
    /// Largest share of the capacity kept free for a gang that waits.
    double max_gang_reserve_share = 0.25;
    /// Short medians that short work waits before a checkpoint is due.
    double checkpoint_wait_medians = 1.0;
};

namespace detail
{

/// @brief Place of a demand line among all; the smallest goes first.
struct urgency
{
    /// 0 for services, 1 for batch and gangs.
    int rank = 0;
    int priority = 0;
    /// Share of the quota where above 1, else 0.
    double over_quota = 0;
    time_point deadline;

    friend auto operator<(const urgency& left, const urgency& right) -> bool;
};

/// @brief A demand line while placements are chosen.
struct candidate
{
    urgency key;
    std::size_t line = 0;
    std::int64_t left = 0;
    /// Units already placed.
    std::int64_t placed = 0;
    /// Of its workload, in @ref workload_cache.
    std::size_t cached = 0;

    /// @brief For a heap whose top is the most urgent.
    friend auto operator<(const candidate& left, const candidate& right) -> bool
    {
        return right.key < left.key ||
               (!(left.key < right.key) && right.line < left.line);
    }
};

/// @brief What one call looks up once for each workload and workspace.
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

/// @brief What one decision has to leave free.
struct reserved_capacity
{
    resources for_short;
    resources for_gang;
    bool is_gang_waiting = false;
};

} // namespace detail

/// @brief Chooses placements; takes nothing from the ledger by itself.
///
/// Services go before batch and gangs; within a class by priority, then
/// workspaces within their quota before those over it, then the earliest
/// deadline. Work that runs many times longer than the median of the services
/// leaves room for the recent peak of short use. While a gang waits for more
/// room, later gangs get nothing and long batch work leaves it some room.
class grant_scheduler
{
  public:
    explicit grant_scheduler(grant_scheduler_options options = {});

    /// @brief Takes quotas and workloads in place of those of earlier plans.
    auto set_plan(const plan::document& document) -> void;

    /// @brief Takes what workspaces hold at other owners.
    auto set_usage_elsewhere(const std::vector<workspace_usage>& usages)
        -> void;

    /// @brief Says which share of the cell's capacity this owner holds, 0 to 1.
    ///
    /// Demand tables count all that waits in the cell; room for short work and
    /// checkpoints count this share of it.
    auto set_cell_share(double share) -> void;

    /// @brief Learns from a run that ended with an answer.
    auto observe(const plan::workload& workload, run_duration run_time) -> void;

    /// @brief Learns from a run that goes on: it lasts at least @p so_far.
    auto observe_running(const plan::workload& workload, run_duration so_far)
        -> void;

    /// @brief Fills free capacity with the most urgent lines.
    /// @param accounts  the ledger; the caller takes each placement from it,
    ///                  with the workload's workspace, before the call returns
    /// @param lines  in any order; their counts are not changed
    /// @param take  called as bool(const placement&) for each choice, at once;
    ///              false when it is not wanted: its line gets no more
    /// @param now  time of the decision
    /// @complexity for each placement, logarithmic in the number of lines and
    ///             as capacity_ledger::best_fit in the number of workers; for
    ///             each call, linear in lines and in workloads that hold
    template<class Take>
    auto pick(const ledger::capacity_ledger& accounts,
              const std::vector<demand_line>& lines, Take&& take,
              time_point now) -> void;

    /// @brief What is served before a new arrival, for admission.
    /// @param lines  all that waits, as for @ref pick
    /// @return counts that rest on the order of @ref pick: of a line that is
    ///         as urgent, only what is due earlier counts
    /// @complexity linear in the number of lines
    [[nodiscard]] auto work_ahead_of(const ledger::capacity_ledger& accounts,
                                     const std::vector<demand_line>& lines,
                                     const plan::workload& workload,
                                     time_point deadline, time_point now) const
        -> std::vector<work_ahead>;

    /// @brief Names long batch attempts to checkpoint for waiting short work.
    /// @param lines  what still waits after @ref pick
    /// @return as few as make room for this owner's share of it; work over its
    ///         workspace's quota first, then the lowest priority, then the
    ///         youngest; none before short work has waited long enough, or
    ///         without grant_picker_options::checkpoints
    /// @complexity linear in the number of holdings
    [[nodiscard]] auto
    checkpoint_candidates(const ledger::capacity_ledger& accounts,
                          const std::vector<demand_line>& lines,
                          time_point now) const
        -> std::vector<checkpoint_candidate>;

    /// @brief Whether the workload runs many times longer than services do.
    /// @note Batch and gang work of unknown run time counts as long.
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
            // its workspace got more since the key was made
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
