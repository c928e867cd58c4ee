/// @file
/// Finds the tightest worker that has room, without a scan of all workers.
#pragma once

#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/resources.hpp>

#include <cstdint> // uint32_t
#include <vector>  // vector

namespace pimentoshunt::ledger
{

/// @brief Whether work without accelerators may use up the slots that a
///        worker's free accelerators need.
enum class accelerator_use
{
    allow,
    protect
};

/// @brief What one worker has free.
struct free_capacity
{
    resources free;
    std::int64_t connections = 0;
    /// Whether it has accelerators at all, in use or free.
    bool has_accelerators = false;
};

namespace detail
{

/// @brief Largest free amount of each kind among some workers.
struct capacity_bounds
{
    resources free;
    std::int64_t connections = 0;
    /// Slots beyond one for each free accelerator.
    std::int64_t spare_slots = 0;
};

/// @brief What a search asks for.
struct capacity_request
{
    resources each;
    bool protect_accelerators = false;
};

} // namespace detail

/// @brief An ordered search tree over free room; each node also bounds the
///        room of its subtree, so that a search skips what cannot fit.
///
/// Order: workers without accelerators first, then by free accelerators,
/// slots, processors and memory, smallest first. The first fit in this order
/// leaves large rooms and accelerators untouched for as long as possible.
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

    /// @brief Takes a worker out; its handle may be given to another.
    /// @complexity logarithmic in the number of workers
    auto erase(handle node) -> void;

    /// @brief Changes a worker's room.
    /// @complexity logarithmic in the number of workers
    auto update(handle node, const free_capacity& capacity) -> void;

    /// @brief The tightest worker with room for @p each, or nullptr.
    /// @complexity logarithmic where the bounds of a subtree are met by one
    ///             worker of it, which free amounts of like workers do; linear
    ///             at worst
    [[nodiscard]] auto first_fit(const resources& each,
                                 accelerator_use use) const -> const worker_id*;

    /// @brief Number of workers in it.
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
