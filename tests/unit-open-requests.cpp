/// @file
/// open_requests: cancellation of queued and running requests by their id.
#include <pimentoshunt/entry/open_requests.hpp>

#include <criterion/criterion.h>

#include <variant> // get

using namespace pimentoshunt;

namespace
{

auto some_grant() -> entry::grant
{
    entry::grant item;
    item.attempt = attempt_id("i1-1-1");
    return item;
}

} // namespace

Test(open_requests, a_waiting_request_is_refused_at_once)
{
    entry::open_requests all;
    const entry::open_request_guard opened(all, "a");
    const auto item = std::make_shared<entry::queued_request>(
        1, nullptr, nullptr, time_point{}, time_point{});
    cr_assert(opened.request().begin_waiting(item));
    const auto found = all.cancel("a");
    cr_expect_eq(found.requests, 1u);
    cr_expect(found.running.empty());
    const auto placement = item->wait_until(boot_clock::now());
    cr_assert(placement.has_value());
    cr_expect(std::get<entry::refusal>(*placement).reason ==
              entry::refusal_reason::cancelled);
    // A grant that arrives now is not accepted, so that another request gets
    // the worker.
    cr_expect(!item->resolve(some_grant()));
}

Test(open_requests, nothing_is_sent_once_cancelled)
{
    entry::open_requests all;
    const entry::open_request_guard opened(all, "a");
    cr_expect_eq(all.cancel("a").requests, 1u);
    cr_expect(!opened.request().begin(some_grant()));
    cr_expect(all.cancel("a").running.empty());
}

Test(open_requests, a_running_attempt_is_returned_until_it_ends)
{
    entry::open_requests all;
    const entry::open_request_guard first(all, "a");
    const entry::open_request_guard second(all, "a");
    cr_expect(first.request().begin(some_grant()));
    const auto found = all.cancel("a");
    cr_expect_eq(found.requests, 2u);
    cr_assert_eq(found.running.size(), 1u);
    cr_expect(found.running[0].attempt == attempt_id("i1-1-1"));
    first.request().end();
    cr_expect(all.cancel("a").running.empty());
}

Test(open_requests, an_answered_request_is_removed)
{
    entry::open_requests all;
    {
        const entry::open_request_guard opened(all, "a");
    }
    cr_expect_eq(all.cancel("a").requests, 0u);
}
