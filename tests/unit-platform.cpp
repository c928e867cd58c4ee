/// @file
/// Tests of the HTTP clients of platform and workers against a local server
/// that refuses calls or loses replies.
#include <pimentoshunt/platform/http_platform.hpp>
#include <pimentoshunt/platform/port.hpp>
#include <pimentoshunt/worker/http_worker.hpp>

#include <criterion/criterion.h>
#include <httplib.h> // Server

#include <atomic>     // atomic
#include <functional> // function
#include <string>     // string
#include <thread>     // thread

using pimentoshunt::attempt_id;
using pimentoshunt::error;
using pimentoshunt::handle;
using pimentoshunt::result;
namespace platform = pimentoshunt::platform;
namespace worker = pimentoshunt::worker;
using namespace std::chrono_literals;

static_assert(platform::port<platform::http_platform>);
static_assert(worker::port<worker::http_worker>);

namespace
{

/// An HTTP server on a free port; the test adds the handlers.
class loopback_server
{
  public:
    loopback_server() : m_port(m_server.bind_to_any_port("127.0.0.1"))
    {
        m_server.set_keep_alive_max_count(1'000);
        m_server.set_tcp_nodelay(true);
    }

    ~loopback_server()
    {
        m_server.stop();
        if (m_thread.joinable())
        {
            m_thread.join();
        }
    }

    auto start() -> void
    {
        m_thread = std::thread(
            [this]
            {
                m_server.listen_after_bind();
            });
        while (!m_server.is_running())
        {
            std::this_thread::yield();
        }
    }

    [[nodiscard]] auto url() const -> std::string
    {
        return "http://127.0.0.1:" + std::to_string(m_port);
    }

    httplib::Server m_server;

  private:
    int m_port;
    std::thread m_thread;
};

template<class Call>
auto error_id(Call&& call) -> int
{
    return handle(
        [&]() -> result<int>
        {
            auto outcome = call();
            if (!outcome)
            {
                return outcome.error();
            }
            return 0;
        },
        [](const error& e)
        {
            return e.id;
        });
}

auto client_of(const std::string& url) -> platform::http_platform
{
    return {*platform::parse_endpoint(url),
            platform::http_platform_limits{4, 300ms, 300ms, 2'000ms}};
}

auto one_insert() -> platform::transaction
{
    return {"w1", {{"job/p1/a", platform::expect_absent, "v"}}};
}

/// Closes the connection in the middle of the answer, so that the client
/// doesn't receive it.
auto lose_reply(httplib::Response& response) -> void
{
    response.set_content_provider(
        100, "application/json",
        [](std::size_t, std::size_t, httplib::DataSink&)
        {
            return false;
        });
}

} // namespace

Test(platform, base_url_is_parsed)
{
    const auto peer = platform::parse_endpoint("http://127.0.0.1:9001/w/3/");
    cr_assert(peer.has_value());
    cr_assert(peer->host == "127.0.0.1");
    cr_assert(peer->port == 9001);
    cr_assert(peer->prefix == "/w/3");
    cr_assert(!platform::parse_endpoint("https://127.0.0.1:1").has_value());
    cr_assert(!platform::parse_endpoint("http://127.0.0.1:0").has_value());
    cr_assert(!platform::parse_endpoint("http://127.0.0.1").has_value());
}

Test(platform, refused_connection_is_reported_as_not_sent)
{
    std::string url;
    {
        loopback_server gone;
        gone.start();
        url = gone.url();
    }
    auto table = client_of(url);
    cr_assert(error_id(
                  [&]
                  {
                      return table.commit(one_insert());
                  }) == platform::not_sent);
    worker::http_worker workers;
    cr_assert(error_id(
                  [&]
                  {
                      return workers.start_task(url, {});
                  }) == worker::not_sent);
}

// The commit takes effect and its reply is lost. Sending it again must be
// avoided, since the row already holds its write id.
Test(platform, lost_reply_of_a_commit_is_resolved_by_its_write_id)
{
    loopback_server server;
    std::atomic<int> commits{0};
    server.m_server.Post("/commit",
                         [&](const httplib::Request&, httplib::Response& out)
                         {
                             ++commits;
                             lose_reply(out);
                         });
    server.m_server.Get("/table/job/p1/a",
                        [&](const httplib::Request&, httplib::Response& out)
                        {
                            out.set_content(R"({"key":"job/p1/a","value":"v",)"
                                            R"("version":1,"write_id":"w1"})",
                                            "application/json");
                        });
    server.start();
    auto table = client_of(server.url());
    const auto committed = handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_AUTO(outcome, table.commit(one_insert()));
            return outcome.committed;
        },
        [](const error&)
        {
            return false;
        });
    cr_assert(committed);
    cr_assert(commits == 1);
}

Test(platform, lost_request_is_sent_again_and_ends_in_one_effect)
{
    loopback_server server;
    std::atomic<int> commits{0};
    server.m_server.Post("/commit",
                         [&](const httplib::Request&, httplib::Response& out)
                         {
                             if (commits++ == 0)
                             {
                                 lose_reply(out);
                                 return;
                             }
                             out.set_content(R"({"versions":[1]})",
                                             "application/json");
                         });
    server.m_server.Get("/table/job/p1/a",
                        [](const httplib::Request&, httplib::Response& out)
                        {
                            out.status = 404;
                        });
    server.start();
    auto table = client_of(server.url());
    cr_assert(error_id(
                  [&]
                  {
                      return table.commit(one_insert());
                  }) == 0);
    cr_assert(commits == 2);
}

// Neither the reply nor the row can be read: neither success nor failure may be
// reported.
Test(platform, commit_that_cannot_be_resolved_is_unknown)
{
    loopback_server server;
    server.m_server.Post("/commit",
                         [](const httplib::Request&, httplib::Response& out)
                         {
                             lose_reply(out);
                         });
    server.m_server.Get("/table/job/p1/a",
                        [](const httplib::Request&, httplib::Response& out)
                        {
                            out.status = 503;
                        });
    server.start();
    auto table = client_of(server.url());
    cr_assert(error_id(
                  [&]
                  {
                      return table.commit(one_insert());
                  }) == platform::outcome_unknown);
}

Test(platform, refused_unknown_and_revoked_are_distinguished)
{
    loopback_server server;
    server.m_server.Post("/w/1/tasks",
                         [](const httplib::Request&, httplib::Response& out)
                         {
                             out.status = 409;
                             out.set_header("Pimentoshunt-Refused", "fenced");
                         });
    server.m_server.Post("/w/2/tasks",
                         [](const httplib::Request&, httplib::Response& out)
                         {
                             lose_reply(out);
                         });
    server.m_server.Post(R"(/w/1/attempts/([^/]+)/revoke)",
                         [](const httplib::Request& in, httplib::Response& out)
                         {
                             const bool known = in.matches[1] == "i1#2/7";
                             out.set_content(
                                 known ? R"({"state":"finished","exit":3})"
                                       : R"({"state":"revoked"})",
                                 "application/json");
                         });
    server.start();
    worker::http_worker workers;
    const auto refused = handle(
        [&]() -> result<std::optional<worker::refusal>>
        {
            BOOST_LEAF_AUTO(answer,
                            workers.start_task(server.url() + "/w/1", {}));
            return answer.refused;
        },
        [](const error&)
        {
            return std::optional<worker::refusal>();
        });
    cr_assert(refused == worker::refusal::fenced);
    cr_assert(error_id(
                  [&]
                  {
                      return workers.start_task(server.url() + "/w/2", {});
                  }) == worker::outcome_unknown);
    const auto state = handle(
        [&]() -> result<worker::attempt_state>
        {
            BOOST_LEAF_AUTO(report, workers.revoke(server.url() + "/w/1",
                                                   attempt_id("never")));
            return report.state;
        },
        [](const error&)
        {
            return worker::attempt_state::running;
        });
    cr_assert(state == worker::attempt_state::revoked);
}
