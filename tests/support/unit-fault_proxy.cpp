#include "fault_proxy.hpp"
#include "random_faults.hpp"
#include "wait_until.hpp"

#include <criterion/criterion.h>
#include <httplib.h>

#include <atomic> // atomic
#include <thread> // thread

using namespace pimentoshunt::testing;
using pimentoshunt::boot_clock;
using pimentoshunt::milliseconds;

namespace
{

/// HTTP server behind a proxy; echoes request bodies and counts requests.
class echo_behind_proxy
{
  public:
    echo_behind_proxy()
        : m_port(prepare()), m_thread(
                                 [this]
                                 {
                                     m_server.listen_after_bind();
                                 }),
          m_proxy(m_port)
    {
    }

    ~echo_behind_proxy()
    {
        m_server.stop();
        m_thread.join();
    }

    echo_behind_proxy(const echo_behind_proxy&) = delete;
    auto operator=(const echo_behind_proxy&) -> echo_behind_proxy& = delete;

    auto proxy() -> fault_proxy&
    {
        return m_proxy;
    }

    auto served() const -> int
    {
        return m_served;
    }

    auto post(const std::string& body, const std::string& path = "/echo")
        -> httplib::Result
    {
        httplib::Client client("127.0.0.1", m_proxy.port());
        client.set_read_timeout(milliseconds{200});
        return client.Post(path, body, "application/octet-stream");
    }

  private:
    auto prepare() -> int
    {
        m_server.set_keep_alive_timeout(1);
        m_server.Post(
            "/.*",
            [this](const httplib::Request& request, httplib::Response& response)
            {
                ++m_served;
                response.set_content(request.body, "application/octet-stream");
            });
        return m_server.bind_to_any_port("127.0.0.1");
    }

    httplib::Server m_server;
    std::atomic<int> m_served{0};
    int m_port;
    std::thread m_thread;
    fault_proxy m_proxy;
};

} // namespace

Test(fault_proxy, relays_large_bodies_unchanged)
{
    echo_behind_proxy link;
    const std::string body(3'000'000, 'x');
    const auto answer = link.post(body);
    cr_assert(answer && answer->body == body);
}

Test(fault_proxy, cut_refuses_until_healed)
{
    echo_behind_proxy link;
    link.proxy().set_faults({.cut = true});
    cr_assert(link.post("a").error() == httplib::Error::Connection);
    cr_assert(link.served() == 0);
    link.proxy().clear_faults();
    cr_assert(link.post("a")->body == "a");
}

Test(fault_proxy, freeze_keeps_bytes_until_healed)
{
    echo_behind_proxy link;
    link.proxy().set_faults({.freeze = true});
    cr_assert(link.post("a").error() == httplib::Error::Read);
    cr_assert(link.served() == 0);
    link.proxy().clear_faults();
    cr_assert(wait_until(
        [&]
        {
            return link.served() == 1;
        },
        milliseconds{5'000}));
}

Test(fault_proxy, one_way_cuts_lose_one_direction_only)
{
    echo_behind_proxy link;
    link.proxy().set_faults({.drop_requests = true});
    cr_assert(!link.post("a"));
    cr_assert(link.served() == 0);
    link.proxy().set_faults({.drop_replies = true});
    cr_assert(!link.post("a"));
    cr_assert(link.served() == 1);
}

Test(fault_proxy, delay_applies_to_each_direction)
{
    echo_behind_proxy link;
    link.proxy().set_faults({.delay = milliseconds{30}});
    const auto before = boot_clock::now();
    cr_assert(link.post("a")->body == "a");
    cr_assert(boot_clock::now() - before >= milliseconds{60});
}

Test(fault_proxy, drops_the_reply_after_the_request_took_effect)
{
    echo_behind_proxy link;
    link.proxy().add({exchange_fault::drop_reply, 1, 0, "/hit"});
    cr_assert(link.post("a", "/miss")->body == "a");
    cr_assert(!link.post("a", "/hit"));
    cr_assert(link.served() == 2);
    cr_assert(link.proxy().triggered_count() == 1);
    cr_assert(link.post("a", "/hit")->body == "a");
}

Test(fault_proxy, closes_in_the_body_of_reply_or_request)
{
    echo_behind_proxy link;
    const std::string body(100'000, 'x');
    link.proxy().add({exchange_fault::close_reply_after, 1, 50'000, ""});
    cr_assert(!link.post(body));
    cr_assert(link.served() == 1);
    link.proxy().add({exchange_fault::close_request_after, 1, 50'000, ""});
    cr_assert(!link.post(body));
    cr_assert(link.served() == 1);
    cr_assert(link.post(body)->body == body);
}

Test(fault_proxy, one_time_faults_apply_to_persistent_connections)
{
    echo_behind_proxy link;
    httplib::Client client("127.0.0.1", link.proxy().port());
    client.set_keep_alive(true);
    cr_assert(client.Post("/a", "1", "text/plain"));
    link.proxy().add({exchange_fault::drop_reply, 1, 0, "/b"});
    cr_assert(!client.Post("/b", "2", "text/plain"));
    cr_assert(client.Post("/c", "3", "text/plain"));
}

Test(random_faults, same_seed_gives_the_same_faults_and_heals)
{
    const auto first_faults = [](fault_proxy& proxy)
    {
        random_faults faults({{"link", &proxy}},
                             {.seed = 7,
                              .min_pause = milliseconds{1},
                              .max_pause = milliseconds{2},
                              .min_fault_duration = milliseconds{1},
                              .max_fault_duration = milliseconds{5}});
        cr_assert(wait_until(
            [&]
            {
                return faults.log().size() >= 5;
            },
            milliseconds{5'000}));
        auto log = faults.log();
        log.resize(5);
        return log;
    };
    echo_behind_proxy link;
    const auto once = first_faults(link.proxy());
    cr_assert(first_faults(link.proxy()) == once);
    cr_assert(link.post("a")->body == "a");
}
