/// @file
/// Semantic checks of a plan: references by name, quotas, dependency cycles
/// and whether tasks fit a worker.
#include "parse_steps.hpp"

#include <algorithm>     // any_of
#include <string>        // string
#include <unordered_map> // unordered_map
#include <utility>       // move

namespace pimentoshunt::plan::detail
{
namespace
{

using json::child_pointer;
using json::fault;
using json::fault_kind;

/// Index of the first item of each name.
using index_by_name = std::unordered_map<std::string, std::size_t>;

template<class Range>
auto index_names(const Range& items, const std::vector<std::string>& pointers,
                 std::vector<fault>& faults) -> index_by_name
{
    index_by_name first;
    for (std::size_t i = 0; i < items.size(); ++i)
    {
        const auto& name = items[i].name.str();
        if (name.empty())
        {
            continue;
        }
        const auto added = first.emplace(name, i);
        if (!added.second)
        {
            json::add_fault(faults,
                            {fault_kind::duplicate,
                             child_pointer(pointers[i], "name"), 0,
                             "name \"" + name + "\" is already used at " +
                                 pointers[added.first->second],
                             "give each its own name"});
        }
    }
    return first;
}

auto check_workspace_known(const workload& item, const std::string& pointer,
                           const index_by_name& workspaces,
                           std::vector<fault>& faults) -> void
{
    const auto& name = item.workspace.str();
    if (!name.empty() && workspaces.count(name) == 0)
    {
        json::add_fault(faults, {fault_kind::unknown_name,
                                 child_pointer(pointer, "workspace"), 0,
                                 "no workspace is named \"" + name + "\"",
                                 "add it to /workspaces or correct the name"});
    }
}

auto check_dependencies_known(const workload& item, const std::string& pointer,
                              const index_by_name& workloads,
                              std::vector<fault>& faults) -> void
{
    const auto list = child_pointer(pointer, "depends_on");
    for (std::size_t i = 0; i < item.depends_on.size(); ++i)
    {
        const auto& name = item.depends_on[i].str();
        if (workloads.count(name) == 0)
        {
            json::add_fault(
                faults,
                {fault_kind::unknown_name,
                 child_pointer(list, std::to_string(i)), 0,
                 "no service, batch or gang work is named \"" + name + "\"",
                 "add it to the plan or correct the name"});
        }
    }
}

/// @brief One resource dimension and its key in the plan, for messages.
struct dimension
{
    const char* key;
    std::int64_t resources::*amount;
};

constexpr dimension dimensions[] = {
    {"slots", &resources::slots},
    {"millicpus", &resources::millicpus},
    {"memory_mb", &resources::memory_mb},
    {"accelerators", &resources::accelerators},
};

auto check_quota(const workload& item, const std::string& pointer,
                 const workspace& owner, const std::string& workspace_pointer,
                 std::vector<fault>& faults) -> void
{
    // All tasks of a gang start together, so the quota must hold all of them.
    const auto demand = item.cls == work_class::gang ? "one gang" : "one task";
    for (const auto& each : dimensions)
    {
        const auto need = item.each.*each.amount * item.tasks;
        const auto quota = owner.quota.*each.amount;
        if (need > quota)
        {
            json::add_fault(
                faults,
                {fault_kind::quota_too_small,
                 child_pointer(pointer, "resources"), 0,
                 std::string(demand) + " takes " + std::to_string(need) + " " +
                     each.key + ", but the quota of workspace \"" +
                     owner.name.str() + "\" is " + std::to_string(quota),
                 "raise " + workspace_pointer + "/quota/" + each.key + " to " +
                     std::to_string(need) + " or more, or lower the task"});
        }
    }
}

/// @brief Finds dependency cycles by depth-first search. The stack is explicit
/// because a long chain of dependencies would overflow the call stack.
class cycle_finder
{
  public:
    cycle_finder(parse_state& out, const index_by_name& names)
        : m_out(out), m_names(names), m_states(out.parsed.workloads.size())
    {
    }

