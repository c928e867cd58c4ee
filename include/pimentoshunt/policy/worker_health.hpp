/// @file
/// Tells workers that fail what they start from workloads that fail anywhere.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>

#include <cstddef>       // size_t
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::policy
{

/// @brief How an attempt ended, as far as worker and workload are concerned.
enum class attempt_outcome
{
    success,
    failure
};

/// @brief What an outcome changed.
enum class health_change
{
    none,
    /// The worker gets no work from now on but for probes.
    ejected,
    /// The worker gets work as any other.
    readmitted,
    /// The workload fails on workers that are good otherwise.
    workload_faulty,
    /// The workload succeeds again.
    workload_recovered
};

/// @brief Limits of @ref worker_health.
struct worker_health_options
{
    /// Failures without a success between that eject a worker.
    std::size_t consecutive_failures = 5;
    /// Share of failures that ejects, where the others fail far less.
    double min_failure_share = 0.4;
    /// How many times the others' mean share it must be.
    double min_failure_ratio = 5.0;
    /// The same for a worker with that many consecutive failures.
    double min_consecutive_failure_ratio = 2.0;
    /// Outcomes seen before the share counts.
    std::size_t min_outcomes = 20;
    /// Largest share of the workers that may be out at once; when more fail,
    /// the cause is not in the workers.
    double max_ejected_share = 0.5;
    /// Workers on which a workload must fail to be blamed.
    std::size_t min_faulty_workers = 3;
    milliseconds initial_probe_delay{1'000};
    milliseconds max_probe_delay{30'000};
    /// A probe without an outcome counts as lost after this time.
    milliseconds probe_timeout{10'000};
    /// A worker that was good for this long starts again at the first delay.
    milliseconds backoff_reset_after{60'000};
    /// What workloads did on a worker is forgotten after this time.
    milliseconds fault_window{60'000};
};

/// @brief Health of the workers that one owner holds, from their outcomes.
///
/// A failure counts against the worker unless its workload is to blame; a
/// workload is to blame while it has failed on several workers that serve
/// others well and has succeeded nowhere within the window.
class worker_health
{
  public:
    explicit worker_health(worker_health_options options = {});

    /// @brief Makes a worker known, good until it proves otherwise.
    auto add(const worker_id& worker) -> void;

    /// @brief Drops what is kept of a worker that is no longer held.
    auto remove(const worker_id& worker) -> void;

    /// @brief Counts the end of an attempt.
    /// @note A cancelled attempt and one that was never started say nothing;
    ///       leave them out.
    /// @complexity constant but for the workers on which the workload failed
    auto record(const worker_id& worker, const workload_name& workload,
                attempt_outcome outcome, time_point now) -> health_change;

    /// @brief Ejected workers that are to get one attempt each now.
    ///
    /// Each is returned once until the outcome of its probe is recorded or the
    /// probe has timed out.
    [[nodiscard]] auto take_due_probes(time_point now)
        -> std::vector<worker_id>;

    /// @brief An attempt ended without telling anything of the worker: it was
    /// never sent, refused, or its outcome is not known.
    ///
    /// If it was the worker's probe, another one is due after the first delay
    /// instead of after the probe's timeout.
    auto record_inconclusive(const worker_id& worker, time_point now) -> void;

    /// @brief Whether the worker is ejected.
    [[nodiscard]] auto ejected(const worker_id& worker) const -> bool;

    /// @brief Whether the workload fails on otherwise good workers.
    [[nodiscard]] auto is_workload_faulty(const workload_name& workload) const
        -> bool;

    /// @brief Number of workers ejected now.
    [[nodiscard]] auto ejected_count() const noexcept -> std::size_t
    {
        return m_ejected;
    }

  private:
    struct success
    {
        workload_name workload;
        time_point at;
    };

    struct worker_record
    {
        std::size_t consecutive = 0;
        std::size_t outcomes = 0;
        /// Moving average of failures, 0 to 1.
        double failure_share = 0;
        bool is_ejected = false;
        time_point next_probe;
        milliseconds probe_delay{0};
        time_point readmitted_at;
        /// Set from the hand-out of a probe to its outcome.
        bool is_probing = false;
        /// The latest success here, and the latest of another workload.
        success latest;
        success latest_other;
    };

    struct workload_record
    {
        /// The last failure on each worker.
        std::unordered_map<worker_id, time_point> failed_on;
        bool is_faulty = false;
    };

    auto on_success(worker_record& record, const workload_name& workload,
                    time_point now) -> health_change;
    auto on_failure(worker_record& record, const worker_id& worker,
                    const workload_name& workload, time_point now)
        -> health_change;
    auto count(worker_record& record, double failed) -> void;
    auto eject(worker_record& record, time_point now) -> void;
    auto probe_failed(worker_record& record, bool extend_delay, time_point now)
        -> void;
    auto readmit(worker_record& record, time_point now) -> void;
    static auto record_success(worker_record& record,
                               const workload_name& workload, time_point now)
        -> void;
    [[nodiscard]] auto fails_too_often(const worker_record& record) const
        -> bool;
    [[nodiscard]] auto can_eject_more() const -> bool;
    [[nodiscard]] auto is_serving_others(const worker_id& worker,
                                         const workload_name& workload,
                                         time_point now) const -> bool;
    [[nodiscard]] auto fails_on_good_workers(workload_record& record,
                                             const workload_name& workload,
                                             time_point now) const -> bool;

    worker_health_options m_options;
    std::unordered_map<worker_id, worker_record> m_workers;
    std::unordered_map<workload_name, workload_record> m_workloads;
    std::size_t m_ejected = 0;
    /// Sum of the shares of all workers.
    double m_failure_share_sum = 0;
};

} // namespace pimentoshunt::policy
