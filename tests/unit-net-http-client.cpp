/// @file
/// Tests of what a failed call tells: a peer that is gone, or one that is silent.
#include <pimentoshunt/net/http_client.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <criterion/criterion.h>

#include <optional> // optional
#include <string>   // string, to_string

using namespace pimentoshunt;
using boost::asio::ip::tcp;

namespace
{

/// An acceptor on the loopback address, and a client that calls it.
struct client_fixture
{
    boost::asio::io_context context;
    tcp::acceptor acceptor{
        context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    net::http_client client{context, context.get_executor(), {}};
    unsigned short port = acceptor.local_endpoint().port();
    std::optional<net::http_exchange> result;

    auto call() -> void
    {
        net::http_call request;
        request.method = "GET";
        request.path = "/";
        request.timeout = milliseconds(300);
        client.call("127.0.0.1:" + std::to_string(port), request,
                    [this](net::http_exchange answer)
                    {
                        result = std::move(answer);
                    });
    }

    auto run() -> const net::http_exchange&
    {
        const auto limit = boot_clock::now() + std::chrono::seconds(5);
        while (!result && boot_clock::now() < limit)
        {
            context.restart();
            context.run_for(milliseconds(10));
        }
        cr_assert(result.has_value());
        return *result;
    }
};

} // namespace

Test(net_http_client, a_refused_connection_is_lost)
{
    client_fixture fixture;
    fixture.call();
    fixture.acceptor.close();
    const auto& answer = fixture.run();
    cr_assert(answer.connection_lost);
    cr_assert(answer.state != net::exchange_state::answered);
}

Test(net_http_client, a_connection_that_is_closed_before_the_answer_is_lost)
{
    client_fixture fixture;
    fixture.call();
    fixture.acceptor.async_accept(
        [](boost::system::error_code, tcp::socket accepted)
        {
            accepted.close();
        });
    cr_assert(fixture.run().connection_lost);
}

Test(net_http_client, a_silent_peer_has_not_lost_its_connection)
{
    client_fixture fixture;
    std::optional<tcp::socket> kept;
    fixture.acceptor.async_accept(
        [&](boost::system::error_code, tcp::socket accepted)
        {
            kept = std::move(accepted);
        });
    fixture.call();
    const auto& answer = fixture.run();
    cr_assert(answer.state == net::exchange_state::unknown);
    cr_assert(!answer.connection_lost);
}
