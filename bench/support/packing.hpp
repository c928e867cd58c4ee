/// @file
/// Simulates placement policies and counts the large tasks that still fit
/// afterwards.
#pragma once

#include <pimentoshunt/ledger/capacity_ledger.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <random>  // mt19937_64
#include <string>  // to_string
#include <vector>  // vector

namespace pimentoshunt::bench
{

/// @brief Rule by which a worker is chosen among those with enough room.
enum class packing_policy
{
    best_fit,
    random_fit,
    worst_fit
};

inline auto to_string(packing_policy packing) -> const char*
{
    switch (packing)
    {
    case packing_policy::best_fit:
        return "best fit";
    case packing_policy::random_fit:
        return "random fit";
    case packing_policy::worst_fit:
        return "emptiest";
    }
    return "";
}

/// @brief Number of large tasks that can still be placed.
struct remaining_capacity
{
    /// Number of tasks that need all slots of a worker.
    std::size_t whole_workers = 0;
    /// Number of tasks of one accelerator and two slots.
    std::size_t accelerators = 0;
};

namespace detail
{

/// @brief A ledger of 48 workers on which small tasks start and end.
class churned_cell
{
  public:
    churned_cell(packing_policy packing, unsigned seed)
        : m_packing(packing), m_random(seed)
    {
        for (int i = 0; i < 48; ++i)
        {
            worker::description made;
            made.id = worker_id("w" + std::to_string(i));
            made.capacity = {8, 16'000, 64'000, i % 4 == 0 ? 4 : 0};
            m_workers.push_back(made.id);
            m_accounts.open(made, 1, {}, {});
        }
    }

    /// @brief Places and releases small tasks until their distribution is
    /// steady.
    auto churn() -> void
    {
        constexpr std::size_t target = 48 * 8 * 6 / 10;
        for (int i = 0; i < 20'000; ++i)
        {
            if (m_held.size() >= target)
            {
                release_one();
            }
            place({1, 1'000 + draw(1'500), 1'000 + draw(7'000), 0});
        }
    }

    /// @brief Places as many tasks of size @p each as fit and returns their
    /// number.
    auto fill(const resources& each) -> std::size_t
    {
        std::size_t count = 0;
        while (place(each))
        {
            ++count;
        }
        return count;
    }

  private:
    struct held_attempt
    {
        worker_id worker;
        attempt_id attempt;
    };

    auto draw(std::uint64_t limit) -> std::int64_t
    {
        return static_cast<std::int64_t>(m_random() % limit);
    }

    [[nodiscard]] auto choose(const resources& each) -> worker_id
    {
        if (m_packing == packing_policy::best_fit)
        {
            const auto* const found =
                m_accounts.best_fit(each, ledger::accelerator_use::allow);
            return found == nullptr ? worker_id() : *found;
        }
        std::vector<worker_id> fitting;
        for (const auto& id : m_workers)
        {
            if (m_accounts.find(id)->can_admit(each))
            {
                fitting.push_back(id);
            }
        }
        if (fitting.empty())
        {
            return {};
        }
        if (m_packing == packing_policy::random_fit)
        {
            return fitting[m_random() % fitting.size()];
        }
        auto best = fitting.front();
        for (const auto& id : fitting)
        {
            if (m_accounts.find(id)->free.slots >
                m_accounts.find(best)->free.slots)
            {
                best = id;
            }
        }
        return best;
    }

    auto place(const resources& each) -> bool
    {
        const auto chosen = choose(each);
        if (chosen.empty())
        {
            return false;
        }
        ledger::reservation item;
        item.attempt = attempt_id(std::to_string(++m_attempts));
        item.each = each;
        m_held.push_back({chosen, item.attempt});
        return m_accounts.try_reserve(chosen, item);
    }

    auto release_one() -> void
    {
        std::swap(m_held[m_random() % m_held.size()], m_held.back());
        m_accounts.release(m_held.back().worker, m_held.back().attempt);
        m_held.pop_back();
    }

    packing_policy m_packing;
    std::mt19937_64 m_random;
    std::vector<worker_id> m_workers;
    ledger::capacity_ledger m_accounts;
    std::vector<held_attempt> m_held;
    std::uint64_t m_attempts = 0;
};

} // namespace detail

/// @brief Runs small tasks on 60% of a cell's slots, then counts the large
/// tasks that fit.
inline auto measure_remaining_capacity(packing_policy packing, unsigned seed)
    -> remaining_capacity
{
    remaining_capacity room;
    detail::churned_cell for_accelerators(packing, seed);
    for_accelerators.churn();
    room.accelerators = for_accelerators.fill({2, 1'000, 1'000, 1});
    detail::churned_cell for_whole(packing, seed);
    for_whole.churn();
    room.whole_workers = for_whole.fill({8, 8'000, 16'000, 0});
    return room;
}

} // namespace pimentoshunt::bench
