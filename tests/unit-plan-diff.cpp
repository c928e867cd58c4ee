/// @file
/// Tests of the comparison of plans.
#include <pimentoshunt/plan/diff.hpp>

#include <criterion/criterion.h>

#include <string> // string
#include <vector> // vector

using pimentoshunt::plan::diff;
using pimentoshunt::plan::to_string;

namespace
{

const std::string before = R"({
"workspaces": [{"name": "t", "quota": {"slots": 8}}],
"services": [{"name": "a", "workspace": "t", "deadline_ms": 2000},
             {"name": "b", "workspace": "t"}]})";

} // namespace

Test(plan_diff, names_the_items_and_keys_that_differ)
{
    const std::string after = R"({
"workspaces": [{"name": "t", "quota": {"slots": 16}}],
"services": [{"name": "a", "workspace": "t", "deadline_ms": 3000,
              "depends_on": ["c"]}],
"batch": [{"name": "c", "workspace": "t"}]})";
    std::vector<std::string> lines;
    for (const auto& change : diff(before, after))
    {
        lines.push_back(to_string(change));
    }
    const std::vector<std::string> expected = {
        "changed service a: deadline_ms 2000 -> 3000",
        "changed service a: depends_on [] -> [c]",
        "removed service b",
        "changed workspace t: quota.slots 8 -> 16",
        "added batch c",
    };
    cr_assert(lines == expected);
}

Test(plan_diff, order_and_defaults_make_no_difference)
{
    const std::string same = R"({
"services": [{"name": "b", "workspace": "t", "priority": 0},
             {"name": "a", "workspace": "t", "deadline_ms": 2000,
              "resources": {"slots": 1}}],
"workspaces": [{"name": "t", "quota": {"slots": 8}}]})";
    cr_assert(diff(before, same).empty());
    cr_assert(diff("", before).size() == 3);
}
