/// @file
/// Index of workers by free capacity: finds the best fit for a request without
/// a scan of all workers.
#pragma once

#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/resources.hpp>

#include <cstdint> // uint32_t
#include <vector>  // vector

namespace pimentoshunt::ledger
{

/// @brief Whether work without accelerators may use the last slots of a
///        worker that its free accelerators need.
enum class accelerator_use
{
    allow,
    protect
};

/// @brief Free capacity of one worker.
struct free_capacity
{
    resources free;
    std::int64_t connections = 0;
    /// Whether the worker has accelerators, in use or free.
    bool has_accelerators = false;
};

namespace detail
{

/// @brief Maximum of each free resource over the workers of a subtree.
struct capacity_bounds
{
    resources free;
    std::int64_t connections = 0;
    /// Free slots minus one slot for each free accelerator.
    std::int64_t spare_slots = 0;
};

/// @brief Resources that a search looks for.
struct capacity_request
{
    resources each;
    bool protect_accelerators = false;
};

} // namespace detail

/// @brief Treap of workers ordered by free capacity. Each node also stores the
///        maximum free capacity of its subtree, so that a search skips
///        subtrees in which nothing fits. Not thread-safe.
///
/// Order: workers without accelerators first, then by free accelerators,
/// slots, processors and memory, smallest first. The first fit in this order
/// keeps large free capacities and accelerators available for as long as
/// possible.
class free_index
{
  public:
    using handle = std::uint32_t;
    static constexpr handle none = 0;

    free_index();

    /// @brief Adds a worker.
    /// @complexity logarithmic in the number of workers
    auto insert(const worker_id& worker, const free_capacity& capacity)
        -> handle;

    /// @brief Removes a worker; its handle may be reused for another worker.
    /// @complexity logarithmic in the number of workers
    auto erase(handle node) -> void;

    /// @brief Replaces a worker's free capacity.
    /// @complexity logarithmic in the number of workers
    auto update(handle node, const free_capacity& capacity) -> void;

    /// @brief The first worker in index order that has @p each free, or
    ///        nullptr.
    /// @complexity logarithmic if some worker of each subtree reaches all
    ///             bounds of the subtree, as with workers of equal capacity;
    ///             linear in the worst case
    [[nodiscard]] auto first_fit(const resources& each,
                                 accelerator_use use) const -> const worker_id*;

    /// @brief Number of workers in the index.
    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return m_size;
    }

  private:
    struct node
    {
        worker_id worker;
        free_capacity capacity;
        detail::capacity_bounds bounds;
        std::uint32_t heap_priority = 0;
        handle left = none;
        handle right = none;
    };

    struct split_result
    {
        handle below = none;
        handle rest = none;
    };

    [[nodiscard]] auto precedes(handle left, handle right) const -> bool;
    [[nodiscard]] auto find(handle root,
                            const detail::capacity_request& need) const
        -> handle;
    auto split(handle root, handle at) -> split_result;
    auto merge(handle left, handle right) -> handle;
    auto attach(handle root, handle item) -> handle;
    auto detach(handle root, handle item) -> handle;
    auto update_bounds(handle root) -> void;
    auto next_heap_priority() -> std::uint32_t;

    std::vector<node> m_nodes;
    std::vector<handle> m_unused;
    handle m_root = none;
    std::size_t m_size = 0;
    std::uint32_t m_random = 2463534242U;
};

} // namespace pimentoshunt::ledger
