#include "caller.hpp"

#include <criterion/criterion.h>
#include <httplib.h>

#include <mutex>  // mutex
#include <set>    // set
#include <thread> // thread

using namespace pimentoshunt::testing;

namespace
{

/// HTTP server in place of an instance: echoes request bodies, and responds
/// with 503 to the path "refused".
class fake_instance
{
  public:
    fake_instance()
    {
        m_server.set_keep_alive_timeout(1);
        m_server.Post("/services/desk/refused",
                      [](const httplib::Request&, httplib::Response& response)
                      {
                          response.status = 503;
                          response.set_header("Pimentoshunt-Ran", "no");
                          response.set_header("Retry-After", "1");
                      });
        m_server.Post(
            "/services/desk/x",
            [this](const httplib::Request& request, httplib::Response& response)
            {
                const std::lock_guard lock(m_mutex);
                m_ids.insert(request.get_header_value("X-Request-Id"));
                m_keys.insert(request.get_header_value("Idempotency-Key"));
                response.set_header("Pimentoshunt-Ran", "yes");
                response.set_content(request.body, "application/octet-stream");
            });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread(
            [this]
            {
                m_server.listen_after_bind();
            });
    }

    ~fake_instance()
    {
        m_server.stop();
        m_thread.join();
    }

    fake_instance(const fake_instance&) = delete;
    auto operator=(const fake_instance&) -> fake_instance& = delete;

    auto port() const -> int
    {
        return m_port;
    }

    auto ids() -> std::set<std::string>
    {
        const std::lock_guard lock(m_mutex);
        return m_ids;
    }

    auto keys() -> std::set<std::string>
    {
        const std::lock_guard lock(m_mutex);
        return m_keys;
    }

  private:
    httplib::Server m_server;
    std::mutex m_mutex;
    std::set<std::string> m_ids;
    std::set<std::string> m_keys;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace

Test(caller, records_a_whole_answer)
{
    fake_instance instance;
    call_spec spec;
    spec.request_id = "r1";
    spec.body = make_body("r1", 100'000, 1);
    const auto record = call(instance.port(), spec);
    cr_assert(record.answered && record.status == 200);
    cr_assert(record.ran == ran_header::yes);
    cr_assert(record.sent.size == 100'000 && record.sent == record.received);
    cr_assert(record.sent_at < record.answered_at);
}

Test(caller, records_a_refusal)
{
    fake_instance instance;
    call_spec spec;
    spec.subpath = "refused";
    const auto record = call(instance.port(), spec);
    cr_assert(record.answered && record.status == 503);
    cr_assert(record.ran == ran_header::no && record.has_retry_after);
}

Test(caller, records_that_no_answer_came)
{
    const auto record = call(1, {});
    cr_assert(!record.answered && !record.transport_error.empty());
    cr_assert(record.ran == ran_header::absent);
}

Test(caller, sends_distinct_requests_with_unique_ids_and_keys)
{
    fake_instance instance;
    caller_options options;
    options.ports = {instance.port()};
    options.callers = 4;
    options.requests_per_caller = 25;
    options.with_keys = true;
    const auto records = run_callers(options);
    cr_assert(records.size() == 100);
    std::set<std::uint64_t> bodies;
    for (const auto& record : records)
    {
        cr_assert(record.answered && record.sent == record.received);
        bodies.insert(record.sent.hash);
    }
    cr_assert(bodies.size() == 100);
    cr_assert(instance.ids().size() == 100);
    cr_assert(instance.keys().size() == 100);
}
