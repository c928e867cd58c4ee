/// @file
/// Tests of parsing and validating plans.
#include <pimentoshunt/plan/parse.hpp>

#include <criterion/criterion.h>

#include <algorithm> // any_of
#include <chrono>    // milliseconds
#include <string>    // string

using pimentoshunt::milliseconds;
using pimentoshunt::workload_name;
using pimentoshunt::json::fault_kind;
using pimentoshunt::json::max_faults;
using pimentoshunt::plan::check;
using pimentoshunt::plan::max_plan_bytes;
using pimentoshunt::plan::parse;
using pimentoshunt::plan::plan_fault;
using pimentoshunt::plan::work_class;

namespace
{

const std::string valid = R"({
  "workspaces": [
    {"name": "desk", "quota": {"slots": 16, "millicpus": 16000,
                               "memory_mb": 4096}}
  ],
  "services": [
    {"name": "booking", "workspace": "desk", "path": "/booking",
     "resources": {"slots": 1, "millicpus": 500, "memory_mb": 256},
     "deadline_ms": 2000, "idempotent": false, "priority": 7}
  ],
  "gangs": [
    {"name": "plates", "workspace": "desk", "tasks": 8,
     "depends_on": ["booking"]}
  ]
})";

auto has(const std::vector<plan_fault>& faults, fault_kind kind,
         const std::string& pointer, std::size_t line) -> bool
{
    return std::any_of(faults.begin(), faults.end(),
                       [&](const plan_fault& item)
                       {
                           return item.kind == kind &&
                                  item.pointer == pointer &&
                                  item.line == line && !item.message.empty() &&
                                  !item.remedy.empty();
                       });
}

} // namespace

// The previous release called workspaces "tenants". Its plans must stay
// readable for one release, or an upgrade would reject the stored plan.
Test(plan, deprecated_workspace_keys_are_read_for_one_release)
{
    auto earlier = valid;
    for (std::size_t at = 0;
         (at = earlier.find("\"workspace", at)) != std::string::npos;)
    {
        earlier.replace(at, std::string("\"workspace").size(), "\"tenant");
    }
    cr_assert(check(earlier).empty());
    const auto read = parse(earlier);
    cr_assert(read);
    cr_assert_eq(read->workspaces.size(), 1u);
    const auto* const booking = read->find(workload_name("booking"));
    cr_assert(booking != nullptr);
    cr_assert_eq(booking->workspace.str(), "desk");
}

Test(plan, both_keys_at_once_are_a_fault)
{
    const auto faults = check(R"({"workspaces": [], "tenants": []})");
    cr_assert(has(faults, fault_kind::unknown_key, "/tenants", 1));
}

Test(plan, reads_a_valid_plan)
{
    cr_assert(check(valid).empty());
    const auto read = parse(valid);
    cr_assert(read);
    const auto* const booking = read->find(workload_name("booking"));
    cr_assert(booking != nullptr);
    cr_assert(booking->cls == work_class::service);
    cr_assert(booking->deadline == milliseconds(2000));
    cr_assert(booking->each.millicpus == 500);
    const auto* const plates = read->find(workload_name("plates"));
    cr_assert(plates->tasks == 8);
    cr_assert(plates->each.slots == 1);
}

Test(plan, reports_all_structural_faults_with_their_lines)
{
    const auto faults = check(R"({
  "workspaces": [{"name": "a b", "quota": {"slots": 4}}],
  "services": [
    {"name": "s", "workspace": "a b",
     "priority": 10,
     "deadline_ms": "2s",
     "colour": 1,
     "name": "s"},
    5
  ],
  "extra": {}
})");
    cr_assert(has(faults, fault_kind::out_of_range, "/workspaces/0/name", 2));
    cr_assert(has(faults, fault_kind::out_of_range, "/services/0/priority", 5));
    cr_assert(
        has(faults, fault_kind::wrong_type, "/services/0/deadline_ms", 6));
    cr_assert(has(faults, fault_kind::unknown_key, "/services/0/colour", 7));
    cr_assert(has(faults, fault_kind::duplicate, "/services/0/name", 8));
    cr_assert(has(faults, fault_kind::wrong_type, "/services/1", 9));
    cr_assert(has(faults, fault_kind::unknown_key, "/extra", 11));
}

Test(plan, reports_all_semantic_faults)
{
    const auto faults = check(R"({
  "workspaces": [{"name": "t", "quota": {"slots": 4}}],
  "services": [
    {"name": "s", "workspace": "u"},
    {"name": "s", "workspace": "t", "depends_on": ["none"]}
  ],
  "gangs": [
    {"name": "g", "workspace": "t", "tasks": 8}
  ]
})");
    cr_assert(
        has(faults, fault_kind::unknown_name, "/services/0/workspace", 4));
    cr_assert(has(faults, fault_kind::duplicate, "/services/1/name", 5));
    cr_assert(
        has(faults, fault_kind::unknown_name, "/services/1/depends_on/0", 5));
    // The gang has no "resources" key, so the fault is reported at the
    // gang's own line.
    cr_assert(
        has(faults, fault_kind::quota_too_small, "/gangs/0/resources", 8));
    cr_assert(faults.size() == 4);
}

Test(plan, names_the_workloads_of_a_cycle)
{
    const auto faults = check(R"({
  "workspaces": [{"name": "t", "quota": {"slots": 4}}],
  "batch": [
    {"name": "x", "workspace": "t", "depends_on": ["a"]},
    {"name": "a", "workspace": "t", "depends_on": ["b"]},
    {"name": "b", "workspace": "t", "depends_on": ["a"]}
  ]
})");
    cr_assert(faults.size() == 1);
    cr_assert(faults[0].kind == fault_kind::cycle);
    cr_assert(faults[0].line == 5);
    cr_assert(faults[0].message.find("a -> b -> a") != std::string::npos);
}

Test(plan, reports_tasks_that_fit_no_worker)
{
    const std::string text = R"({
  "workspaces": [{"name": "t", "quota": {"slots": 9, "memory_mb": 900}}],
  "batch": [{"name": "a", "workspace": "t",
             "resources": {"slots": 2, "memory_mb": 500}}]
})";
    cr_assert(check(text, {{8, 100, 400, 0}, {2, 0, 500, 0}}).empty());
    const auto faults = check(text, {{8, 100, 400, 0}, {1, 0, 500, 0}});
    cr_assert(faults.size() == 1);
    cr_assert(has(faults, fault_kind::fits_no_worker, "/batch/0/resources", 4));
}

Test(plan, bounds_the_number_of_faults)
{
    std::string text = "{\"services\": [0";
    for (int i = 0; i < 100'000; ++i)
    {
        text += ",0";
    }
    cr_assert(check(text + "]}").size() == max_faults);
}

Test(plan, rejects_malformed_input)
{
    cr_assert(
        has(check("{\n\"a\":\n\"\xc3\x28\"}"), fault_kind::syntax, "", 3));
    cr_assert(check(std::string(100'000, '['))[0].kind == fault_kind::syntax);
    cr_assert(check(std::string(max_plan_bytes + 1, ' '))[0].kind ==
              fault_kind::too_large);
    cr_assert(!check("").empty());
    cr_assert(!check("null").empty());
    cr_assert(!parse("{"));
}
