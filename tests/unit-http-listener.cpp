/// @file
/// http_listener over real sockets: keep-alive, stopping with idle connections,
/// and the error for an address in use.
#include <pimentoshunt/entry/http_listener.hpp>

#include "support/port_allocator.hpp"

#include <criterion/criterion.h>

#include <string> // string

using namespace pimentoshunt;
using entry::http_listener;

namespace
{

/// A started listener that returns the body of each request.
struct echo_server_fixture
{
    http_listener listener{entry::listener_limits{}};
    int port = testing::free_port();

    echo_server_fixture()
    {
        listener.server().Post(
            "/echo",
            [](const httplib::Request& request, httplib::Response& response)
            {
                response.set_content(request.body, "text/plain");
            });
        const bool started = handle(
            [&]() -> result<bool>
            {
                BOOST_LEAF_CHECK(listener.start("127.0.0.1", port));
                return true;
            },
            [](const error&)
            {
                return false;
            });
        cr_assert(started);
    }
};

} // namespace

Test(http_listener, serves_many_requests_over_one_connection)
{
    echo_server_fixture c;
    httplib::Client client("127.0.0.1", c.port);
    client.set_keep_alive(true);
    for (std::size_t size = 1; size <= 1u << 21; size *= 8)
    {
        const std::string body(size, static_cast<char>('a' + size % 26));
        const auto answer = client.Post("/echo", body, "text/plain");
        cr_assert(answer && answer->body == body, "%zu bytes", size);
    }
}

Test(http_listener, stops_while_a_connection_is_idle)
{
    echo_server_fixture c;
    httplib::Client client("127.0.0.1", c.port);
    client.set_keep_alive(true);
    cr_assert(client.Post("/echo", "x", "text/plain")->status == 200);
    const auto begun = boot_clock::now();
    c.listener.stop();
    // Stopping must not wait for the keep-alive timeout of 5 s.
    cr_assert(boot_clock::now() - begun < std::chrono::seconds(3));
}

Test(http_listener, refuses_an_address_in_use_with_a_remedy)
{
    echo_server_fixture c;
    http_listener second{entry::listener_limits{}};
    const auto id = handle(
        [&]() -> result<int>
        {
            BOOST_LEAF_CHECK(second.start("127.0.0.1", c.port));
            return 0;
        },
        [](const error& fault)
        {
            return fault.id;
        });
    cr_assert(id == 110);
}
