/// @file
/// run_client: the path that is sent to the worker.
#include <pimentoshunt/entry/run_client.hpp>

#include <criterion/criterion.h>
#include <httplib.h>

#include <string> // string
#include <thread> // thread

using namespace pimentoshunt;

namespace
{

/// A worker that records the target of the last request.
class recording_worker
{
  public:
    recording_worker()
    {
        const auto note =
            [this](const httplib::Request& request, httplib::Response& response)
        {
            m_target = request.target;
            response.set_header(
                "Pimentoshunt-Attempt",
                request.get_header_value("Pimentoshunt-Attempt"));
            response.set_content("whole", "text/plain");
        };
        m_server.Get(".*", note);
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread(
            [this]
            {
                m_server.listen_after_bind();
            });
    }
    ~recording_worker()
    {
        m_server.stop();
        m_thread.join();
    }
    recording_worker(const recording_worker&) = delete;
    auto operator=(const recording_worker&) -> recording_worker& = delete;

    [[nodiscard]] auto url() const -> std::string
    {
        return "http://127.0.0.1:" + std::to_string(m_port) + "/w/3";
    }
    [[nodiscard]] auto target() const -> std::string
    {
        return m_target;
    }

  private:
    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
    std::string m_target;
};

auto run_on(const recording_worker& at, const std::string& plan_path,
            const std::string& rest) -> entry::attempt_result
{
    entry::run_client client(milliseconds(2'000), 1);
    entry::grant where;
    where.attempt = attempt_id("i1-1-1");
    where.workload = workload_name("bookings");
    where.base_url = at.url();
    plan::workload item;
    item.name = where.workload;
    item.path = plan_path;
    entry::run_request request;
    request.method = "GET";
    request.path = rest;
    return client.run(where, item, request,
                      boot_clock::now() + milliseconds(5'000));
}

} // namespace

Test(run_client, prefixes_the_callers_path_with_the_plans)
{
    recording_worker worker;
    const auto end = run_on(worker, "/bookings", "/lot/%31?a=b%20c");
    cr_assert(end.state == entry::attempt_status::answered);
    cr_assert_eq(end.body, "whole");
    cr_assert_eq(worker.target(), "/w/3/run/bookings/lot/%31?a=b%20c");
}

Test(run_client, sends_the_callers_path_when_the_plan_has_none)
{
    recording_worker worker;
    cr_assert(run_on(worker, "", "/lot").state ==
              entry::attempt_status::answered);
    cr_assert_eq(worker.target(), "/w/3/run/lot");
}
