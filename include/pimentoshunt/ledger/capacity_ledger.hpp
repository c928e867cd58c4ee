/// @file
/// What each held worker has and what has been granted of it.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/resources.hpp>
#include <pimentoshunt/worker/messages.hpp>

#include <cstdint>       // uint64_t
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::ledger
{

/// @brief One attempt that holds resources of a worker.
struct holding
{
    attempt_id attempt;
    workload_name workload;
    tenant_name tenant;
    resources each;
    time_point granted_at;
    /// The instance that was given the grant.
    instance_id entry;
    /// Seen to run by the worker's own report.
    bool seen_running = false;
};

/// @brief A worker whose epoch this instance holds, with its holdings.
struct worker_account
{
    worker::description worker;
    worker::epoch_number epoch = 0;
    resources free;
    std::unordered_map<attempt_id, holding> holdings;

    /// @brief Whether a new holding of @p each is within all limits.
    [[nodiscard]] auto admits(const resources& each) const noexcept -> bool
    {
        return !worker.leaving && each.fits_in(free) &&
               static_cast<std::int64_t>(holdings.size()) < worker.connections;
    }
};

/// @brief The accounts of all workers held by one instance.
///
/// Single-threaded: it belongs to the control thread. Invariant: for each
/// account, capacity minus the sum of its holdings equals free; free is
/// negative only where a worker's own report exceeded its capacity.
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
    auto take(const worker_id& id, const holding& item) -> bool;

    /// @brief Gives an attempt's resources back.
    /// @return false when the attempt holds nothing there (a repeat)
    auto release(const worker_id& id, const attempt_id& attempt) -> bool;

    /// @brief Marks the worker as leaving, or as staying.
    auto set_leaving(const worker_id& id, bool leaving) -> void;

    /// @brief The account, or nullptr when the worker is not held.
    [[nodiscard]] auto find(const worker_id& id) const -> const worker_account*;
    [[nodiscard]] auto find(const worker_id& id) -> worker_account*;

    [[nodiscard]] auto accounts() const
        -> const std::unordered_map<worker_id, worker_account>&
    {
        return m_accounts;
    }

    /// @brief Sum of what is free on workers that are not leaving.
    [[nodiscard]] auto free_total() const noexcept -> resources;

  private:
    std::unordered_map<worker_id, worker_account> m_accounts;
};

} // namespace pimentoshunt::ledger
