#include <pimentoshunt/ledger/free_index.hpp>

#include <algorithm> // max
#include <tuple>     // tie

namespace pimentoshunt::ledger
{

namespace
{

auto bounds_of(const free_capacity& capacity) -> detail::capacity_bounds
{
    const auto kept = capacity.has_accelerators ? capacity.free.accelerators
                                                : std::int64_t{0};
    return {capacity.free, capacity.connections, capacity.free.slots - kept};
}

auto widen(detail::capacity_bounds& bounds, const detail::capacity_bounds& by)
    -> void
{
    bounds.free.slots = std::max(bounds.free.slots, by.free.slots);
    bounds.free.millicpus = std::max(bounds.free.millicpus, by.free.millicpus);
    bounds.free.memory_mb = std::max(bounds.free.memory_mb, by.free.memory_mb);
    bounds.free.accelerators =
        std::max(bounds.free.accelerators, by.free.accelerators);
    bounds.connections = std::max(bounds.connections, by.connections);
    bounds.spare_slots = std::max(bounds.spare_slots, by.spare_slots);
}

auto can_fit(const detail::capacity_bounds& bounds,
             const detail::capacity_request& need) -> bool
{
    const bool spares =
        !need.protect_accelerators || need.each.slots <= bounds.spare_slots;
    return spares && bounds.connections > 0 && need.each.fits_in(bounds.free);
}

} // namespace

free_index::free_index() : m_nodes(1)
{
}

auto free_index::insert(const worker_id& worker, const free_capacity& capacity)
    -> handle
{
    auto item = static_cast<handle>(m_nodes.size());
    if (m_unused.empty())
    {
        m_nodes.emplace_back();
    }
    else
    {
        item = m_unused.back();
        m_unused.pop_back();
    }
    m_nodes[item].worker = worker;
    m_nodes[item].capacity = capacity;
    m_nodes[item].heap_priority = next_heap_priority();
    m_root = attach(m_root, item);
    ++m_size;
    return item;
}

auto free_index::erase(handle item) -> void
{
    m_root = detach(m_root, item);
    m_nodes[item] = node{};
    m_unused.push_back(item);
    --m_size;
}

auto free_index::update(handle item, const free_capacity& capacity) -> void
{
    m_root = detach(m_root, item);
    m_nodes[item].capacity = capacity;
    m_root = attach(m_root, item);
}

auto free_index::first_fit(const resources& each, accelerator_use use) const
    -> const worker_id*
{
    const bool protect =
        use == accelerator_use::protect && each.accelerators == 0;
    const auto found = find(m_root, {each, protect});
    return found == none ? nullptr : &m_nodes[found].worker;
}

auto free_index::precedes(handle left, handle right) const -> bool
{
    const auto& a = m_nodes[left].capacity;
    const auto& b = m_nodes[right].capacity;
    return std::tie(a.has_accelerators, a.free.accelerators, a.free.slots,
                    a.free.millicpus, a.free.memory_mb, left) <
           std::tie(b.has_accelerators, b.free.accelerators, b.free.slots,
                    b.free.millicpus, b.free.memory_mb, right);
}

auto free_index::find(handle root, const detail::capacity_request& need) const
    -> handle
{
    if (root == none || !can_fit(m_nodes[root].bounds, need))
    {
        return none;
    }
    const auto& here = m_nodes[root];
    const auto left = find(here.left, need);
    if (left != none)
    {
        return left;
    }
    if (can_fit(bounds_of(here.capacity), need))
    {
        return root;
    }
    return find(here.right, need);
}

auto free_index::split(handle root, handle at) -> split_result
{
    if (root == none)
    {
        return {};
    }
    if (precedes(root, at))
    {
        const auto parts = split(m_nodes[root].right, at);
        m_nodes[root].right = parts.below;
        update_bounds(root);
        return {root, parts.rest};
    }
    const auto parts = split(m_nodes[root].left, at);
    m_nodes[root].left = parts.rest;
    update_bounds(root);
    return {parts.below, root};
}

auto free_index::merge(handle left, handle right) -> handle
{
    if (left == none || right == none)
    {
        return left == none ? right : left;
    }
    if (m_nodes[left].heap_priority > m_nodes[right].heap_priority)
    {
        m_nodes[left].right = merge(m_nodes[left].right, right);
        update_bounds(left);
        return left;
    }
    m_nodes[right].left = merge(left, m_nodes[right].left);
    update_bounds(right);
    return right;
}

auto free_index::attach(handle root, handle item) -> handle
{
    if (root != none &&
        m_nodes[root].heap_priority >= m_nodes[item].heap_priority)
    {
        auto& child =
            precedes(item, root) ? m_nodes[root].left : m_nodes[root].right;
        child = attach(child, item);
        update_bounds(root);
        return root;
    }
    const auto parts = split(root, item);
    m_nodes[item].left = parts.below;
    m_nodes[item].right = parts.rest;
    update_bounds(item);
    return item;
}

auto free_index::detach(handle root, handle item) -> handle
{
    if (root == item)
    {
        return merge(m_nodes[item].left, m_nodes[item].right);
    }
    auto& child =
        precedes(item, root) ? m_nodes[root].left : m_nodes[root].right;
    child = detach(child, item);
    update_bounds(root);
    return root;
}

auto free_index::update_bounds(handle root) -> void
{
    auto& here = m_nodes[root];
    here.bounds = bounds_of(here.capacity);
    if (here.left != none)
    {
        widen(here.bounds, m_nodes[here.left].bounds);
    }
    if (here.right != none)
    {
        widen(here.bounds, m_nodes[here.right].bounds);
    }
}

auto free_index::next_heap_priority() -> std::uint32_t
{
    // xorshift suffices: treap priorities only have to be independent of the
    // keys.
    m_random ^= m_random << 13U;
    m_random ^= m_random >> 17U;
    m_random ^= m_random << 5U;
    return m_random;
}

} // namespace pimentoshunt::ledger
