/// @file
/// Interpretation of the answers of the store and of workers.
#include "platform/gateway.hpp"

#include <criterion/criterion.h>

#include <string>
#include <utility>

using namespace pimentoshunt;
using adapter::commit_result_of;
using adapter::heartbeat_answer_of;
using adapter::reading_of;
using cell::commit_state;

namespace
{

auto answered(int status, std::string body) -> net::http_exchange
{
    net::http_exchange out;
    out.state = net::exchange_state::answered;
    out.status = status;
    out.body = std::move(body);
    return out;
}

} // namespace

Test(platform_gateway, a_committed_transaction_has_a_version)
{
    const auto done = commit_result_of(answered(200, R"({"ver":7})"));
    cr_assert(done.state == commit_state::committed);
    cr_assert_eq(done.version, 7u);
    const auto refused = commit_result_of(answered(
        412,
        R"({"ver":7,"rows":[{"table":"t","part":"p","key":"k","ver":5}]})"));
    cr_assert(refused.state == commit_state::conflict);
    cr_assert_eq(refused.current.size(), 1u);
    cr_assert_eq(refused.current.front().version, 5u);
}

// With version 0 later writes would require that the row does not exist.
Test(platform_gateway, a_commit_without_a_version_is_unknown)
{
    for (const std::string body : {"", "{", "{}", "[]", R"({"ver":"x"})"})
    {
        cr_assert(commit_result_of(answered(200, body)).state ==
                      commit_state::unknown,
                  "%s", body.c_str());
    }
}

// Only some error statuses tell that nothing was written.
Test(platform_gateway, other_statuses_are_not_committed_or_unknown)
{
    for (const int status : {400, 403, 429, 503, 507})
    {
        cr_assert(commit_result_of(answered(status, "")).state ==
                      commit_state::not_committed,
                  "%d", status);
    }
    for (const int status : {500, 502, 504})
    {
        cr_assert(commit_result_of(answered(status, "")).state ==
                      commit_state::unknown,
                  "%d", status);
    }
}

// A worker that has ended is known by the refusal of the one that answers in its
// place; other failures show nothing of the kind.
Test(platform_gateway, only_a_refusal_by_another_worker_shows_a_replaced_one)
{
    cr_assert(heartbeat_answer_of(answered(421, "{}")).replaced);
    for (const int status : {200, 400, 404, 409, 429, 500, 503})
    {
        const auto read = heartbeat_answer_of(answered(status, "{}"));
        cr_assert(!read.replaced, "%d", status);
        cr_assert(!read.connection_lost, "%d", status);
    }
    net::http_exchange lost;
    lost.state = net::exchange_state::unknown;
    lost.connection_lost = true;
    cr_assert(heartbeat_answer_of(lost).connection_lost);
    cr_assert(!heartbeat_answer_of(lost).replaced);
    cr_assert(!heartbeat_answer_of(net::http_exchange{}).connection_lost);
}

// Guards against the clock of another worker, at the address of one that has
// ended, as the time by which its leases count.
Test(platform_gateway, a_refusal_by_another_worker_is_no_reading)
{
    const std::string body = R"({"clockMs":12,"born":34})";
    for (const int status : {200, 409, 429, 503})
    {
        const auto read = reading_of(answered(status, body));
        cr_assert(read.has_value(), "%d", status);
        cr_assert_eq(read->clock.count(), 12);
        cr_assert_eq(read->incarnation.time_since_epoch().count(), 34);
    }
    cr_assert(!reading_of(answered(421, body)));
    cr_assert(!reading_of(net::http_exchange{}));
    const auto unnamed = reading_of(answered(200, R"({"clockMs":12})"));
    cr_assert(unnamed->incarnation == cell::calendar_time{});
}
