/// @file
/// A request waiting for a worker. Shared by the traffic thread that serves the
/// request and waits, and the control thread that places or refuses it.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/worker/messages.hpp>

#include <condition_variable> // condition_variable
#include <cstdint>            // uint64_t
#include <memory>             // shared_ptr
#include <mutex>              // mutex
#include <optional>           // optional
#include <string>             // string
#include <variant>            // variant

namespace pimentoshunt::entry
{

/// @brief The right to start one attempt on one worker.
struct grant
{
    attempt_id attempt;
    workload_name workload;
    worker_id worker;
    std::string base_url;
    worker::epoch_number epoch = 0;
    /// The worker's owner, which made the grant.
    instance_id owner;
    /// Incarnation of the owner.
    std::uint64_t owner_incarnation = 0;
};

/// @brief Why a request is refused a worker.
enum class refusal_reason
{
    deadline_passed,
    queue_full,
    /// The deadline is expected to be missed.
    overload,
    stopping,
    /// No registered worker is large enough for the workload.
    fits_nowhere,
    /// Too many attempts were not started by their workers.
    no_start,
    /// The request's idempotency key cannot be recorded.
    store_down,
    /// The caller cancelled the request.
    cancelled
};

/// @brief The final result for a request that was not executed.
struct refusal
{
    refusal_reason reason = refusal_reason::overload;
    /// When a retry has a chance to succeed.
    milliseconds retry_after{1'000};
};

/// @brief The result of waiting: a grant or a refusal.
using placement_result = std::variant<grant, refusal>;

/// @brief A request in the queue. Resolved exactly once: by the first grant or
/// refusal, or by the end of the wait. resolve() and wait_until() are
/// thread-safe.
class queued_request
{
  public:
    /// @param number  unique within this instance
    /// @param in_force  the plan that owns @p item, kept alive by this object
    /// @param item  the workload
    queued_request(std::uint64_t number, plan::plan_ptr in_force,
                   const plan::workload* item, time_point arrived,
                   time_point deadline)
        : m_number(number), m_plan(std::move(in_force)), m_workload(item),
          m_arrived(arrived), m_deadline(deadline)
    {
    }

    [[nodiscard]] auto number() const noexcept -> std::uint64_t
    {
        return m_number;
    }
    [[nodiscard]] auto workload() const noexcept -> const plan::workload&
    {
        return *m_workload;
    }
    [[nodiscard]] auto arrived() const noexcept -> time_point
    {
        return m_arrived;
    }
    [[nodiscard]] auto deadline() const noexcept -> time_point
    {
        return m_deadline;
    }

    /// @brief Sets the result and wakes the waiting thread.
    /// @return false when the request was already resolved or its wait has
    ///         ended
    auto resolve(placement_result placement) -> bool
    {
        const std::lock_guard lock(m_mutex);
        if (m_resolved)
        {
            return false;
        }
        m_resolved = true;
        m_placement = std::move(placement);
        m_changed.notify_all();
        return true;
    }

    /// @brief Waits for the result until @p limit.
    /// @return nothing when there was no result; later calls of resolve() fail
    auto wait_until(time_point limit) -> std::optional<placement_result>
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_until(lock, limit,
                             [&]
                             {
                                 return m_resolved;
                             });
        m_resolved = true;
        return m_placement;
    }

  private:
    std::uint64_t m_number;
    plan::plan_ptr m_plan;
    const plan::workload* m_workload;
    time_point m_arrived;
    time_point m_deadline;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_resolved = false;
    std::optional<placement_result> m_placement;
};

using queued_request_ptr = std::shared_ptr<queued_request>;

} // namespace pimentoshunt::entry
