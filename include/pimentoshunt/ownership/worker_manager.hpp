/// @file
/// Claims workers, keeps the ledger of those that are held, and settles what
/// became of grants by asking the worker itself.
///
/// The worker is the arbiter of who owns it: a claim is a fence with a higher
/// epoch, and a start under any other epoch is refused by the worker. So
/// neither a clock nor the table is needed for safety; see
/// docs/design/ownership.md.
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

/// @brief Times by which the keeper acts.
struct worker_manager_limits
{
    /// Between two inspections of a held worker.
    milliseconds inspect_interval{1'000};
    /// After this a grant that was never seen to run is revoked.
    milliseconds start_timeout{3'000};
    /// First wait after a claim that failed or was refused.
    milliseconds claim_backoff{100};
    /// Longest wait between claims.
    milliseconds claim_backoff_max{5'000};
    /// Inspections in a row without an answer, then no more grants.
    int inspections_until_suspended = 3;
};

/// @brief A request to raise a worker's epoch in our name.
struct fence_call
{
    worker::description worker;
    worker::epoch_number epoch = 0;
};

/// @brief A request for a worker's state.
struct inspect_call
{
    worker::description worker;
    /// Comes back with the answer; an answer to an earlier one is void.
    std::uint64_t number = 0;
};

/// @brief A request to make sure that an attempt never starts.
struct revoke_call
{
    worker::description worker;
    attempt_id attempt;
};

/// @brief Calls that the keeper wants made; their answers come back to it.
struct worker_manager_calls
{
    std::vector<fence_call> fences;
    std::vector<inspect_call> inspections;
    std::vector<revoke_call> revocations;
};

/// @brief How a worker answered a fence.
enum class fence_answer
{
    accepted,
    refused,
    /// No answer: it may have taken effect.
    unknown
};

/// @brief What an entry says of an attempt that it is done with.
enum class attempt_outcome
{
    finished = 0,
    /// It ran and failed.
    failed = 1,
    /// It never was sent, or the worker refused it.
    never_started = 2,
    /// The worker refused its epoch: somebody else holds the worker.
    fenced = 3,
    /// It may run still; the owner has to find out.
    unknown = 4,
    /// The worker could not be connected to, so it was never sent.
    unreachable = 5
};

/// @brief The view of the membership that claims are based on.
struct membership_view
{
    const membership::member_table* members = nullptr;
    /// Serving instances, this one among them when it serves.
    std::vector<instance_id> serving;
    /// Whether enough of the known instances are heard to take over from
    /// those that are not.
    bool has_quorum = true;
};

/// @brief The workers of the platform's list as one instance holds them.
///
/// Single-threaded: it belongs to the control thread.
class worker_manager
{
  public:
    worker_manager(holder self, worker_manager_limits limits)
        : m_self(std::move(self)), m_limits(limits)
    {
    }

    /// @brief Takes in the platform's list.
    auto update_list(const std::vector<worker::description>& workers) -> void;

    /// @brief Recomputes which workers this instance should own.
    auto assign(const membership_view& view) -> void;

    /// @brief Claims what should be owned and inspects what is held.
    auto tick(const membership_view& view, time_point now,
              worker_manager_calls& calls) -> void;

    /// @brief A fence was answered.
    /// @param report  the worker's state, unless the answer is unknown
    auto fenced(const worker_id& id, worker::epoch_number asked,
                fence_answer answer, const worker::state_report& report,
                time_point now) -> void;

    /// @brief An inspection ended; no report means no answer.
    auto inspected(const worker_id& id, std::uint64_t number,
                   const std::optional<worker::state_report>& report,
                   time_point now, worker_manager_calls& calls) -> void;

    /// @brief A revocation ended; no state means no answer.
    auto revoked(const worker_id& id, const attempt_id& attempt,
                 std::optional<worker::attempt_state> state) -> void;

    /// @brief An entry is done with an attempt.
    auto released(const worker_id& id, const attempt_id& attempt,
                  attempt_outcome outcome, worker_manager_calls& calls) -> void;

    /// @brief Takes the plan by which running work is told to workspaces.
    auto set_plan(plan::plan_ptr in_force) -> void
    {
        m_plan = std::move(in_force);
    }

    /// @brief Operators' drain of one worker, or its end.
    auto set_drained(const worker_id& id, bool drained) -> void;

    [[nodiscard]] auto ledger() const -> const ledger::capacity_ledger&
    {
        return m_ledger;
    }
    [[nodiscard]] auto ledger() -> ledger::capacity_ledger&
    {
        return m_ledger;
    }

    /// @brief The list as another instance may take it over: workers that the
    ///        operators drain are shown as leaving.
    [[nodiscard]] auto listed_workers() const
        -> std::vector<worker::description>;

    /// @brief Every listed worker, held here or not.
    [[nodiscard]] auto workers() const -> std::vector<worker::description>;

    /// @brief Slots of every listed worker together, held here or not.
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
        bool wanted = false;
        phase state = phase::idle;
        worker::epoch_number epoch = 0;
        time_point next_claim_at;
        int failed_claims = 0;
        bool inspecting = false;
        std::uint64_t inspection = 0;
        time_point inspect_due;
        int unanswered_inspections = 0;
        /// Attempts released since the running inspection was asked for.
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
