/// @file
/// The owner's decision: which waiting work gets which free worker.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/ledger/capacity_ledger.hpp>
#include <pimentoshunt/plan/document.hpp>

#include <algorithm> // sort
#include <cstdint>   // int64_t
#include <vector>    // vector

namespace pimentoshunt::policy
{

/// @brief Waiting work of one workload at one entry.
struct demand_line
{
    instance_id entry;
    const plan::workload* workload = nullptr;
    /// How many wait and have no grant on the way.
    std::int64_t count = 0;
    /// The earliest deadline among them, on this instance's clock.
    time_point deadline;
    /// When the first in line arrived, on this instance's clock.
    time_point waiting_since;
};

/// @brief One unit of a demand line put on one worker.
struct placement
{
    std::size_t line = 0;
    worker_id worker;
};

/// @brief Chooses placements; takes nothing from the ledger by itself.
class grant_picker
{
  public:
    /// @brief Fills free capacity with the most urgent lines.
    /// @param accounts  the ledger; the caller takes each placement from it
    /// @param lines  in any order; their counts are not changed
    /// @param take  called as bool(const placement&) for each choice, at once;
    ///              false when the ledger did not admit it
    /// @param now  time of the decision
    template<class Take>
    auto pick(const ledger::capacity_ledger& accounts,
              const std::vector<demand_line>& lines, Take&& take,
              time_point now) -> void;
};

template<class Take>
auto grant_picker::pick(const ledger::capacity_ledger& accounts,
                        const std::vector<demand_line>& lines, Take&& take,
                        time_point) -> void
{
    std::vector<std::size_t> order(lines.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i] = i;
    }
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b)
              {
                  const auto& left = *lines[a].workload;
                  const auto& right = *lines[b].workload;
                  if (left.cls != right.cls)
                  {
                      return left.cls < right.cls;
                  }
                  if (left.priority != right.priority)
                  {
                      return left.priority > right.priority;
                  }
                  return lines[a].deadline < lines[b].deadline;
              });
    for (const auto index : order)
    {
        auto left = lines[index].count;
        for (const auto& [id, account] : accounts.accounts())
        {
            while (left > 0 && account.admits(lines[index].workload->each) &&
                   take(placement{index, id}))
            {
                --left;
            }
        }
    }
}

} // namespace pimentoshunt::policy
