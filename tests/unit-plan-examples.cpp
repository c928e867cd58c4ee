/// @file
/// Checks that the examples of the documentation are valid. Reads the files
/// relative to the root of the repository.
#include <pimentoshunt/plan/parse.hpp>
#include <pimentoshunt/settings.hpp>

#include <criterion/criterion.h>

#include <fstream>  // ifstream
#include <iterator> // istreambuf_iterator
#include <string>   // string

using pimentoshunt::resources;
using pimentoshunt::json::to_string;

namespace
{

auto read_example(const std::string& name) -> std::string
{
    std::ifstream file("docs/examples/" + name);
    cr_assert(file.good(), "run from the root of the repository");
    return {std::istreambuf_iterator<char>(file), {}};
}

auto check_plan(const std::string& name, const resources& worker) -> void
{
    for (const auto& item :
         pimentoshunt::plan::check(read_example(name), {worker}))
    {
        cr_assert(false, "%s: %s", name.c_str(), to_string(item).c_str());
    }
}

} // namespace

Test(examples, plans_are_valid_on_the_workers_of_their_deployments)
{
    check_plan("wischwerk.json", {8, 16'000, 64'000, 0});
    check_plan("oppskriftskort.json", {8, 64'000, 256'000, 0});
}

Test(examples, settings_are_valid)
{
    const auto text = read_example("settings.json");
    for (const auto& item : pimentoshunt::check_settings(text))
    {
        cr_assert(false, "%s", to_string(item).c_str());
    }
}
