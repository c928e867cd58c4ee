/// @file
/// Settings of an instance: valid ones are read, each fault is reported.
#include <pimentoshunt/cell/settings.hpp>

#include <criterion/criterion.h>

using namespace pimentoshunt;

namespace
{

const std::string required =
    R"("instance":"i1","data_centre":"d1","caller_address":"10.0.0.1:1",)"
    R"("status_address":"10.0.0.1:2","peer_address":"10.0.0.1:3")";

auto with(const std::string& more) -> std::string
{
    return "{" + required + more + "}";
}

} // namespace

Test(cell_settings, complete_settings_have_no_fault)
{
    const auto text = with(R"(,"store_address":"10.0.0.9:4",)"
                           R"("stop_grace_s":2.5,"longest_lease_ms":6000,)"
                           R"("connection_memory_mb":16)");
    cr_assert(cell::check_settings(text).empty());
    const auto read = cell::parse_settings(text);
    cr_assert(static_cast<bool>(read));
    cr_assert_eq(read->stop_grace, milliseconds(2'500));
    cr_assert_eq(read->longest_lease, milliseconds(6'000));
    cr_assert_eq(read->connection_memory_mb, 16u);
    cr_assert(read->approval_address.empty());
    cr_assert(!read->credential_max_age && !read->configuration_max_age);
    const auto bounded = cell::parse_settings(
        with(R"(,"store_address":"10.0.0.9:4","credential_max_age_ms":5000,)"
             R"("configuration_max_age_ms":3000)"));
    cr_assert(static_cast<bool>(bounded));
    cr_assert(bounded->credential_max_age == milliseconds(5'000));
    cr_assert(bounded->configuration_max_age == milliseconds(3'000));
}

Test(cell_settings, a_missing_key_is_named)
{
    const auto faults = cell::check_settings(with(""));
    cr_assert_eq(faults.size(), 1u);
    cr_assert_neq(json::to_string(faults[0]).find("store_address"),
                  std::string::npos);
}

Test(cell_settings, wrong_values_and_unknown_keys_are_faults)
{
    const auto store = std::string(R"(,"store_address":"10.0.0.9:4",)");
    cr_assert_eq(cell::check_settings(with(store + R"("odd":1)")).size(), 1u);
    cr_assert_eq(
        cell::check_settings(with(store + R"("credential_max_age_ms":0)"))
            .size(),
        1u);
    cr_assert_eq(
        cell::check_settings(with(store + R"("stop_grace_s":0)")).size(), 1u);
    cr_assert_eq(
        cell::check_settings(with(store + R"("connection_memory_mb":0)"))
            .size(),
        1u);
    cr_assert_eq(
        cell::check_settings(with(store + R"("log_level":"loud")")).size(), 1u);
    cr_assert_eq(
        cell::check_settings(with(R"(,"store_address":"nowhere")")).size(), 1u);
    cr_assert(!cell::check_settings("{").empty());
}
