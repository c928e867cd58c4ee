/// @file
/// Checks that each answer belongs to its request when links delay, reorder
/// or break off messages and when a worker answers another attempt.
#include "cell_run.hpp"

#include <mutex>   // mutex
#include <string>  // string
#include <thread>  // jthread
#include <utility> // exchange

using namespace pimentoshunt;
using namespace pimentoshunt::testing;

namespace
{

namespace json = boost::json;

/// Options of callers that send bodies of different sizes, up to 32 KiB; the
/// shortest requests run for no time.
auto varied_body_load(const cell_run& run, const std::string& prefix)
    -> caller_options
{
    auto options = run.load(prefix);
    options.callers = 64;
    options.requests_per_caller = 25;
    options.max_body_size = 32'768;
    options.min_run_time = milliseconds(0);
    return options;
}

auto options_with_proxies(bool workers, bool callers) -> cell_options
{
    auto options = small_cell_options();
    options.proxy_workers = workers;
    options.proxy_callers = callers;
    return options;
}

auto set_all_link_faults(cell_run& run, const link_faults& faults) -> void
{
    for (const auto& link : run.test_cell().links())
    {
        link.proxy->set_faults(faults);
    }
}

/// A worker that answers each attempt with the answer to the previous one, as
/// a late or duplicate answer on a persistent connection would.
class stale_answer_worker
{
  public:
    stale_answer_worker() : m_port(m_server.bind_to_any_port("127.0.0.1"))
    {
        // Each persistent connection occupies a thread, and each instance
        // keeps one for every request in flight.
        m_server.new_task_queue = []
        {
            constexpr std::size_t threads = 64;
            return new httplib::ThreadPool(threads);
        };
        install();
        m_thread = std::jthread(
            [this]
            {
                m_server.listen_after_bind();
            });
        while (!m_server.is_running())
        {
            std::this_thread::yield();
        }
    }
    stale_answer_worker(const stale_answer_worker&) = delete;
    auto operator=(const stale_answer_worker&) -> stale_answer_worker& = delete;
    ~stale_answer_worker()
    {
        m_server.stop();
    }

