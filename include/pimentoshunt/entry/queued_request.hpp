/// @file
/// One request that waits for a worker, shared by the traffic thread that
/// serves it and the control thread that finds it a place.
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
    /// The instance that granted it, and its life.
    instance_id owner;
    std::uint64_t owner_incarnation = 0;
};

/// @brief Why a request gets no worker.
enum class refusal_reason
{
    deadline_passed,
    queue_full,
    /// The deadline can't be made, as far as is known.
    overload,
    stopping,
    /// No worker of the list could ever hold it.
    fits_nowhere,
    /// Several workers in a row did not take it.
    no_start,
    /// Its idempotency key can't be recorded.
    store_down,
    /// Its caller cancelled it.
    cancelled
};

/// @brief The final answer to a request that did not run.
struct refusal
{
    refusal_reason reason = refusal_reason::overload;
    /// When it is worth while to come back.
    milliseconds retry_after{1'000};
};

/// @brief What came of waiting.
using placement_result = std::variant<grant, refusal>;

/// @brief A place in the queue; settled exactly once, by whoever is first.
class queued_request
{
  public:
    /// @param item  the workload; the plan is kept alive by @p in_force
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

    /// @brief Gives the answer, and wakes the waiting thread.
    /// @return false when it was settled or given up before
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

    /// @brief Waits for the answer until @p limit.
    /// @return nothing when none came; the ticket is then given up and no
    ///         later answer is taken
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
