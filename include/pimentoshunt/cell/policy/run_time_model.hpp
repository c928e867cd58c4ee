/// @file
/// Learns how long tasks take and how fast workers are. Answers a load of
/// heterogeneous workers and of declared run times that are off by a factor:
/// without it, a step that is due soon is placed on a worker that can't finish
/// it in time.
///
/// Inputs: runs that ended `done`, as they end; their age is that of the last
/// runs of a worker or queue. Without inputs all speeds and factors are 1, and
/// a worker without own samples has the speed of its kind. Used by the scheduler
/// on the control thread; no I/O.
#pragma once

#include <pimentoshunt/cell/model.hpp>
#include <pimentoshunt/clock.hpp>

#include <cstddef>       // size_t
#include <cstdint>       // uint32_t
#include <map>           // map
#include <memory>        // shared_ptr
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::cell::detail
{

/// @brief Moving average of logarithms; its memory is limited by the caller.
struct log_average
{
    double mean = 0;
    double samples = 0;

    /// @brief Moves the average by its share of @p residual, clipped to @p clip
    /// in either direction.
    auto move(double residual, double weight, double memory, double clip)
        -> void;
};

/// @brief What is known of one worker.
struct worker_estimate
{
    /// Average of the logarithm of its speed from its own runs.
    log_average own;
    /// Average of its kind; outlives the estimate's use.
    std::shared_ptr<log_average> kind;
    /// Logarithm of the speed that is used: @ref own, shrunk towards @ref kind,
    /// which in turn is shrunk towards the mean of all kinds.
    double log_speed = 0;
};

} // namespace pimentoshunt::cell::detail

namespace pimentoshunt::cell::policy
{

/// Bounds of a worker's speed.
inline constexpr double lowest_speed = 0.1;
inline constexpr double highest_speed = 10.0;
/// Bounds of the factor between declared and real run times.
inline constexpr double lowest_factor = 0.01;
inline constexpr double highest_factor = 100.0;

/// @brief A run that ended `done`, and its worker.
struct ended_run
{
    worker_id worker;
    /// First label of the worker; empty if it has none.
    std::string kind;
    queue_name queue;
    /// Run time as declared; 0: not declared.
    milliseconds declared{0};
    milliseconds took{0};
    /// Index of the task in its step, and number of tasks of the step.
    std::uint32_t index = 0;
    std::uint32_t tasks = 1;
};

/// @brief Run times of a step's tasks that have ended, with which those of its
/// other tasks are compared. At most @ref most tasks of a step are compared,
/// which are chosen by their indexes: a choice by time would bias the result.
struct step_times
{
    static constexpr std::uint32_t most = 32;

    struct one
    {
        std::shared_ptr<detail::worker_estimate> worker;
        double log_time = 0;
    };
    std::vector<one> ended;

    /// @brief Median run time on a worker of speed 1; nothing if fewer than @p
    /// least tasks have ended.
    [[nodiscard]] auto median(std::size_t least) const
        -> std::optional<milliseconds>;
};

/// @brief A worker of the cell, for @ref run_time_model::refresh.
struct present_worker
{
    worker_id id;
    std::string kind;
};

/// @brief Factors and speeds that outlast an ownership: a few numbers.
struct learned_speeds
{
    /// Factor between declared and real run time, by queue.
    std::map<queue_name, double> factors;
    /// Speed by kind of workers.
    std::map<std::string, double> kinds;
};

/// @brief Run times and speeds learned from ended runs.
class run_time_model
{
  public:
    /// @brief Learns from an ended run.
    /// @param siblings  ended tasks of the same step; the run is added to them
    /// @complexity linear in the number of siblings
    auto learn(const ended_run& run, step_times& siblings) -> void;

    /// @brief Recomputes the speeds of the given workers, such that their mean
    /// is 1, and forgets all others. To be called at intervals.
    auto refresh(const std::vector<present_worker>& workers) -> void;

    /// @brief Speed of a worker as of the last @ref refresh.
    [[nodiscard]] auto speed_of(const worker_id& worker,
                                const std::string& kind) const -> double;

    /// @brief Factor between declared and real run times of a queue; 1 until it
    /// is known well.
    [[nodiscard]] auto factor_of(const queue_name& queue) const -> double;

    /// @brief Whether a run was learned or restored since the last @ref refresh.
    [[nodiscard]] auto changed() const noexcept -> bool
    {
        return m_changed;
    }

    /// @brief Factors that are known well, and the speeds of all kinds.
    [[nodiscard]] auto learned() const -> learned_speeds;
    /// @brief Begins with what an earlier owner has learned.
    auto restore(const learned_speeds& earlier) -> void;

  private:
    using estimate = std::shared_ptr<detail::worker_estimate>;

    auto kind_of(const std::string& kind)
        -> const std::shared_ptr<detail::log_average>&;
    auto find_or_add(const worker_id& worker, const std::string& kind)
        -> estimate;
    auto compare(const estimate& worker, double log_time,
                 const step_times& siblings, double pair_weight) -> void;
    auto learn_factor(const ended_run& run, double log_work) -> void;

    std::unordered_map<worker_id, estimate> m_workers;
    std::map<std::string, std::shared_ptr<detail::log_average>> m_kinds;
    std::map<queue_name, detail::log_average> m_queues;
    /// Variance of one sample of a worker's own average.
    double m_noise = 0.15;
    /// Runs that were compared with others of their step.
    std::uint64_t m_compared = 0;
    bool m_changed = false;
};

} // namespace pimentoshunt::cell::policy
