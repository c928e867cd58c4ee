/// @file
/// JSON encoding of jobs and their progress, partitioning, and the check
/// whether a job fits on the registered workers.
#include <pimentoshunt/jobs/job_record.hpp>

#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/array.hpp>     // array
#include <boost/json/object.hpp>    // object
#include <boost/json/serialize.hpp> // serialize

#include <algorithm> // min
#include <limits>    // numeric_limits

namespace pimentoshunt::jobs
{
namespace
{

namespace fields = platform::detail;

auto ranges_to_json(const task_set& tasks) -> boost::json::array
{
    boost::json::array out;
    for (const auto& range : tasks.ranges())
    {
        out.push_back(boost::json::array{range.first, range.last});
    }
    return out;
}

auto ranges_from_json(const boost::json::object& from, const char* name)
    -> task_set
{
    task_set out;
    const auto* items = fields::array_of(from, name);
    if (items == nullptr)
    {
        return out;
    }
    for (const auto& item : *items)
    {
        const auto* pair = item.if_array();
        if (pair != nullptr && pair->size() == 2 && (*pair)[0].is_int64() &&
            (*pair)[1].is_int64())
        {
            out.insert(
                task_range{(*pair)[0].get_int64(), (*pair)[1].get_int64()});
        }
    }
    return out;
}

auto parse_state(const std::string& text) -> std::optional<job_state>
{
    for (const auto value : {job_state::active, job_state::succeeded,
                             job_state::failed, job_state::cancelled})
    {
        if (text == to_string(value))
        {
            return value;
        }
    }
    return std::nullopt;
}

auto parse_fault(const std::string& text) -> job_fault
{
    for (const auto value :
         {job_fault::job, job_fault::attempts_used, job_fault::outcome_unknown})
    {
        if (text == to_string(value))
        {
            return value;
        }
    }
    return job_fault::none;
}

auto failures_to_json(const task_failures& item) -> boost::json::object
{
    boost::json::array workers;
    for (const auto& id : item.workers)
    {
        workers.emplace_back(id.str());
    }
    return {{"task", item.task},
            {"count", item.count},
            {"last_exit", item.last_exit},
            {"workers", std::move(workers)}};
}

auto failures_from_json(const boost::json::object& from) -> task_failures
{
    task_failures out;
    out.task = fields::number_of(from, "task");
    out.count = static_cast<int>(fields::number_of(from, "count"));
    out.last_exit = static_cast<int>(fields::number_of(from, "last_exit"));
    const auto* workers = fields::array_of(from, "workers");
    for (std::size_t i = 0; workers != nullptr && i < workers->size(); ++i)
    {
        const auto* name = (*workers)[i].if_string();
        if (name != nullptr)
        {
            out.workers.emplace_back(std::string(*name));
        }
    }
    return out;
}

template<class Parse>
auto for_each_object(const boost::json::object& from, const char* name,
                     Parse&& parse) -> void
{
    const auto* items = fields::array_of(from, name);
    for (std::size_t i = 0; items != nullptr && i < items->size(); ++i)
    {
        const auto* item = (*items)[i].if_object();
        if (item != nullptr)
        {
            parse(*item);
        }
    }
}

/// The number of equal tasks that fit on an empty worker.
auto count_fitting_tasks(const resources& each, const resources& capacity)
    -> std::int64_t
{
    auto room = std::numeric_limits<std::int64_t>::max();
    const auto limit = [&](std::int64_t wanted, std::int64_t offered)
    {
        if (wanted > 0)
        {
            room = std::min(room, offered / wanted);
        }
    };
    limit(each.slots, capacity.slots);
    limit(each.millicpus, capacity.millicpus);
    limit(each.memory_mb, capacity.memory_mb);
    limit(each.accelerators, capacity.accelerators);
    return room;
}

} // namespace

auto to_string(job_state value) -> std::string
{
    switch (value)
    {
    case job_state::active:
        return "active";
    case job_state::succeeded:
        return "succeeded";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        break;
    }
    return "cancelled";
}

auto to_string(job_fault value) -> std::string
{
    switch (value)
    {
    case job_fault::job:
        return "job";
    case job_fault::attempts_used:
        return "attempts_used";
    case job_fault::outcome_unknown:
        return "outcome_unknown";
    case job_fault::none:
        break;
    }
    return "none";
}

auto partition_of(const job_id& id) -> int
{
    // FNV-1a, which is the same in every process and version.
    std::uint64_t digest = 0xcbf29ce484222325;
    for (const char c : id.str())
    {
        digest = (digest ^ static_cast<unsigned char>(c)) * 0x100000001b3;
    }
    return static_cast<int>((digest >> 32) % partition_count);
}

auto partition_name(int partition) -> std::string
{
    return "p" + std::to_string(partition);
}

auto serialize(const job_spec& spec) -> std::string
{
    return boost::json::serialize(
        boost::json::object{{"id", spec.id.str()},
                            {"workspace", spec.workspace.str()},
                            {"workload", spec.workload.str()},
                            {"gang", spec.gang},
                            {"tasks", spec.tasks},
                            {"each", fields::to_json(spec.each)},
                            {"run_ms", spec.run_time.count()},
                            {"idempotent", spec.idempotent},
                            {"max_attempts", spec.max_attempts},
                            {"body", spec.body}});
}

auto parse_job_spec(const std::string& text) -> std::optional<job_spec>
{
    const auto parsed = fields::parse_object(text);
    if (!parsed || fields::number_of(*parsed, "tasks") < 1)
    {
        return std::nullopt;
    }
    job_spec out;
    out.id = job_id(fields::text_of(*parsed, "id"));
    out.workspace = workspace_name(fields::text_of(*parsed, "workspace"));
    out.workload = workload_name(fields::text_of(*parsed, "workload"));
    out.gang = fields::flag_of(*parsed, "gang");
    out.tasks = fields::number_of(*parsed, "tasks");
    out.each = fields::resources_of(*parsed, "each");
    out.run_time = milliseconds(fields::number_of(*parsed, "run_ms"));
    out.idempotent = fields::flag_of(*parsed, "idempotent");
    out.max_attempts =
        static_cast<int>(fields::number_of(*parsed, "max_attempts", 1));
    out.body = fields::text_of(*parsed, "body");
    return out;
}

auto serialize(const job_progress& progress) -> std::string
{
    boost::json::array workers;
    for (const auto& each : progress.workers)
    {
        workers.push_back(
            boost::json::object{{"id", each.id.str()}, {"url", each.url}});
    }
    boost::json::array failures;
    for (const auto& each : progress.failures)
    {
        failures.push_back(failures_to_json(each));
    }
    return boost::json::serialize(
        boost::json::object{{"state", to_string(progress.state)},
                            {"fault", to_string(progress.fault)},
                            {"reason", progress.reason},
                            {"done", ranges_to_json(progress.done)},
                            {"started", ranges_to_json(progress.started)},
                            {"workers", std::move(workers)},
                            {"failures", std::move(failures)}});
}

auto parse_job_progress(const std::string& text) -> std::optional<job_progress>
{
    const auto parsed = fields::parse_object(text);
    const auto state =
        parsed ? parse_state(fields::text_of(*parsed, "state")) : std::nullopt;
    if (!state)
    {
        return std::nullopt;
    }
    job_progress out;
    out.state = *state;
    out.fault = parse_fault(fields::text_of(*parsed, "fault"));
    out.reason = fields::text_of(*parsed, "reason");
    out.done = ranges_from_json(*parsed, "done");
    out.started = ranges_from_json(*parsed, "started");
    for_each_object(*parsed, "workers",
                    [&](const boost::json::object& item)
                    {
                        out.workers.push_back(
                            {worker_id(fields::text_of(item, "id")),
                             fields::text_of(item, "url")});
                    });
    for_each_object(*parsed, "failures",
                    [&](const boost::json::object& item)
                    {
                        out.failures.push_back(failures_from_json(item));
                    });
    return out;
}

auto can_fit(const job_spec& spec, const std::vector<resources>& capacities)
    -> bool
{
    const auto wanted = spec.gang ? spec.tasks : 1;
    std::int64_t room = 0;
    for (const auto& capacity : capacities)
    {
        // Clamped, so that the sum cannot overflow.
        room += std::min(count_fitting_tasks(spec.each, capacity), wanted);
        if (room >= wanted)
        {
            return true;
        }
    }
    return false;
}

} // namespace pimentoshunt::jobs
