/// @file
/// When a call to a peer is given up.
#include <pimentoshunt/net/http_client.hpp>
#include <pimentoshunt/net/response_time.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <optional> // optional

using namespace pimentoshunt;
using net::response_time;

namespace
{

constexpr milliseconds least{200};
constexpr milliseconds most{1'000};
constexpr time_point began{std::chrono::hours(1)};

/// A call that is sent now and given up.
auto lose_one(response_time& times, time_point& now) -> void
{
    const auto sent_at = now;
    now += times.limit(least, most);
    times.unanswered(sent_at, now);
}

} // namespace

Test(response_time, without_an_answer_yet_the_whole_limit_holds)
{
    const response_time times;
    cr_assert_eq(times.limit(least, most).count(), most.count());
}

Test(response_time, a_quick_peer_is_given_up_early_and_never_too_early)
{
    response_time times;
    for (int i = 0; i < 20; ++i)
    {
        times.answered(milliseconds(5));
    }
    cr_assert_eq(times.limit(least, most).count(), least.count());
}

Test(response_time, a_peer_that_has_become_slow_is_waited_for)
{
    response_time times;
    times.answered(milliseconds(5));
    auto now = began;
    lose_one(times, now);
    cr_assert_eq(times.limit(least, most).count(), 2 * least.count());
    lose_one(times, now);
    cr_assert_eq(times.limit(least, most).count(), 4 * least.count());
    for (int i = 0; i < 10; ++i)
    {
        times.answered(milliseconds(240));
    }
    cr_assert(times.limit(least, most) > milliseconds(240));
    for (int i = 0; i < 10; ++i)
    {
        lose_one(times, now);
    }
    cr_assert_eq(times.limit(least, most).count(), most.count());
}

// wischwerk-zh inc-b999: three of eight answers that were lost together
// made the next attempts wait 1 s each, and a takeover as long.
Test(response_time, calls_lost_together_double_the_limit_once)
{
    response_time times;
    times.answered(milliseconds(5));
    for (int i = 0; i < 3; ++i)
    {
        times.unanswered(began, began + least);
    }
    cr_assert_eq(times.limit(least, most).count(), 2 * least.count());
}

// A peer that answers once, then takes calls and says nothing.
Test(response_time, a_call_to_a_peer_gone_silent_ends_before_its_timeout)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    boost::asio::ip::tcp::socket served(context);
    std::string question(1'024, '\0');
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    acceptor.async_accept(served,
                          [&](auto fault)
                          {
                              cr_assert(!fault);
                              served.async_read_some(
                                  boost::asio::buffer(question),
                                  [&](auto broken, std::size_t)
                                  {
                                      cr_assert(!broken);
                                      boost::asio::write(
                                          served, boost::asio::buffer(reply));
                                  });
                          });
    net::http_client client(context, context.get_executor(), {});
    const auto address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const auto call = [&]
    {
        net::http_call request;
        request.method = "GET";
        request.path = "/";
        request.timeout = std::chrono::seconds(3);
        request.min_call_timeout = least;
        std::optional<net::http_exchange> out;
        client.call(address, std::move(request),
                    [&](net::http_exchange answer)
                    {
                        out = std::move(answer);
                    });
        const auto limit = boot_clock::now() + std::chrono::seconds(5);
        while (!out && boot_clock::now() < limit)
        {
            context.restart();
            context.run_one_for(milliseconds(50));
        }
        return out;
    };
    const auto first = call();
    cr_assert(first && first->state == net::exchange_state::answered);
    const auto sent_at = boot_clock::now();
    const auto second = call();
    cr_assert(second && second->state == net::exchange_state::unknown);
    cr_assert(boot_clock::now() - sent_at < std::chrono::seconds(1));
}
