/// @file
/// Tests of what a failed call tells: a peer that is gone, one that is silent, or
/// one whose answer is too large.
#include <pimentoshunt/net/http_client.hpp>

#include "support/crowd.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <unistd.h>

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

    auto call(milliseconds timeout = milliseconds(300)) -> void
    {
        net::http_call request;
        request.method = "GET";
        request.path = "/";
        request.timeout = timeout;
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

/// Sends an answer to the first connection, then the same bytes again and again.
class endless_answer
{
  public:
    endless_answer(tcp::acceptor& acceptor, std::string start,
                   std::string repeated)
        : m_start(std::move(start)), m_repeated(std::move(repeated))
    {
        acceptor.async_accept(
            [this](boost::system::error_code, tcp::socket accepted)
            {
                m_socket = std::move(accepted);
                write(m_start);
            });
    }

  private:
    auto write(const std::string& bytes) -> void
    {
        boost::asio::async_write(
            *m_socket, boost::asio::buffer(bytes),
            [this](boost::system::error_code fault, std::size_t count)
            {
                m_sent += count;
                if (!fault && m_sent < max_sent)
                {
                    write(m_repeated);
                }
            });
    }

    static constexpr std::size_t max_sent = 64u << 20;

    std::string m_start;
    std::string m_repeated;
    std::optional<tcp::socket> m_socket;
    std::size_t m_sent = 0;
};

/// Checks that a call with such an answer fails in little memory.
auto check_refused(const std::string& start, const std::string& repeated)
    -> void
{
    constexpr std::size_t max_growth = 16u << 20;
    client_fixture fixture;
    const endless_answer answer(fixture.acceptor, start, repeated);
    const auto before = testing::read_usage(::getpid()).peak_bytes;
    fixture.call(std::chrono::seconds(4));
    const auto& seen = fixture.run();
    const auto after = testing::read_usage(::getpid()).peak_bytes;
    cr_expect(seen.state == net::exchange_state::unknown);
    cr_expect(seen.detail.find("too large") != std::string::npos, "%s",
              seen.detail.c_str());
    cr_expect(!seen.connection_lost);
    cr_expect(after - before <= max_growth, "%zu KiB more",
              (after - before) / 1'024);
}

const std::string chunked_header =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

auto header_line() -> std::string
{
    return "X-Filler: " + std::string(8'000, 'a') + "\r\n";
}

} // namespace

Test(net_http_client, trailers_without_end_fail_the_call)
{
    check_refused(chunked_header + "0\r\n", header_line());
}

Test(net_http_client, a_chunk_extension_without_end_fails_the_call)
{
    check_refused(chunked_header + "4;", std::string(8'000, 'e'));
}

Test(net_http_client, header_lines_without_end_fail_the_call)
{
    check_refused("HTTP/1.1 200 OK\r\n", header_line());
}

Test(net_http_client, a_body_without_end_fails_the_call)
{
    check_refused(chunked_header,
                  "1000\r\n" + std::string(4'096, 'b') + "\r\n");
}

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