    auto run() -> void
    {
        for (std::size_t i = 0; i < m_states.size(); ++i)
        {
            if (m_states[i] == visit_state::unvisited)
            {
                search_from(i);
            }
        }
    }

  private:
    enum class visit_state
    {
        unvisited,
        in_progress,
        done
    };

    struct search_frame
    {
        std::size_t workload = 0;
        std::size_t next = 0;
    };

    auto search_from(std::size_t start) -> void
    {
        m_path.push_back({start, 0});
        m_states[start] = visit_state::in_progress;
        while (!m_path.empty())
        {
            auto& top = m_path.back();
            const auto& needs = m_out.parsed.workloads[top.workload].depends_on;
            if (top.next == needs.size())
            {
                m_states[top.workload] = visit_state::done;
                m_path.pop_back();
                continue;
            }
            visit_dependency(needs[top.next++].str());
        }
    }

    auto visit_dependency(const std::string& name) -> void
    {
        const auto found = m_names.find(name);
        if (found == m_names.end())
        {
            return;
        }
        const auto target = found->second;
        if (m_states[target] == visit_state::in_progress)
        {
            report_cycle(target);
        }
        else if (m_states[target] == visit_state::unvisited)
        {
            m_states[target] = visit_state::in_progress;
            m_path.push_back({target, 0});
        }
    }

    auto report_cycle(std::size_t first) -> void
    {
        std::string names;
        auto inside = false;
        for (const auto& at : m_path)
        {
            inside = inside || at.workload == first;
            if (inside)
            {
                names += name_of(at.workload) + " -> ";
            }
        }
        json::add_fault(
            m_out.faults,
            {fault_kind::cycle,
             child_pointer(m_out.workload_pointers[first], "depends_on"), 0,
             "these depend on each other in a cycle: " + names + name_of(first),
             "remove one of these dependencies"});
    }

    [[nodiscard]] auto name_of(std::size_t workload) const -> const std::string&
    {
        return m_out.parsed.workloads[workload].name.str();
    }

    parse_state& m_out;
    const index_by_name& m_names;
    std::vector<visit_state> m_states;
    std::vector<search_frame> m_path;
};

} // namespace

auto check_semantics(parse_state& out) -> void
{
    const auto workspaces =
        index_names(out.parsed.workspaces, out.workspace_pointers, out.faults);
    const auto workloads =
        index_names(out.parsed.workloads, out.workload_pointers, out.faults);
    for (std::size_t i = 0; i < out.parsed.workloads.size(); ++i)
    {
        const auto& item = out.parsed.workloads[i];
        const auto& pointer = out.workload_pointers[i];
        check_workspace_known(item, pointer, workspaces, out.faults);
        check_dependencies_known(item, pointer, workloads, out.faults);
        const auto owner = workspaces.find(item.workspace.str());
        if (owner != workspaces.end())
        {
            check_quota(item, pointer, out.parsed.workspaces[owner->second],
                        out.workspace_pointers[owner->second], out.faults);
        }
    }
    cycle_finder(out, workloads).run();
}

auto check_worker_capacity(parse_state& out,
                           const std::vector<resources>& workers) -> void
{
    if (workers.empty())
    {
        return;
    }
    for (std::size_t i = 0; i < out.parsed.workloads.size(); ++i)
    {
        const auto& item = out.parsed.workloads[i];
        const auto fits = std::any_of(workers.begin(), workers.end(),
                                      [&](const resources& room)
                                      {
                                          return item.each.fits_in(room);
                                      });
        if (!fits)
        {
            json::add_fault(
                out.faults,
                {fault_kind::fits_no_worker,
                 child_pointer(out.workload_pointers[i], "resources"), 0,
                 "one task of \"" + item.name.str() + "\" fits no worker",
                 "lower its resources, or add a worker that has them"});
        }
    }
}

} // namespace pimentoshunt::plan::detail
