/// @file
/// Tests of storing plans: revisions, conflicts, and replies or requests that
/// are lost.
#include <pimentoshunt/plan/plan_store.hpp>

#include "fakes/fake_platform.hpp"

#include <criterion/criterion.h>

#include <atomic> // atomic
#include <string> // string
#include <thread> // thread
#include <vector> // vector

using pimentoshunt::error;
using pimentoshunt::handle;
using pimentoshunt::result;
using pimentoshunt::tests::fake_platform;
namespace plan = pimentoshunt::plan;
using plan_store = plan::plan_store<fake_platform>;

namespace
{

/// Returns the new revision, or the negated error id.
auto submit(plan_store& to, const std::string& text, std::uint64_t based_on)
    -> std::int64_t
{
    return handle(
        [&]() -> result<std::int64_t>
        {
            BOOST_LEAF_AUTO(revision, to.submit({text, based_on, "op"}));
            return static_cast<std::int64_t>(revision);
        },
        [](const error& e) -> std::int64_t
        {
            return -e.id;
        });
}

auto text_of(result<std::optional<plan::stored_plan>> found) -> std::string
{
    return found && *found ? (**found).text : "";
}

} // namespace

Test(plan_store, accepted_text_is_read_back_with_its_history)
{
    fake_platform table;
    plan_store first(table, "i1#1");
    plan_store second(table, "i2#1");
    cr_assert(submit(first, "one", 0) == 1);
    cr_assert(submit(second, "two", 1) == 2);
    cr_assert(text_of(first.read()) == "two");
    cr_assert(text_of(first.read(1)) == "one");
    cr_assert(text_of(first.read(7)).empty());
}

Test(plan_store, stale_text_is_refused_with_both_revisions)
{
    fake_platform table;
    plan_store first(table, "i1#1");
    cr_assert(submit(first, "one", 0) == 1);
    cr_assert(submit(first, "two", 1) == 2);
    const auto message = handle(
        [&]() -> result<std::string>
        {
            BOOST_LEAF_CHECK(first.submit({"late", 1, "op"}));
            return std::string();
        },
        [](const error& e)
        {
            return e.message();
        });
    cr_assert(message.find("revision 1") != std::string::npos);
    cr_assert(message.find("revision 2") != std::string::npos);
    cr_assert(text_of(first.read()) == "two");
}

Test(plan_store, long_text_goes_to_the_object_store)
{
    fake_platform table;
    plan_store first(table, "i1#1");
    const std::string text(plan::max_inline_text_bytes + 1, 'x');
    cr_assert(submit(first, text, 0) == 1);
    cr_assert(text_of(first.read()) == text);
    cr_assert(table.read("plan/current").value()->value.size() < 1'000);
}

Test(plan_store, lost_reply_is_resolved_and_lost_request_is_unknown)
{
    fake_platform table;
    plan_store first(table, "i1#1");
    table.lose_replies(1);
    cr_assert(submit(first, "one", 0) == 1);
    table.lose_requests(1);
    cr_assert(submit(first, "two", 1) == -plan::submission_outcome_unknown);
    table.set_down(true);
    cr_assert(submit(first, "two", 1) < 0);
    table.set_down(false);
    cr_assert(text_of(first.read()) == "one");
}

Test(plan_store, one_of_several_concurrent_submissions_is_accepted)
{
    fake_platform table;
    std::atomic<int> accepted{0};
    std::vector<std::thread> operators;
    operators.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        operators.emplace_back(
            [&, i]
            {
                plan_store mine(table, "i" + std::to_string(i));
                const auto done = submit(mine, std::to_string(i), 0);
                accepted += done == 1 ? 1 : 0;
            });
    }
    for (auto& each : operators)
    {
        each.join();
    }
    cr_assert(accepted == 1);
}
