/// @file
/// Health check of workers by the outcomes of their attempts. Distinguishes
/// faulty workers from workloads that fail on every worker.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>

#include <cstddef>       // size_t
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::policy
{

/// @brief Outcome of an attempt that counts for worker and workload.
enum class attempt_outcome
{
    success,
    failure
};

/// @brief State change caused by one outcome.
enum class health_change
{
    none,
    /// The worker gets only probes from now on.
    ejected,
    /// The worker gets work again.
    readmitted,
    /// The workload fails on workers on which other workloads succeed.
    workload_faulty,
    /// The workload succeeds again.
    workload_recovered
};

/// @brief Options of @ref worker_health.
struct worker_health_options
{
    /// Number of consecutive failures that eject a worker.
    std::size_t consecutive_failures = 5;
    /// Share of failed attempts that ejects a worker if the other workers fail
    /// far less often.
    double min_failure_share = 0.4;
    /// Smallest ratio of that share to the mean share of the other workers.
    double min_failure_ratio = 5.0;
    /// Smallest ratio for a worker that has reached consecutive_failures.
    double min_consecutive_failure_ratio = 2.0;
    /// Outcomes of a worker from which on its failure share counts.
    std::size_t min_outcomes = 20;
    /// Largest share of the workers that may be ejected at once; if more fail,
    /// the workers are not the cause.
    double max_ejected_share = 0.5;
    /// Workers on which a workload must fail to count as faulty.
    std::size_t min_faulty_workers = 3;
    milliseconds initial_probe_delay{1'000};
    milliseconds max_probe_delay{30'000};
    /// Time after which a probe without an outcome counts as lost.
    milliseconds probe_timeout{10'000};
    /// Time without an ejection after which a worker's probe delay is reset.
    milliseconds backoff_reset_after{60'000};
    /// Time for which outcomes count in deciding whether a workload is faulty.
    milliseconds fault_window{60'000};
};

/// @brief Health of the workers held by one owner. Not thread-safe.
///
/// A failure counts against the worker unless its workload is faulty. A
/// workload is faulty while it has failed on several workers on which other
/// workloads succeed, and has succeeded on no worker within the window.
class worker_health
{
  public:
    explicit worker_health(worker_health_options options = {});

    /// @brief Adds a worker as healthy; no effect if it is known.
    auto add(const worker_id& worker) -> void;

    /// @brief Removes the data of a worker that is no longer held.
    auto remove(const worker_id& worker) -> void;

    /// @brief Records the outcome of an attempt.
    /// @note Not for an attempt that was cancelled or never started; see
    ///       @ref record_inconclusive.
    /// @complexity linear in the number of workers on which the workload failed
    auto record(const worker_id& worker, const workload_name& workload,
                attempt_outcome outcome, time_point now) -> health_change;

    /// @brief Returns the ejected workers whose probe, one attempt each, is
    ///        due.
    ///
    /// A worker is not returned again until the outcome of its probe is
    /// recorded or the probe has timed out.
    [[nodiscard]] auto take_due_probes(time_point now)
        -> std::vector<worker_id>;

    /// @brief Records an attempt that says nothing about the worker's health:
    ///        it was never sent, was refused, or has an unknown outcome.
    ///
    /// If the attempt was the worker's probe, the next probe is due after
    /// initial_probe_delay instead of after probe_timeout.
    auto record_inconclusive(const worker_id& worker, time_point now) -> void;

    /// @brief Whether the worker is ejected.
    [[nodiscard]] auto ejected(const worker_id& worker) const -> bool;

    /// @brief Whether the workload fails on otherwise healthy workers.
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
        /// Exponential moving average of failures, 0 to 1.
        double failure_share = 0;
        bool is_ejected = false;
        time_point next_probe;
        milliseconds probe_delay{0};
        time_point readmitted_at;
        /// Whether a probe is in flight.
        bool is_probing = false;
        /// The latest success on this worker, and the latest success of a
        /// different workload.
        success latest;
        success latest_other;
    };

    struct workload_record
    {
        /// Time of the last failure on each worker.
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
    /// Sum of failure_share over all workers.
    double m_failure_share_sum = 0;
};

} // namespace pimentoshunt::policy
