/// @file
/// Measures the work of the owner's control thread, for the log and the
/// metrics: whether passes, calls or messages use up its processor.
#pragma once

#include <pimentoshunt/cell/scheduler.hpp>
#include <pimentoshunt/clock.hpp>

#include <chrono>   // nanoseconds
#include <cstdint>  // uint64_t
#include <optional> // optional

namespace pimentoshunt::cell
{

/// @brief Work of an owner within an interval.
struct owner_load
{
    /// Length of the interval.
    std::chrono::nanoseconds interval{0};
    /// Processor time of the whole process.
    std::chrono::nanoseconds processor_time{0};
    /// Number of scheduling passes, their elapsed time and that of the longest.
    std::uint64_t passes = 0;
    std::chrono::nanoseconds pass_time{0};
    std::chrono::nanoseconds longest_pass{0};
    /// Largest number of steps that waited in a pass.
    std::uint64_t waiting_steps = 0;
    /// How often a decision looked at a worker.
    std::uint64_t examined_workers = 0;
    /// Orders and approval requests that were sent.
    std::uint64_t starts = 0;
    std::uint64_t heartbeats = 0;
    std::uint64_t approval_requests = 0;
    /// Answers to start orders, and the longest time that one took.
    std::uint64_t start_answers = 0;
    std::chrono::nanoseconds longest_start{0};
};

/// @brief Accumulates the load of one ownership. Used by the control thread
/// only.
class owner_load_meter
{
  public:
    explicit owner_load_meter(time_point now);

    /// @brief Records a scheduling pass and what it has ordered.
    auto on_pass(const scheduler_pass& pass, const outbox& orders,
                 boot_clock::duration took) -> void;
    /// @brief Records the answer to a start order, or that none came.
    auto on_start_answered(boot_clock::duration took) -> void;
    /// @brief The load since the last one was taken.
    /// @return nothing if the interval is not over yet
    auto take(time_point now) -> std::optional<owner_load>;

  private:
    time_point m_since;
    std::chrono::nanoseconds m_processor_time;
    owner_load m_load;
};

/// @brief Writes a log line with the load.
/// @param lag  of the control thread's event loop
auto log_load(const owner_load& load, std::uint64_t epoch, milliseconds lag)
    -> void;

} // namespace pimentoshunt::cell
