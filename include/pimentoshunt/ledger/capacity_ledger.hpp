/// @file
/// Accounting of the held workers: capacity, granted reservations and free
/// resources. Used by the control thread only.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/ledger/free_index.hpp>
#include <pimentoshunt/resources.hpp>
#include <pimentoshunt/worker/messages.hpp>

#include <cstdint>       // uint64_t
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::ledger
{

/// @brief Resources of a worker that are reserved for one attempt.
struct reservation
{
    attempt_id attempt;
    workload_name workload;
    workspace_name workspace;
    resources each;
    time_point granted_at;
    /// The instance that received the grant.
    instance_id entry;
    /// Whether the worker has reported the attempt as running.
    bool confirmed_running = false;
    /// Whether a checkpoint was requested, after which the attempt ends soon.
    bool checkpoint_requested = false;
};

/// @brief Which grants a worker may get, depending on its health.
enum class grant_mode
{
    open,
    /// One grant, after which the mode changes to closed.
    probe,
    closed
};

/// @brief Number and sum of a set of reservations.
struct usage
{
    std::int64_t reservations = 0;
    resources total;
};

/// @brief A worker whose epoch this instance holds, with its reservations.
struct worker_account
{
    worker::description worker;
    worker::epoch_number epoch = 0;
    resources free;
    std::unordered_map<attempt_id, reservation> reservations;
    grant_mode mode = grant_mode::open;
    /// Handle of the worker in the ledger's index; none if not accepting.
    free_index::handle index_handle = free_index::none;

    /// @brief Whether the worker may get grants at all.
    [[nodiscard]] auto is_accepting() const noexcept -> bool
    {
        return !worker.leaving && mode != grant_mode::closed;
    }

    /// @brief Whether a new reservation of @p each is within all limits.
    [[nodiscard]] auto can_admit(const resources& each) const noexcept -> bool
    {
        return is_accepting() && each.fits_in(free) &&
               static_cast<std::int64_t>(reservations.size()) <
                   worker.connections;
    }
};

/// @brief The accounts of all workers held by one instance.
///
/// Not thread-safe; used by the control thread. Invariant: for each account,
/// capacity minus the sum of its reservations equals free; free is negative
/// only if the worker reported attempts that exceed its capacity. The index,
/// the totals and the usages are always consistent with the accounts.
class capacity_ledger
{
  public:
    /// @brief Opens an account from the worker's complete report; replaces an
    ///        existing account of the worker.
    /// @note The resources of a reported attempt stay reserved until the
    ///       attempt is released.
    auto open(const worker::description& worker, worker::epoch_number epoch,
              const std::vector<worker::running_attempt>& running,
              time_point now) -> void;

    /// @brief Removes the account; the worker rejects starts under its grants.
    auto close(const worker_id& id) -> void;

    /// @brief Reserves resources of the worker for @p item.
    /// @return false if the worker is not held, cannot admit @p item, or has a
    ///         reservation of the same attempt
    auto try_reserve(const worker_id& id, const reservation& item) -> bool;

    /// @brief Adds a reservation for an attempt that the worker reports as
    ///        running, even if it exceeds the free resources.
    auto adopt(const worker_id& id, const reservation& item) -> void;

    /// @brief Records that the worker reported the attempt as running.
    /// @return false if the attempt has no reservation on the worker
    auto mark_running(const worker_id& id, const attempt_id& attempt) -> bool;

    /// @brief Removes the reservation of an attempt.
    /// @return false if there is none, for example on a repeated release
    auto release(const worker_id& id, const attempt_id& attempt) -> bool;

    /// @brief Sets whether the worker is leaving; a leaving worker gets no
    ///        grants.
    auto set_leaving(const worker_id& id, bool leaving) -> void;

    /// @brief Records that a checkpoint of the attempt was requested.
    auto mark_checkpoint_requested(const worker_id& id,
                                   const attempt_id& attempt) -> void;

    /// @brief Sets which grants the worker may get.
    auto set_grant_mode(const worker_id& id, grant_mode mode) -> void;

    /// @brief The account, or nullptr if the worker is not held.
    /// @note Capacity, reservations, leaving and mode may be changed only by
    ///       the functions of the ledger, which update index and totals.
    [[nodiscard]] auto find(const worker_id& id) const -> const worker_account*;
    [[nodiscard]] auto find(const worker_id& id) -> worker_account*;

    [[nodiscard]] auto accounts() const
        -> const std::unordered_map<worker_id, worker_account>&
    {
        return m_accounts;
    }

    /// @brief The worker with the least free resources that can admit @p each,
    ///        or nullptr.
    ///
    /// Work without accelerators is placed on workers without accelerators
    /// first.
    /// @complexity see free_index::first_fit
    [[nodiscard]] auto best_fit(const resources& each,
                                accelerator_use use) const -> const worker_id*
    {
        return m_index.first_fit(each, use);
    }

    /// @brief Sum of the free resources of accepting workers.
    /// @complexity constant
    [[nodiscard]] auto free_total() const noexcept -> resources
    {
        return m_free;
    }

    /// @brief Sum of the capacities of accepting workers.
    /// @complexity constant
    [[nodiscard]] auto capacity_total() const noexcept -> resources
    {
        return m_capacity;
    }

    /// @brief Usage of the workspace on all held workers.
    [[nodiscard]] auto used_by(const workspace_name& workspace) const -> usage;

    /// @brief Usage of each workload that has reservations.
    [[nodiscard]] auto used_by_workload() const
        -> const std::unordered_map<workload_name, usage>&
    {
        return m_by_workload;
    }

  private:
    auto add_to_totals(worker_account& account) -> void;
    auto remove_from_totals(worker_account& account) -> void;
    auto update_index(worker_account& account) -> void;
    auto add_usage(const reservation& item) -> void;
    auto subtract_usage(const reservation& item) -> void;

    std::unordered_map<worker_id, worker_account> m_accounts;
    free_index m_index;
    std::unordered_map<workspace_name, usage> m_by_workspace;
    std::unordered_map<workload_name, usage> m_by_workload;
    resources m_free;
    resources m_capacity;
};

} // namespace pimentoshunt::ledger
