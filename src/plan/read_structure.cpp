/// @file
/// Reads the JSON structure of a plan into its typed form.
#include "parse_steps.hpp"

#include <pimentoshunt/json/object_reader.hpp>

#include <boost/json/array.hpp>

#include <algorithm> // all_of
#include <cctype>    // isalnum
#include <chrono>    // hours

namespace pimentoshunt::plan::detail
{
namespace
{

using json::fault_kind;
using json::object_reader;

constexpr std::int64_t max_resource_amount = 1'000'000'000;
constexpr std::int64_t max_gang_tasks = 10'000;
constexpr std::int64_t max_priority = 9;
constexpr std::size_t max_name_length = 64;
constexpr milliseconds min_duration{1};
constexpr milliseconds max_duration = std::chrono::hours(24 * 30);

/// @brief Whether @p text is a valid name. Names become parts of URLs and of
/// table keys, which limits the characters that they may have.
auto is_name(const std::string& text) -> bool
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char letter)
                       {
                           return std::isalnum(letter) != 0 || letter == '-' ||
                                  letter == '_' || letter == '.';
                       });
}

auto read_name(object_reader& reader, const std::string& key) -> std::string
{
    const auto* const found = reader.member(key);
    auto name = reader.text(key, "", true);
    if (found != nullptr && found->is_string() && !is_name(name))
    {
        reader.report_fault(fault_kind::out_of_range, key,
                            "\"" + name + "\" is not a name",
                            "use 1 to 64 letters, digits, '-', '_' and '.'");
    }
    return name;
}

auto read_amounts(const boost::json::value& value, const std::string& pointer,
                  std::int64_t default_slots, std::vector<json::fault>& faults)
    -> resources
{
    object_reader reader(value, pointer, faults);
    resources amounts;
    amounts.slots = reader.integer("slots", {1, max_resource_amount, "slots"},
                                   default_slots);
    amounts.millicpus = reader.integer(
        "millicpus", {0, max_resource_amount, "thousandths of a processor"}, 0);
    amounts.memory_mb =
        reader.integer("memory_mb", {0, max_resource_amount, "MB"}, 0);
    amounts.accelerators = reader.integer(
        "accelerators", {0, max_resource_amount, "accelerators"}, 0);
    reader.reject_unknown();
    return amounts;
}

auto read_workspace(const boost::json::value& value, const std::string& pointer,
                    std::vector<json::fault>& faults) -> workspace
{
    object_reader reader(value, pointer, faults);
    workspace item;
    item.name = workspace_name(read_name(reader, "name"));
    if (const auto* const quota = reader.member("quota"))
    {
        item.quota = read_amounts(*quota, json::child_pointer(pointer, "quota"),
                                  0, faults);
    }
    else if (value.is_object())
    {
        json::add_fault(faults,
                        {fault_kind::missing, pointer, 0,
                         "key \"quota\" is missing",
                         "add \"quota\" with the most that the workspace may "
                         "hold, such as {\"slots\": 64}"});
    }
    reader.reject_unknown();
    return item;
}

auto read_path(object_reader& reader) -> std::string
{
    auto path = reader.text("path", "");
    if (!path.empty() &&
        (path.front() != '/' ||
         path.find_first_of(" \t\r\n?#%") != std::string::npos))
    {
        reader.report_fault(
            fault_kind::out_of_range, "path", "\"" + path + "\" is not a path",
            "begin it with '/', without spaces, '?', '#' and '%'");
    }
    return path;
}

/// Accepts the deprecated key "tenant" in place of "workspace".
auto read_workload(const boost::json::value& value, const std::string& pointer,
                   work_class cls, std::vector<json::fault>& faults) -> workload
{
    object_reader reader(value, pointer, faults);
    workload item;
    item.cls = cls;
    item.name = workload_name(read_name(reader, "name"));
    item.workspace = workspace_name(
        read_name(reader, reader.find_renamed_key("workspace", "tenant")));
    item.each.slots = 1;
    if (const auto* const amounts = reader.member("resources"))
    {
        item.each = read_amounts(
            *amounts, json::child_pointer(pointer, "resources"), 1, faults);
    }
    item.deadline =
        reader.duration("deadline", min_duration, max_duration, item.deadline);
    item.run_time =
        reader.duration("run_time", min_duration, max_duration, item.run_time);
    item.idempotent = reader.boolean("idempotent", item.idempotent);
    item.priority = static_cast<int>(
        reader.integer("priority", {0, max_priority, ""}, item.priority));
    item.path = read_path(reader);
    for (auto& name : reader.texts("depends_on"))
    {
        item.depends_on.emplace_back(std::move(name));
    }
    if (cls == work_class::gang)
    {
        item.tasks = reader.integer("tasks", {1, max_gang_tasks, "tasks"}, 1);
    }
    reader.reject_unknown();
    return item;
}

auto read_workloads(object_reader& root, const std::string& key, work_class cls,
                    parse_state& out) -> void
{
    const auto* const items = root.array(key);
    if (items == nullptr)
    {
        return;
    }
    const auto list_pointer = json::child_pointer(root.pointer(), key);
    for (std::size_t i = 0; i < items->size(); ++i)
    {
        const auto item_pointer =
            json::child_pointer(list_pointer, std::to_string(i));
        out.parsed.workloads.push_back(
            read_workload((*items)[i], item_pointer, cls, out.faults));
        out.workload_pointers.push_back(item_pointer);
    }
}

/// Accepts the deprecated key "tenants" in place of "workspaces".
auto read_workspaces(object_reader& root, parse_state& out) -> void
{
    const auto key = root.find_renamed_key("workspaces", "tenants");
    const auto* const items = root.array(key);
    if (items == nullptr)
    {
        return;
    }
    for (std::size_t i = 0; i < items->size(); ++i)
    {
        const auto item_pointer =
            json::child_pointer("/" + key, std::to_string(i));
        out.parsed.workspaces.push_back(
            read_workspace((*items)[i], item_pointer, out.faults));
        out.workspace_pointers.push_back(item_pointer);
    }
}

} // namespace

auto read_structure(const boost::json::value& root, parse_state& out) -> void
{
    object_reader reader(root, "", out.faults);
    read_workspaces(reader, out);
    read_workloads(reader, "services", work_class::service, out);
    read_workloads(reader, "batch", work_class::batch, out);
    read_workloads(reader, "gangs", work_class::gang, out);
    reader.reject_unknown();
}

} // namespace pimentoshunt::plan::detail