    [[nodiscard]] auto instance_list_json() const -> std::string
    {
        const json::object entry{
            {"id", "late"},
            {"kind", "worker"},
            {"base_url", "http://127.0.0.1:" + std::to_string(m_port)},
            {"data_centre", "dc1"},
            {"rack", "r0"},
            {"state", "live"},
            {"connections", 8},
            {"resources", json::object{{"slots", 8},
                                       {"millicpus", 32'000},
                                       {"memory_mb", 65'536},
                                       {"accelerators", 0}}}};
        return json::serialize(json::object{{"instances", json::array{entry}}});
    }

    [[nodiscard]] auto answer_count() -> int
    {
        const std::lock_guard lock(m_mutex);
        return m_answer_count;
    }

  private:
    auto install() -> void
    {
        m_server.Post(
            "/fence",
            [this](const httplib::Request& request, httplib::Response& response)
            {
                fence(request, response);
            });
        m_server.Get(
            "/state",
            [this](const httplib::Request&, httplib::Response& response)
            {
                const std::lock_guard lock(m_mutex);
                response.set_content(make_state_report(), "application/json");
            });
        m_server.Post(R"(/attempts/.*)",
                      [](const httplib::Request&, httplib::Response& response)
                      {
                          response.set_content(R"({"state":"finished"})",
                                               "application/json");
                      });
        m_server.Post(
            R"(/run/.*)",
            [this](const httplib::Request& request, httplib::Response& response)
            {
                send_previous_answer(request, response);
            });
    }

    auto fence(const httplib::Request& request, httplib::Response& response)
        -> void
    {
        const std::lock_guard lock(m_mutex);
        const auto fence_request = json::parse(request.body);
        const auto epoch = fence_request.at("epoch").to_number<std::int64_t>();
        if (epoch <= m_epoch)
        {
            response.status = 409;
        }
        else
        {
            m_epoch = epoch;
            m_holder = fence_request.at("holder").as_string().c_str();
        }
        response.set_content(make_state_report(), "application/json");
    }

    auto send_previous_answer(const httplib::Request& request,
                              httplib::Response& response) -> void
    {
        const std::lock_guard lock(m_mutex);
        const auto attempt = request.get_header_value("Pimentoshunt-Attempt");
        response.set_header("Pimentoshunt-Attempt",
                            std::exchange(m_attempt, attempt));
        response.set_content(std::exchange(m_body, request.body),
                             "application/octet-stream");
        ++m_answer_count;
    }

    [[nodiscard]] auto make_state_report() const -> std::string
    {
        return json::serialize(json::object{{"epoch", m_epoch},
                                            {"holder", m_holder},
                                            {"leaving", false},
                                            {"running", json::array{}}});
    }

    httplib::Server m_server;
    int m_port;
    std::mutex m_mutex;
    std::int64_t m_epoch = 0;
    std::string m_holder;
    std::string m_attempt = "none";
    std::string m_body = "none";
    int m_answer_count = 0;
    std::jthread m_thread;
};

} // namespace

Test(answers, varied_bodies_delayed_and_reordered)
{
    cell_run run(options_with_proxies(true, true));
    set_all_link_faults(run,
                        {.delay = milliseconds(1), .jitter = milliseconds(20)});
    run.begin(varied_body_load(run, "order"));
    run.verify_history(1'500);
}

Test(answers, worker_connections_closed_in_mid_body)
{
    cell_run run(options_with_proxies(true, false));
    for (const std::size_t bytes : {1, 100, 200, 1'000, 5'000, 20'000})
    {
        for (const auto& link : run.test_cell().links())
        {
            link.proxy->add(
                {exchange_fault::close_reply_after, 15, bytes, "/run/"});
        }
    }
    auto load = varied_body_load(run, "body");
    load.min_body_size = 1'000;
    run.begin(load);
    load.workload = "reader";
    load.idempotent = true;
    load.id_prefix = "again";
    run.begin(load);
    run.verify_history(2'500);
}

Test(answers, worker_closes_its_connection_in_mid_body)
{
    cell_run run(small_cell_options());
    for (int i = 0; i < 10; ++i)
    {
        call_spec spec;
        spec.request_id = "half-" + std::to_string(i);
        spec.subpath = "x?fail_mode=close_mid_body";
        spec.body = make_body(spec.request_id, 9'000, 3);
        const auto result =
            call(run.test_cell().entry_ports()[static_cast<std::size_t>(i) % 3],
                 spec);
        run.add_call_record(result);
        cr_assert(result.status == 502 && result.ran == ran_header::unknown,
                  "status %d", result.status);
    }
    run.verify_history(0);
}

Test(answers, caller_connections_closed_in_mid_body)
{
    cell_run run(options_with_proxies(false, true));
    for (const std::size_t bytes : {50, 400, 3'000, 15'000})
    {
        for (const auto& link : run.test_cell().links())
        {
            link.proxy->add({exchange_fault::close_reply_after, 20, bytes, ""});
            link.proxy->add(
                {exchange_fault::close_request_after, 10, bytes, ""});
        }
    }
    auto load = varied_body_load(run, "caller");
    load.min_body_size = 4'000;
    run.begin(load);
    run.verify_history(1'000);
    const auto lost = run.count(
        [](const call_record& record)
        {
            return !record.answered;
        });
    cr_assert(lost >= 200, "only %zu calls lost their connection", lost);
}

Test(answers, attempts_answered_after_their_deadline)
{
    cell_run run(options_with_proxies(true, false));
    auto load = varied_body_load(run, "late");
    load.workload = "brief";
    load.callers = 40;
    load.requests_per_caller = 15;
    run.begin(load);
    auto& link = *run.test_cell().workers().back().from_instances;
    for (int round = 0; round < 3; ++round)
    {
        const auto before = run.events().size();
        cr_assert(wait_until(
            [&]
            {
                return run.events().size() > before + 30;
            },
            settle_timeout));
        // The delay exceeds the deadline, so answers arrive after their
        // requests have been given up.
        link.set_faults({.delay = milliseconds(400)});
        const auto fault_start = boot_clock::now();
        cr_assert(wait_until(
            [&]
            {
                return boot_clock::now() - fault_start > milliseconds(450);
            },
            settle_timeout));
        link.clear_faults();
    }
    run.verify_history(50);
}

Test(answers, answer_to_another_attempt)
{
    stale_answer_worker stale_worker;
    cell_run run(small_cell_options());
    cr_assert(http_post(run.test_cell().platform_port(),
                        "/control/instances?mode=add",
                        stale_worker.instance_list_json()));
    for (int round = 0; round < 40 && stale_worker.answer_count() < 30; ++round)
    {
        auto load = varied_body_load(run, "other" + std::to_string(round));
        load.callers = 30;
        load.requests_per_caller = 10;
        load.max_run_time = milliseconds(5);
        run.begin(load);
        run.join_callers();
    }
    cr_assert(stale_worker.answer_count() >= 30,
              "the worker with stale answers got too few requests");
    run.verify_history(100);
}
