/// @file
/// Keys of workspaces: digests, and configurations that list odd keys or limits.
#include "platform/wire.hpp"

#include <pimentoshunt/cell/credentials.hpp>

#include <criterion/criterion.h>

using namespace pimentoshunt;

namespace
{

auto configuration_with(const std::string& workspaces) -> cell::configuration
{
    return adapter::decode_configuration(
               R"({"version":1,"routes":[],"tenants":)" + workspaces + "}")
        .value();
}

auto owner_of(const cell::configuration& in_force, const std::string& key)
    -> std::string
{
    const auto digest = cell::digest_of(key);
    const auto* const found =
        digest ? cell::find_key_owner(in_force, *digest) : nullptr;
    return found == nullptr ? "" : found->name.str();
}

} // namespace

// Guards against a key that is accepted for the wrong workspace, or for any.
Test(cell_credentials, a_key_belongs_to_the_workspace_that_lists_it)
{
    const auto in_force = configuration_with(
        R"([{"name":"a","apiKeys":["one","two","one"]},{"name":"b","apiKeys":["three"]}])");
    cr_assert_eq(owner_of(in_force, "two"), "a");
    cr_assert_eq(owner_of(in_force, "three"), "b");
    cr_assert_eq(owner_of(in_force, "four"), "");
    cr_assert_eq(owner_of(in_force, ""), "");
    cr_assert_eq(owner_of(in_force, std::string(16'384, 'x')), "");
    cr_assert_eq(in_force.workspaces[0].keys.size(), 2);
}

// Guards against callers of one workspace who are served as another one.
Test(cell_credentials, a_key_of_two_workspaces_belongs_to_neither)
{
    const auto in_force = configuration_with(
        R"([{"name":"a","apiKeys":["same","own"]},{"name":"b","apiKeys":["same"]}])");
    cr_assert_eq(owner_of(in_force, "same"), "");
    cr_assert_eq(owner_of(in_force, "own"), "a");
}

// Guards against a configuration that is refused, or loses a workspace, for one
// odd value.
Test(cell_credentials, odd_values_leave_the_rest_in_force)
{
    const auto in_force = configuration_with(
        R"([{"name":"a","apiKeys":["",5,null,"k"],"weight":-1,)"
        R"("maxCount":{"cpu":-4}},7,{"apiKeys":["z"]},)"
        R"({"name":"a","apiKeys":["w"]},)"
        R"({"name":"b","weight":2.5,"maxCount":{"cpu":240000}}])");
    cr_assert_eq(in_force.workspaces.size(), 2);
    cr_assert_eq(owner_of(in_force, "k"), "a");
    cr_assert_eq(owner_of(in_force, "z"), "");
    cr_assert_eq(owner_of(in_force, "w"), "");
    cr_assert_eq(in_force.workspaces[0].weight, 1.0);
    cr_assert_eq(in_force.workspaces[0].limit, resources{});
    const auto* const second = in_force.find_workspace(workspace_name("b"));
    cr_assert_not_null(second);
    cr_assert_eq(second->weight, 2.5);
    cr_assert_eq(second->limit.millicpus, 240'000);
}

// Guards against a configuration that needs no keys once its last workspace is
// removed.
Test(cell_credentials, an_empty_list_of_workspaces_still_requires_keys)
{
    cr_assert(configuration_with("[]").requires_keys);
    cr_assert_not(adapter::decode_configuration(R"({"version":1,"routes":[]})")
                      ->requires_keys);
}

// Guards against callers who are served by a header that intermediaries and the
// cell read differently.
Test(cell_credentials, only_one_well_formed_header_gives_a_key)
{
    const auto key = cell::digest_of("k-1");
    cr_assert(cell::caller_key_of({"Bearer k-1"}) == key);
    cr_assert(cell::caller_key_of({"bearer  k-1"}) == key);
    for (const std::vector<std::string>& odd :
         std::vector<std::vector<std::string>>{
             {},
             {""},
             {"Bearer"},
             {"Bearer "},
             {"k-1"},
             {"Basic k-1"},
             {"Bearerk-1"},
             {"Bearer\tk-1"},
             {"Bearer k-1, Bearer k-1"},
             {"Bearer k-1\x01"},
             {"Bearer " + std::string(1'025, 'k')},
             {"Bearer k-1", "Bearer k-1"}})
    {
        cr_assert(!cell::caller_key_of(odd));
    }
}
