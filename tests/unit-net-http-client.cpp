/// @file
/// Tests of what a failed call tells: a peer that is gone, one that is silent, or
/// one whose answer is too large.
#include <pimentoshunt/net/http_client.hpp>

#include <pimentoshunt/net/detail/client_connection.hpp>

#include "support/crowd.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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

    auto call(milliseconds timeout = milliseconds(300),
              net::http_call request = {}) -> void
    {
        request.method = "GET";
        request.path = "/";
        request.timeout = timeout;
        result.reset();
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

/// Sends an answer of 20 bytes to the first connection, one byte every 30 ms, and
/// stops after some of them.
class paced_answer
{
  public:
    paced_answer(tcp::acceptor& acceptor, std::size_t bytes)
        : m_left(bytes), m_timer(acceptor.get_executor())
    {
        acceptor.async_accept(
            [this](boost::system::error_code, tcp::socket accepted)
            {
                m_socket = std::move(accepted);
                boost::asio::write(*m_socket, boost::asio::buffer(m_header));
                write();
            });
    }

  private:
    auto write() -> void
    {
        if (m_left-- == 0)
        {
            return;
        }
        boost::system::error_code ignored;
        boost::asio::write(*m_socket, boost::asio::buffer("b", 1), ignored);
        m_timer.expires_after(milliseconds(30));
        m_timer.async_wait(
            [this](boost::system::error_code fault)
            {
                if (!fault)
                {
                    write();
                }
            });
    }

    const std::string m_header =
        "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n";
    std::size_t m_left;
    boost::asio::steady_timer m_timer;
    std::optional<tcp::socket> m_socket;
};

/// A call that may take longer than its time limit while bytes arrive.
auto patient_call() -> net::http_call
{
    net::http_call out;
    out.stall_timeout = milliseconds(250);
    return out;
}

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

// Guards against answers that are cut off although they make progress: over a
// slow link a large one takes longer than a silent peer may.
Test(net_http_client, an_answer_that_keeps_arriving_outlives_the_time_limit)
{
    client_fixture fixture;
    const paced_answer peer(fixture.acceptor, 20);
    fixture.call(milliseconds(300), patient_call());
    const auto& answer = fixture.run();
    cr_assert(answer.state == net::exchange_state::answered);
    cr_assert_eq(answer.body.size(), 20u);
}

Test(net_http_client, silence_within_an_answer_ends_the_call)
{
    client_fixture fixture;
    const paced_answer peer(fixture.acceptor, 2);
    const auto began = boot_clock::now();
    fixture.call(milliseconds(300), patient_call());
    const auto& answer = fixture.run();
    const auto took = boot_clock::now() - began;
    cr_assert(answer.state == net::exchange_state::unknown);
    cr_assert(!answer.answer_too_large);
    cr_assert(took >= milliseconds(250) && took < milliseconds(1'000));
}

// Guards against a peer that holds a call for ever with a byte now and then.
Test(net_http_client, an_answer_that_trickles_ends_at_the_longest_duration)
{
    client_fixture fixture;
    const paced_answer peer(fixture.acceptor, 20);
    auto request = patient_call();
    request.max_duration = milliseconds(350);
    fixture.call(milliseconds(300), request);
    const auto& answer = fixture.run();
    cr_assert(answer.state == net::exchange_state::unknown);
    cr_assert(answer.answer_too_large);
}

// A write over a connection that the peer had reset while it was idle got an
// unknown outcome, although the store served again.
Test(net_http_client, an_idle_connection_that_was_reset_is_not_used_again)
{
    client_fixture fixture;
    std::optional<tcp::socket> kept;
    const auto answer_next = [&]
    {
        fixture.acceptor.async_accept(
            [&](boost::system::error_code, tcp::socket accepted)
            {
                kept = std::move(accepted);
                boost::asio::write(
                    *kept,
                    boost::asio::buffer(std::string(
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
            });
    };
    answer_next();
    fixture.call();
    cr_assert(fixture.run().state == net::exchange_state::answered);
    kept->set_option(tcp::socket::linger(true, 0));
    kept->close();
    answer_next();
    fixture.call();
    cr_assert(fixture.run().state == net::exchange_state::answered);
}

// Guards against calls that wait far beyond their time limit, such as renewals
// of the ownership, while transfers occupy all connections.
Test(net_http_client, a_call_without_a_free_connection_ends_in_time)
{
    client_fixture fixture;
    net::client_limits limits;
    limits.connections = 1;
    net::http_client client(fixture.context, fixture.context.get_executor(),
                            limits);
    const auto address = "127.0.0.1:" + std::to_string(fixture.port);
    net::http_call first;
    first.method = "GET";
    first.path = "/";
    first.timeout = milliseconds(2'000);
    client.call(address, first, [](const net::http_exchange&) {});
    auto second = first;
    second.timeout = milliseconds(100);
    client.call(address, second,
                [&](net::http_exchange answer)
                {
                    fixture.result = std::move(answer);
                });
    const auto began = boot_clock::now();
    const auto& answer = fixture.run();
    cr_assert(answer.state == net::exchange_state::never_sent);
    cr_assert_lt((boot_clock::now() - began).count(),
                 std::chrono::nanoseconds(milliseconds(1'000)).count());
}

Test(net_http_client, a_request_has_its_fields_and_its_length)
{
    platform::http_call request;
    request.method = "POST";
    request.path = "/p?a=b";
    request.headers.push_back({"Name", "value"});
    request.body = "{}";
    cr_assert_eq(*net::detail::request_text(request, "10.0.0.1:80"),
                 "POST /p?a=b HTTP/1.1\r\nHost: 10.0.0.1:80\r\n"
                 "Name: value\r\nContent-Type: application/json\r\n"
                 "Content-Length: 2\r\n\r\n{}");
    request.body.clear();
    cr_assert_eq(*net::detail::request_text(request, "10.0.0.1:80"),
                 "POST /p?a=b HTTP/1.1\r\nHost: 10.0.0.1:80\r\n"
                 "Name: value\r\nContent-Length: 0\r\n\r\n");
    request.method = "GET";
    cr_assert_eq(*net::detail::request_text(request, "10.0.0.1:80"),
                 "GET /p?a=b HTTP/1.1\r\nHost: 10.0.0.1:80\r\n"
                 "Name: value\r\n\r\n");
}

// Guards against an ID of another writer that adds a header to a request.
Test(net_http_client, a_header_with_a_line_break_is_not_sent)
{
    client_fixture fixture;
    net::http_call request;
    request.headers.push_back({"Name", "value\r\nOther: value"});
    fixture.call(milliseconds(300), request);
    cr_assert(fixture.run().state == net::exchange_state::never_sent);
}
