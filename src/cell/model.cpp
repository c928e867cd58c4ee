#include <pimentoshunt/cell/model.hpp>

#include <algorithm> // find_if

namespace pimentoshunt::cell
{
namespace
{

/// Strips the port from the value of a Host header.
auto without_port(const std::string& host) -> std::string
{
    return host.substr(0, host.find(':'));
}

} // namespace

auto configuration::find_route(const std::string& host,
                               const std::string& path) const
    -> const queue_route*
{
    const auto name = without_port(host);
    const queue_route* best = nullptr;
    for (const auto& item : routes)
    {
        const bool matches =
            without_port(item.host) == name &&
            path.compare(0, item.path_prefix.size(), item.path_prefix) == 0;
        if (matches && (best == nullptr ||
                        best->path_prefix.size() < item.path_prefix.size()))
        {
            best = &item;
        }
    }
    return best;
}

auto configuration::find_queue(const queue_name& name) const
    -> const queue_config*
{
    const auto found = std::find_if(routes.begin(), routes.end(),
                                    [&](const queue_route& item)
                                    {
                                        return item.queue.name == name;
                                    });
    return found == routes.end() ? nullptr : &found->queue;
}

auto configuration::find_workspace(const workspace_name& name) const
    -> const workspace_config*
{
    const auto found = std::find_if(workspaces.begin(), workspaces.end(),
                                    [&](const workspace_config& item)
                                    {
                                        return item.name == name;
                                    });
    return found == workspaces.end() ? nullptr : &*found;
}

auto to_string(job_state state) -> std::string
{
    switch (state)
    {
    case job_state::queued:
        return "queued";
    case job_state::running:
        return "running";
    case job_state::succeeded:
        return "succeeded";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        break;
    }
    return "cancelled";
}

auto to_string(run_end how) -> std::string
{
    switch (how)
    {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lease_expired:
        return "lapsed";
    case run_end::worker_ended:
        return "lost with its worker";
    case run_end::gang_member_ended:
        return "broken";
    case run_end::gang_incomplete:
        break;
    }
    return "alone";
}

auto to_string(const task_ref& task) -> std::string
{
    return task.step.job.str() + "." + std::to_string(task.step.round) + "." +
           std::to_string(task.step.step) + "." + std::to_string(task.index);
}

auto names_same_process(const worker_entry& left, const worker_entry& right)
    -> bool
{
    return left.incarnation == right.incarnation &&
           left.address == right.address;
}

} // namespace pimentoshunt::cell
