/// @file
/// Claims workers for this instance, maintains the ledger of the held workers,
/// and determines the state of grants by asking the worker.
///
/// The worker decides who owns it: a claim is a fence with a higher epoch, and
/// the worker refuses a start under any other epoch. Safety therefore depends
/// neither on clocks nor on the table; see docs/design/ownership.md.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/ledger/capacity_ledger.hpp>
#include <pimentoshunt/membership/member_table.hpp>
#include <pimentoshunt/ownership/holder.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/worker/messages.hpp>

#include <cstdint>       // int64_t, uint64_t
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <utility>       // move
#include <vector>        // vector

namespace pimentoshunt::ownership
{

/// @brief Intervals, timeouts and limits of @ref worker_manager.
struct worker_manager_limits
{
    /// Interval between two inspections of a held worker.
    milliseconds inspect_interval{1'000};
    /// Time after which a grant that no report has shown as running is revoked.
    milliseconds start_timeout{3'000};
    /// Initial backoff after a claim that failed or was refused.
    milliseconds claim_backoff{100};
    /// Maximum backoff between claims.
    milliseconds claim_backoff_max{5'000};
    /// Consecutive unanswered inspections after which a worker gets no grants.
    int inspections_until_suspended = 3;
};

/// @brief A request to raise a worker's epoch for this instance.
struct fence_call
{
    worker::description worker;
    worker::epoch_number epoch = 0;
};

/// @brief A request for a worker's state.
struct inspect_call
{
    worker::description worker;
    /// Returned with the answer; the answer to an earlier request is ignored.
    std::uint64_t number = 0;
};

/// @brief A request to look up an attempt and keep it from starting.
struct revoke_call
{
    worker::description worker;
    attempt_id attempt;
};

/// @brief Calls to workers that the caller has to make; their results are
///        passed to fenced(), inspected() and revoked().
struct worker_manager_calls
{
    std::vector<fence_call> fences;
    std::vector<inspect_call> inspections;
    std::vector<revoke_call> revocations;
};

/// @brief A worker's answer to a fence request.
enum class fence_answer
{
    accepted,
    refused,
    /// No answer: the fence may have taken effect.
    unknown
};

/// @brief Outcome of an attempt, as its entry reports it; the values are sent
///        between instances.
enum class attempt_outcome
{
    finished = 0,
    /// The attempt ran and failed.
    failed = 1,
    /// The attempt was never sent, or the worker refused it.
    never_started = 2,
    /// The worker refused the epoch: another instance holds the worker.
    fenced = 3,
    /// The attempt may still run; the owner has to ask the worker.
    unknown = 4,
    /// No connection to the worker, so the attempt was never sent.
    unreachable = 5
};

/// @brief Membership information on which claims are based.
struct membership_view
{
    const membership::member_table* members = nullptr;
    /// Serving instances, including this one if it serves.
    std::vector<instance_id> serving;
    /// Whether enough known instances are reachable to take over workers of
    /// instances that are not.
    bool has_quorum = true;
};

/// @brief Ownership state of all workers on the platform's list, as seen by one
///        instance.
///
/// Not thread-safe; used by the control thread. Makes no calls: tick() and the
/// result handlers add the required calls to @ref worker_manager_calls.
class worker_manager
{
  public:
    worker_manager(holder self, worker_manager_limits limits)
        : m_self(std::move(self)), m_limits(limits)
    {
    }

    /// @brief Adds or updates workers from the platform's list.
    auto update_list(const std::vector<worker::description>& workers) -> void;

    /// @brief Recomputes which workers are assigned to this instance.
    auto assign(const membership_view& view) -> void;

    /// @brief Requests due claims of assigned workers and due inspections of
    ///        held workers.
    auto tick(const membership_view& view, time_point now,
              worker_manager_calls& calls) -> void;

    /// @brief Handles the result of a fence request.
    /// @param asked  the epoch in the request
    /// @param report  the worker's state; ignored if the answer is unknown
    auto fenced(const worker_id& id, worker::epoch_number asked,
                fence_answer answer, const worker::state_report& report,
                time_point now) -> void;

    /// @brief Handles the result of an inspection; nullopt means no answer.
    auto inspected(const worker_id& id, std::uint64_t number,
                   const std::optional<worker::state_report>& report,
                   time_point now, worker_manager_calls& calls) -> void;

    /// @brief Handles the result of a revocation; nullopt means no answer.
    auto revoked(const worker_id& id, const attempt_id& attempt,
                 std::optional<worker::attempt_state> state) -> void;

    /// @brief Handles the outcome of an attempt, as reported by its entry.
    auto released(const worker_id& id, const attempt_id& attempt,
                  attempt_outcome outcome, worker_manager_calls& calls) -> void;

    /// @brief Sets the plan by which running attempts are attributed to
    ///        workspaces.
    auto set_plan(plan::plan_ptr in_force) -> void
    {
        m_plan = std::move(in_force);
    }

    /// @brief Sets whether operators drain the worker; a drained worker gets no
    ///        grants.
    auto set_drained(const worker_id& id, bool drained) -> void;

    [[nodiscard]] auto ledger() const -> const ledger::capacity_ledger&
    {
        return m_ledger;
    }
    [[nodiscard]] auto ledger() -> ledger::capacity_ledger&
    {
        return m_ledger;
    }

    /// @brief The list in the form that is sent to other instances: workers
    ///        that operators drain are marked as leaving.
    [[nodiscard]] auto listed_workers() const
        -> std::vector<worker::description>;

    /// @brief All listed workers, held or not.
    [[nodiscard]] auto workers() const -> std::vector<worker::description>;

    /// @brief Sum of the slots of all listed workers, held or not.
    [[nodiscard]] auto listed_slots() const noexcept -> std::int64_t
    {
        return m_listed_slots;
    }

  private:
    enum class phase
    {
        idle,
        claiming,
        held
    };

    struct record
    {
        worker::description worker;
        bool listed_leaving = false;
        bool reported_leaving = false;
        bool drained = false;
        bool suspended = false;
        bool is_assigned = false;
        phase state = phase::idle;
        worker::epoch_number epoch = 0;
        time_point next_claim_at;
        int failed_claims = 0;
        bool inspecting = false;
        std::uint64_t inspection = 0;
        time_point inspect_due;
        int unanswered_inspections = 0;
        /// Attempts released since the current inspection was requested.
        std::unordered_set<attempt_id> released_during_inspection;
    };

    auto claim(record& item, const membership_view& view, time_point now,
               worker_manager_calls& calls) -> void;
    auto inspect(record& item, time_point now, worker_manager_calls& calls)
        -> void;
    auto release_ownership(record& item, const worker::state_report& report,
                           time_point now) -> void;
    auto back_off(record& item, time_point now) -> void;
    auto reconcile(record& item, const worker::state_report& report,
                   time_point now, worker_manager_calls& calls) -> void;
    auto resolve_missing(record& item, const worker::state_report& report,
                         time_point now, worker_manager_calls& calls) -> void;
    auto adopt_running(record& item, const worker::state_report& report,
                       time_point now) -> void;
    auto update_leaving(record& item) -> void;
    [[nodiscard]] auto workspace_of(const workload_name& name) const
        -> workspace_name;
    auto find(const worker_id& id) -> record*;

    holder m_self;
    worker_manager_limits m_limits;
    std::unordered_map<worker_id, record> m_records;
    ledger::capacity_ledger m_ledger;
    std::int64_t m_listed_slots = 0;
    plan::plan_ptr m_plan;
};

} // namespace pimentoshunt::ownership
