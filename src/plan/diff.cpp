/// @file
/// Compares plans as sorted lists of items with key-value pairs.
#include <pimentoshunt/plan/diff.hpp>

#include <pimentoshunt/plan/parse.hpp>

#include <map>     // map
#include <utility> // move

namespace pimentoshunt::plan
{
namespace
{

/// @brief One key of an item and its value as text.
struct field_text
{
    std::string key;
    std::string value;
};

/// @brief A workspace or workload as a list of key-value pairs.
struct comparable_item
{
    std::string item_type;
    std::string name;
    /// Items of the same type have the same keys in the same order.
    std::vector<field_text> fields;
};

using items_by_key = std::map<std::string, comparable_item>;

auto add_amounts(std::vector<field_text>& fields, const std::string& key,
                 const resources& amounts) -> void
{
    fields.push_back({key + ".slots", std::to_string(amounts.slots)});
    fields.push_back({key + ".millicpus", std::to_string(amounts.millicpus)});
    fields.push_back({key + ".memory_mb", std::to_string(amounts.memory_mb)});
    fields.push_back(
        {key + ".accelerators", std::to_string(amounts.accelerators)});
}

auto joined(const std::vector<workload_name>& names) -> std::string
{
    std::string text;
    for (const auto& name : names)
    {
        text += (text.empty() ? "" : ", ") + name.str();
    }
    return "[" + text + "]";
}

auto flatten(const workspace& item) -> comparable_item
{
    comparable_item flat{"workspace", item.name.str(), {}};
    add_amounts(flat.fields, "quota", item.quota);
    return flat;
}

auto flatten(const workload& item) -> comparable_item
{
    comparable_item flat{to_string(item.cls), item.name.str(), {}};
    auto& fields = flat.fields;
    fields.push_back({"workspace", item.workspace.str()});
    add_amounts(fields, "resources", item.each);
    fields.push_back({"tasks", std::to_string(item.tasks)});
    fields.push_back({"deadline_ms", std::to_string(item.deadline.count())});
    fields.push_back({"run_time_ms", std::to_string(item.run_time.count())});
    fields.push_back({"idempotent", item.idempotent ? "true" : "false"});
    fields.push_back({"priority", std::to_string(item.priority)});
    fields.push_back({"path", "\"" + item.path + "\""});
    fields.push_back({"depends_on", joined(item.depends_on)});
    return flat;
}

auto flatten(const document& plan) -> items_by_key
{
    items_by_key items;
    for (const auto& item : plan.workspaces)
    {
        auto flat = flatten(item);
        items.emplace(flat.item_type + " " + flat.name, std::move(flat));
    }
    for (const auto& item : plan.workloads)
    {
        auto flat = flatten(item);
        items.emplace(flat.item_type + " " + flat.name, std::move(flat));
    }
    return items;
}

auto compare(const comparable_item& before, const comparable_item& after,
             std::vector<plan_change>& changes) -> void
{
    for (std::size_t i = 0; i < before.fields.size(); ++i)
    {
        const auto& was = before.fields[i];
        const auto& is = after.fields[i];
        if (was.value != is.value)
        {
            changes.push_back({change_kind::changed, before.item_type,
                               before.name, was.key, was.value, is.value});
        }
    }
}

auto parsed_or_empty(const std::string& text) -> document
{
    return handle(
        [&]
        {
            return parse(text);
        },
        [](const error&)
        {
            return document();
        });
}

} // namespace

auto to_string(const plan_change& item) -> std::string
{
    const auto what = item.item_type + " " + item.name;
    switch (item.kind)
    {
    case change_kind::added:
        return "added " + what;
    case change_kind::removed:
        return "removed " + what;
    case change_kind::changed:
        break;
    }
    return "changed " + what + ": " + item.field + " " + item.before + " -> " +
           item.after;
}

auto diff(const document& before, const document& after)
    -> std::vector<plan_change>
{
    std::vector<plan_change> changes;
    const auto old_items = flatten(before);
    const auto new_items = flatten(after);
    for (const auto& [key, item] : old_items)
    {
        const auto found = new_items.find(key);
        if (found == new_items.end())
        {
            changes.push_back(
                {change_kind::removed, item.item_type, item.name, "", "", ""});
            continue;
        }
        compare(item, found->second, changes);
    }
    for (const auto& [key, item] : new_items)
    {
        if (old_items.count(key) == 0)
        {
            changes.push_back(
                {change_kind::added, item.item_type, item.name, "", "", ""});
        }
    }
    return changes;
}

auto diff(const std::string& before, const std::string& after)
    -> std::vector<plan_change>
{
    return diff(parsed_or_empty(before), parsed_or_empty(after));
}

} // namespace pimentoshunt::plan
