/// @file
/// What each held worker has and what has been granted of it.
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

/// @brief One attempt that holds resources of a worker.
struct reservation
{
    attempt_id attempt;
    workload_name workload;
    workspace_name workspace;
    resources each;
    time_point granted_at;
    /// The instance that was given the grant.
    instance_id entry;
    /// Seen to run by the worker's own report.
    bool confirmed_running = false;
    /// Asked to checkpoint: it frees its resources soon.
    bool checkpoint_requested = false;
};

/// @brief What a worker may be given, by its health.
enum class grant_mode
{
    open,
    /// One attempt, after which it is closed.
    probe,
    closed
};

/// @brief What some holdings take together.
struct usage
{
    std::int64_t reservations = 0;
    resources total;
};

/// @brief A worker whose epoch this instance holds, with its holdings.
struct worker_account
{
    worker::description worker;
    worker::epoch_number epoch = 0;
    resources free;
    std::unordered_map<attempt_id, reservation> reservations;
    grant_mode mode = grant_mode::open;
    /// Its place in the ledger's index.
    free_index::handle index_handle = free_index::none;

    /// @brief Whether it takes any work at all.
    [[nodiscard]] auto is_accepting() const noexcept -> bool
    {
        return !worker.leaving && mode != grant_mode::closed;
    }

    /// @brief Whether a new holding of @p each is within all limits.
    [[nodiscard]] auto can_admit(const resources& each) const noexcept -> bool
    {
        return is_accepting() && each.fits_in(free) &&
               static_cast<std::int64_t>(reservations.size()) <
                   worker.connections;
    }
};

/// @brief The accounts of all workers held by one instance.
///
/// Single-threaded: it belongs to the control thread. Invariant: for each
/// account, capacity minus the sum of its holdings equals free; free is
/// negative only where a worker's own report exceeded its capacity. The
/// index, the totals and the usages always agree with the accounts.
class capacity_ledger
{
  public:
    /// @brief Opens an account from the worker's own complete report.
    /// @note An attempt that the report names keeps its resources until it is
    ///       released or reported gone.
    auto open(const worker::description& worker, worker::epoch_number epoch,
              const std::vector<worker::running_attempt>& running,
              time_point now) -> void;

    /// @brief Closes the account; its grants are void at the worker.
    auto close(const worker_id& id) -> void;

    /// @brief Takes @p item off the worker's free resources.
    /// @return false when the worker is not held or does not admit it
    auto try_reserve(const worker_id& id, const reservation& item) -> bool;

    /// @brief Accounts for an attempt that the worker says it runs, whether or
    ///        not there is room for it.
    auto adopt(const worker_id& id, const reservation& item) -> void;

    /// @brief Notes that the worker reported the attempt as running.
    /// @return false when the attempt holds nothing there
    auto mark_running(const worker_id& id, const attempt_id& attempt) -> bool;

    /// @brief Gives an attempt's resources back.
    /// @return false when the attempt holds nothing there (a repeat)
    auto release(const worker_id& id, const attempt_id& attempt) -> bool;

    /// @brief Marks the worker as leaving, or as staying.
    auto set_leaving(const worker_id& id, bool leaving) -> void;

    /// @brief Notes that the attempt was asked to checkpoint.
    auto mark_checkpoint_requested(const worker_id& id,
                                   const attempt_id& attempt) -> void;

    /// @brief Sets what the worker may be given, by its health.
    auto set_grant_mode(const worker_id& id, grant_mode mode) -> void;

    /// @brief The account, or nullptr when the worker is not held.
    /// @note Change capacity, holdings, leaving and intake by the functions of
    ///       the ledger only.
    [[nodiscard]] auto find(const worker_id& id) const -> const worker_account*;
    [[nodiscard]] auto find(const worker_id& id) -> worker_account*;

    [[nodiscard]] auto accounts() const
        -> const std::unordered_map<worker_id, worker_account>&
    {
        return m_accounts;
    }

    /// @brief The tightest worker that admits @p each, or nullptr.
    ///
    /// Work without accelerators goes to workers without them first.
    /// @complexity see free_index::first_fit
    [[nodiscard]] auto best_fit(const resources& each,
                                accelerator_use use) const -> const worker_id*
    {
        return m_index.first_fit(each, use);
    }

    /// @brief Sum of what is free on workers that accept work.
    /// @complexity constant
    [[nodiscard]] auto free_total() const noexcept -> resources
    {
        return m_free;
    }

    /// @brief Sum of the capacity of workers that accept work.
    /// @complexity constant
    [[nodiscard]] auto capacity_total() const noexcept -> resources
    {
        return m_capacity;
    }

    /// @brief What the workspace's holdings take on all held workers.
    [[nodiscard]] auto used_by(const workspace_name& workspace) const -> usage;

    /// @brief What each workload's holdings take; only those that hold.
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
