/// @file
/// timeout_estimator, and its use by http_client over real sockets.
#include <pimentoshunt/net/http_client.hpp>
#include <pimentoshunt/net/timeout_estimator.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <optional> // optional

using namespace pimentoshunt;
using net::timeout_estimator;

namespace
{

constexpr milliseconds shortest_timeout{200};
constexpr milliseconds longest_timeout{1'000};
constexpr time_point began{std::chrono::hours(1)};

/// Sends a call at @p now and lets it time out.
auto time_out_call(timeout_estimator& times, time_point& now) -> void
{
    const auto sent_at = now;
    now += times.current_timeout(shortest_timeout, longest_timeout);
    times.record_timeout(sent_at, now);
}

} // namespace

Test(timeout_estimator, without_a_response_yet_the_upper_bound_holds)
{
    const timeout_estimator times;
    cr_assert_eq(
        times.current_timeout(shortest_timeout, longest_timeout).count(),
        longest_timeout.count());
}

Test(timeout_estimator, a_fast_peer_times_out_at_the_lower_bound)
{
    timeout_estimator times;
    for (int i = 0; i < 20; ++i)
    {
        times.record_response(milliseconds(5));
    }
    cr_assert_eq(
        times.current_timeout(shortest_timeout, longest_timeout).count(),
        shortest_timeout.count());
}

Test(timeout_estimator, the_timeout_adapts_to_a_peer_that_has_become_slow)
{
    timeout_estimator times;
    times.record_response(milliseconds(5));
    auto now = began;
    time_out_call(times, now);
    cr_assert_eq(
        times.current_timeout(shortest_timeout, longest_timeout).count(),
        2 * shortest_timeout.count());
    time_out_call(times, now);
    cr_assert_eq(
        times.current_timeout(shortest_timeout, longest_timeout).count(),
        4 * shortest_timeout.count());
    for (int i = 0; i < 10; ++i)
    {
        times.record_response(milliseconds(240));
    }
    cr_assert(times.current_timeout(shortest_timeout, longest_timeout) >
              milliseconds(240));
    for (int i = 0; i < 10; ++i)
    {
        time_out_call(times, now);
    }
    cr_assert_eq(
        times.current_timeout(shortest_timeout, longest_timeout).count(),
        longest_timeout.count());
}

// Guards against doubling the timeout once for each of several calls that were
// lost together: three of eight lost answers made the next attempts, and a
// takeover, wait 1 s each (wischwerk-zh inc-b999).
Test(timeout_estimator, calls_lost_together_double_the_timeout_once)
{
    timeout_estimator times;
    times.record_response(milliseconds(5));
    for (int i = 0; i < 3; ++i)
    {
        times.record_timeout(began, began + shortest_timeout);
    }
    cr_assert_eq(
        times.current_timeout(shortest_timeout, longest_timeout).count(),
        2 * shortest_timeout.count());
}

// The peer answers one call, then accepts calls without answering.
Test(timeout_estimator, a_call_to_a_silent_peer_ends_before_its_own_timeout)
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
        request.min_call_timeout = shortest_timeout;
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
