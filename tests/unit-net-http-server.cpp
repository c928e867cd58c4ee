/// @file
/// Limits of http_server on what one connection may hold before its request is
/// complete, and whether callers see the refusal.
#include <pimentoshunt/net/http_server.hpp>

#include "support/crowd.hpp"
#include "support/port_allocator.hpp"
#include "support/raw_http.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <criterion/criterion.h>

#include <unistd.h>

#include <algorithm> // all_of
#include <string>    // string
#include <thread>    // thread

using namespace pimentoshunt;

namespace
{

constexpr std::size_t header_bytes = 2'048;
constexpr std::size_t body_bytes = 8'192;
constexpr std::size_t held_bytes = 64u << 20;
constexpr std::size_t large_answer_bytes = 16u << 20;
constexpr milliseconds answer_timeout{10'000};

auto make_limits() -> net::server_limits
{
    net::server_limits limits;
    limits.header_bytes = header_bytes;
    limits.body_bytes = body_bytes;
    limits.held_bytes = held_bytes;
    return limits;
}

/// A server that answers each request with its body, or with a large one at
/// /large; its connections run on a thread.
class echo_server
{
  public:
    explicit echo_server(net::server_limits limits = make_limits())
        : m_server(m_context, m_context.get_executor(), limits,
                   [](net::server_request request,
                      const net::http_server::reply& answer)
                   {
                       if (request.target == "/large")
                       {
                           request.body.assign(large_answer_bytes, 'l');
                       }
                       if (request.target == "/authorization")
                       {
                           answer({401, std::to_string(
                                            request.authorization.size()) +
                                            " headers"});
                           return;
                       }
                       answer({200, std::move(request.body), "text/plain"});
                   })
    {
        const bool listens = handle(
            [&]() -> result<bool>
            {
                BOOST_LEAF_CHECK(
                    m_server.listen("127.0.0.1:" + std::to_string(m_port)));
                return true;
            },
            [](const error&)
            {
                return false;
            });
        cr_assert(listens);
        m_thread = std::thread(
            [this]
            {
                m_context.run();
            });
    }

    ~echo_server()
    {
        m_context.stop();
        m_thread.join();
    }

    echo_server(const echo_server&) = delete;
    auto operator=(const echo_server&) -> echo_server& = delete;

    [[nodiscard]] auto exchange(const std::string& bytes,
                                const std::string& stop_text = {}) const
        -> testing::raw_answer
    {
        return testing::raw_exchange(m_port, bytes, answer_timeout, stop_text);
    }

    [[nodiscard]] auto port() const -> int
    {
        return m_port;
    }

  private:
    boost::asio::io_context m_context;
    net::http_server m_server;
    int m_port = testing::free_port();
    std::thread m_thread;
};

const std::string chunked_header =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Header lines of at least @p size bytes.
auto lines(std::size_t size) -> std::string
{
    std::string out;
    while (out.size() < size)
    {
        out += "X-Filler: " + std::string(100, 'a') + "\r\n";
    }
    return out;
}

} // namespace

Test(net_http_server, trailers_and_extensions_within_the_limit_are_accepted)
{
    const echo_server server;
    const auto answer =
        server.exchange(chunked_header + "4;x=" + std::string(1'000, 'e') +
                            "\r\nbody\r\n0\r\n" + lines(1'000) + "\r\n",
                        "body");
    cr_assert_eq(answer.status(), 200);
    cr_assert(answer.has("body"));
}

Test(net_http_server, larger_trailers_are_refused)
{
    const echo_server server;
    const auto answer = server.exchange(chunked_header + "4\r\nbody\r\n0\r\n" +
                                        lines(10 * header_bytes));
    cr_assert_eq(answer.status(), 431);
    cr_assert(answer.closed);
}

Test(net_http_server, a_larger_chunk_extension_is_refused)
{
    const echo_server server;
    const auto answer = server.exchange(chunked_header + "4;" +
                                        std::string(10 * header_bytes, 'e'));
    cr_assert_eq(answer.status(), 431);
    cr_assert(answer.closed);
}

Test(net_http_server, a_caller_that_still_writes_sees_the_refusal)
{
    const echo_server server;
    constexpr std::size_t size = 512u << 10;
    const auto larger_body = server.exchange(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
        std::to_string(size) + "\r\n\r\n" + std::string(size, 'b'));
    cr_assert_eq(larger_body.status(), 413);
    const auto larger_header =
        server.exchange("GET / HTTP/1.1\r\n" + lines(size));
    cr_assert_eq(larger_header.status(), 431);
    const auto larger_trailers =
        server.exchange(chunked_header + "0\r\n" + lines(size));
    cr_assert_eq(larger_trailers.status(), 431);
}

Test(net_http_server, of_many_incomplete_requests_the_largest_get_503)
{
    auto limits = make_limits();
    limits.held_bytes = 2 * body_bytes;
    const echo_server server(limits);
    testing::crowd_options crowd;
    crowd.port = server.port();
    crowd.start = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                  std::to_string(body_bytes) + "\r\n\r\n" +
                  std::string(1'000, 'b');
    crowd.idle_limit = milliseconds(500);
    const auto seen = testing::run_crowd(crowd, ::getpid());
    // Two of these requests hold more than the limit.
    cr_assert_geq(seen.statuses.size(), crowd.connections - 1);
    cr_assert(std::all_of(seen.statuses.begin(), seen.statuses.end(),
                          [](int status)
                          {
                              return status == 503;
                          }));
    const auto answer = server.exchange(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", "body");
    cr_assert_eq(answer.status(), 200);
}

Test(net_http_server, a_request_that_is_held_alone_is_served)
{
    auto limits = make_limits();
    limits.held_bytes = 1;
    const echo_server server(limits);
    const auto answer = server.exchange(
        "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
        std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'b'));
    cr_assert_eq(answer.status(), 200);
    cr_assert(answer.has(std::string(body_bytes, 'b')));
}

Test(net_http_server, unread_answers_are_dropped_beyond_the_limit)
{
    const echo_server server;
    const auto before = testing::read_usage(::getpid()).peak_bytes;
    testing::crowd_options crowd;
    crowd.port = server.port();
    crowd.connections = 16;
    crowd.start = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";
    crowd.reads_answers = false;
    crowd.idle_limit = milliseconds(1'000);
    const auto seen = testing::run_crowd(crowd, ::getpid());
    cr_assert_eq(seen.connected, crowd.connections);
    // Two answers beyond the limit are being made or given up.
    constexpr auto max_growth = held_bytes + 3 * large_answer_bytes;
    cr_assert_leq(seen.most.peak_bytes - before, max_growth, "%zu KiB more",
                  (seen.most.peak_bytes - before) / 1'024);
    const auto answer = server.exchange(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", "body");
    cr_assert_eq(answer.status(), 200);
}

// Guards against a server that shows the first of several keys only, so that a
// caller with two would be taken for one of them.
Test(net_http_server, several_authorization_headers_are_passed_on)
{
    const echo_server server;
    const std::string start = "GET /authorization HTTP/1.1\r\nHost: a\r\n";
    const std::string key = "Authorization: Bearer k\r\n";
    cr_assert(server.exchange(start + "\r\n", "headers").has("0 headers"));
    const auto refused = server.exchange(start + key + "\r\n", "headers");
    cr_assert(refused.has("1 headers"));
    cr_assert(refused.has("WWW-Authenticate: Bearer"));
    cr_assert(server.exchange(start + key + key + key + "\r\n", "headers")
                  .has("2 headers"));
}
