/// @file
/// Checks the HTTP interface of one instance for callers and operators: bodies
/// and headers, malformed messages, plan submission, metrics, cancellation.
#include "../support/cell.hpp"
#include "../support/raw_http.hpp"
#include "../support/wait_until.hpp"

#include <criterion/criterion.h>
#include <httplib.h>

#include <future> // async
#include <set>    // set
#include <string> // string

using namespace pimentoshunt;
using namespace pimentoshunt::testing;

namespace
{

constexpr milliseconds answer_timeout{10'000};
constexpr milliseconds raw_exchange_timeout{3'000};

constexpr const char* plan_text = R"({
  "workspaces": [{"name": "dock", "quota": {"slots": 100}}],
  "services": [
    {"name": "desk", "workspace": "dock", "path": "/desk", "deadline_ms": 20000},
    {"name": "render", "workspace": "dock", "run_time_ms": 60000,
     "idempotent": true, "deadline_ms": 20000}]})";

auto one_instance_options() -> cell_options
{
    cell_options options;
    options.instances = 1;
    options.workers_per_process = 2;
    options.settings["max_body_bytes"] = 1 << 20;
    return options;
}

auto one_slot_options() -> cell_options
{
    auto options = one_instance_options();
    options.workers_per_process = 1;
    options.worker_flags = {"--slots=1"};
    return options;
}

/// A running cell with a plan in force, and HTTP clients of its first instance.
struct cell_with_plan
{
    explicit cell_with_plan(cell_options options = one_instance_options())
        : running(std::move(options))
    {
        const auto start_error = running.start();
        cr_assert(start_error.empty(), "%s", start_error.c_str());
        auto client = operator_client();
        const auto put =
            client.Put("/plan?revision=0", plan_text, "application/json");
        cr_assert(put && put->status == 200);
        auto caller = caller_client();
        cr_assert(wait_until(
            [&]
            {
                const auto answer = caller.Get("/services/desk/first");
                return answer && answer->status == 200;
            },
            answer_timeout));
    }

    [[nodiscard]] auto caller_client() -> httplib::Client
    {
        return make_client(running.instances()[0].caller_port);
    }
    [[nodiscard]] auto operator_client() -> httplib::Client
    {
        return make_client(running.instances()[0].operator_port);
    }
    [[nodiscard]] auto send_raw(const std::string& bytes,
                                const std::string& until = {}) -> raw_answer
    {
        return raw_exchange(running.instances()[0].caller_port, bytes,
                            raw_exchange_timeout, until);
    }
    [[nodiscard]] auto is_alive() -> bool
    {
        auto caller = caller_client();
        const auto answer = caller.Get("/services/desk/alive");
        return answer && answer->status == 200;
    }

    static auto make_client(int port) -> httplib::Client
    {
        httplib::Client client("127.0.0.1", port);
        client.set_read_timeout(std::chrono::seconds(30));
        client.set_decompress(false);
        return client;
    }

    cell running;
};

auto make_all_bytes() -> std::string
{
    std::string body;
    for (int i = 0; i < 4 * 256; ++i)
    {
        body += static_cast<char>(i);
    }
    return body;
}

} // namespace

Test(product, bodies_pass_unchanged_whatever_their_declared_type)
{
    cell_with_plan cell;
    auto client = cell.caller_client();
    const auto bytes = make_all_bytes();
    for (const auto* const type :
         {"multipart/form-data; boundary=x",
          "application/x-www-form-urlencoded", "application/json; q"})
    {
        for (const auto* const encoding : {"gzip", "br", "deflate", "own"})
        {
            const auto answer =
                client.Post("/services/desk/echo",
                            {{"Content-Encoding", encoding}}, bytes, type);
            cr_assert(answer);
            cr_expect_eq(answer->status, 200, "%s %s: %d", type, encoding,
                         answer->status);
            cr_expect(answer->body == bytes, "%s %s", type, encoding);
            cr_expect_eq(answer->get_header_value("X-Standin-Content-Type"),
                         type);
        }
    }
}

Test(product, each_answer_carries_a_request_id)
{
    cell_with_plan cell;
    auto client = cell.caller_client();
    std::set<std::string> request_ids;
    for (const auto* const path :
         {"/services/desk/a", "/services/desk/a", "/services/none/a", "/other"})
    {
        const auto answer = client.Get(path);
        cr_assert(answer);
        cr_expect(request_ids.insert(answer->get_header_value("X-Request-Id"))
                      .second);
    }
    cr_expect_eq(request_ids.count(""), 0u);
    const auto unnamed = client.Get("/services/desk/a");
    const auto own =
        client.Get("/services/desk/a", {{"X-Request-Id", "mine-7"}});
    cr_assert(unnamed && own);
    cr_expect_eq(own->get_header_value("X-Request-Id"), "mine-7");
    // The worker's record holds the request ids that were sent to the worker.
    const auto record = http_get(cell.running.workers()[0].port, "/record");
    cr_assert(record);
    cr_expect(record->find("mine-7") != std::string::npos);
    cr_expect(record->find(unnamed->get_header_value("X-Request-Id")) !=
              std::string::npos);
}

Test(product, head_has_no_body_and_keeps_the_connection_usable)
{
    cell_with_plan cell;
    auto client = cell.caller_client();
    client.set_keep_alive(true);
    for (int i = 0; i < 3; ++i)
    {
        const auto answer = client.Head("/services/desk/a");
        cr_assert(answer);
        cr_expect_eq(answer->status, 200);
        cr_expect_eq(answer->get_header_value("Pimentoshunt-Ran"), "yes");
        cr_expect(answer->body.empty());
    }
    cr_expect(client.Get("/services/desk/a"));
}

Test(product, malformed_messages_are_refused_at_once)
{
    cell_with_plan cell;
    const std::string post = "POST /services/desk/a HTTP/1.1\r\nHost: x\r\n";
    const std::string get = "GET /services/desk/a HTTP/1.1\r\nHost: x\r\n";
    const auto expect = [&](const std::string& bytes, int status)
    {
        const auto answer = cell.send_raw(bytes, "remedy");
        cr_expect_eq(answer.status(), status, "%d for %.60s, got %.300s",
                     answer.status(), bytes.c_str(), answer.bytes.c_str());
        cr_expect(answer.has("remedy"), "%.60s", bytes.c_str());
        cr_expect(answer.has("Pimentoshunt-Ran: no"), "%.60s", bytes.c_str());
        cr_expect(answer.has("X-Request-Id: "), "%.60s", bytes.c_str());
    };
    expect(post + "\r\n", 411);
    expect(post + "Content-Length: x\r\n\r\n", 400);
    expect(post + "Content-Length: 99999999999999999999\r\n\r\n", 400);
    expect(post + "Content-Length: 2000000\r\n\r\n", 413);
    expect(post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
           400);
    expect(get + "X-Long: " + std::string(20'000, 'a') + "\r\n\r\n", 400);
    expect("GET /services/" + std::string(20'000, 'a') + " HTTP/1.1\r\n\r\n",
           414);
    expect("\x01\x02 nonsense\r\n\r\n", 400);
    expect("BREW /services/desk/a HTTP/1.1\r\n\r\n", 400);
    cr_expect(cell.is_alive());
}

Test(product, bytes_after_a_refused_message_are_not_a_request)
{
    cell_with_plan cell;
    const auto answer = cell.send_raw(
        "POST /services/desk/a HTTP/1.1\r\nHost: x\r\n\r\n"
        "GET /services/desk/smuggled HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_expect_eq(answer.status(), 411);
    cr_expect(answer.closed);
    cr_expect(!answer.has("200 OK"));
    // The body of a GET request isn't read as the next request.
    const auto get =
        cell.send_raw("GET /services/desk/a HTTP/1.1\r\nHost: x\r\n"
                      "Connection: close\r\nContent-Length: 5\r\n\r\n"
                      "hello");
    cr_expect_eq(get.status(), 200, "%s", get.bytes.c_str());
}

Test(product, invalid_operator_bodies_get_clear_errors)
{
    cell_with_plan cell;
    auto client = cell.operator_client();
    const std::string deep(100'000, '[');
    const std::string invalid_utf8 =
        "{\"workspaces\": [{\"name\": \"\xff\xfe\"}]}";
    for (const auto& body :
         {deep, invalid_utf8, std::string("{"), std::string()})
    {
        const auto answer =
            client.Put("/plan?revision=1", body, "application/json");
        cr_assert(answer);
        cr_expect_eq(answer->status, 422, "%d", answer->status);
        cr_expect(answer->body.find("remedy") != std::string::npos);
    }
    const auto large = client.Put("/plan?revision=1",
                                  std::string(5u << 20, ' '), "text/plain");
    cr_expect(!large || large->status == 413 || large->status == 422);
    cr_expect(cell.is_alive());
}

Test(product, a_stale_submission_gets_the_differences)
{
    cell_with_plan cell;
    auto client = cell.operator_client();
    const std::string first(plan_text);
    auto changed = first;
    changed.replace(changed.find("20000"), 5, "30000");
    cr_assert_eq(client.Put("/plan?revision=1", changed, "text/plain")->status,
                 200);
    const auto stale = client.Put("/plan?revision=1", first, "text/plain");
    cr_assert(stale);
    cr_expect_eq(stale->status, 409);
    const auto body = boost::json::parse(stale->body).as_object();
    const auto& changes = body.at("changes").as_array();
    cr_assert_eq(changes.size(), 1u, "%s", stale->body.c_str());
    cr_expect_eq(changes[0].as_string(),
                 "changed service desk: deadline_ms 20000 -> 30000");
    const auto in_force = client.Get("/plan");
    cr_assert(in_force);
    const auto plan = boost::json::parse(in_force->body).as_object();
    cr_expect_geq(plan.at("since_ms").as_int64(), 0);
    cr_expect_eq(plan.at("text").as_string(), changed);
}

Test(product, operators_see_waits_gauges_and_counters)
{
    cell_with_plan cell;
    auto caller_client = cell.caller_client();
    cr_assert_eq(caller_client.Post("/services/desk/a", "12345", "x/y")->status,
                 200);
    auto client = cell.operator_client();
    const auto status =
        boost::json::parse(client.Get("/status")->body).as_object();
    cr_expect_eq(status.at("instances").as_array()[0].at("state").as_string(),
                 "ready");
    for (const auto& queue : status.at("queues").as_array())
    {
        cr_expect_geq(queue.at("wait_p50_ms").as_int64(), 0);
        cr_expect_geq(queue.at("wait_p99_ms").as_int64(),
                      queue.at("wait_p50_ms").as_int64());
    }
    const auto wait_for_metric = [&](const std::string& text)
    {
        return wait_until(
            [&]
            {
                const auto page = client.Get("/metrics");
                return page && page->body.find(text) != std::string::npos;
            },
            answer_timeout);
    };
    for (const auto* const text :
         {"pimentoshunt_workers_held 2", "pimentoshunt_plan_revision 1",
          "pimentoshunt_slots_free ", "pimentoshunt_slots_in_use 0",
          "pimentoshunt_queue_length{class=\"service\"} 0",
          "pimentoshunt_grants_total ", "kind=\"in\"} 5"})
    {
        cr_expect(wait_for_metric(text), "%s", text);
    }
}

namespace
{

/// A GET request that waits for its answer in the background.
struct background_call
{
    background_call(cell_with_plan& cell, const std::string& path,
                    const std::string& id)
        : client(cell.caller_client()),
          answer(std::async(std::launch::async,
                            [this, path, id]
                            {
                                return client.Get(path, {{"X-Request-Id", id}});
                            }))
    {
    }

    httplib::Client client;
    std::future<httplib::Result> answer;
};

auto wait_until_running(cell_with_plan& cell, const std::string& id) -> bool
{
    return wait_until(
        [&]
        {
            const auto record =
                http_get(cell.running.workers()[0].port, "/record");
            return record && record->find(id) != std::string::npos;
        },
        answer_timeout);
}

auto wait_until_queued(cell_with_plan& cell, const std::string& workload)
    -> bool
{
    auto client = cell.operator_client();
    return wait_until(
        [&]
        {
            const auto status =
                boost::json::parse(client.Get("/status")->body).as_object();
            for (const auto& queue : status.at("queues").as_array())
            {
                if (queue.at("workload").as_string() == workload &&
                    queue.at("length").as_int64() > 0)
                {
                    return true;
                }
            }
            return false;
        },
        answer_timeout);
}

auto expect_answer(background_call& call, int status, const std::string& ran)
    -> void
{
    cr_assert(call.answer.wait_for(answer_timeout) ==
              std::future_status::ready);
    const auto answer = call.answer.get();
    cr_assert(answer);
    cr_expect_eq(answer->status, status, "%d", answer->status);
    cr_expect_eq(answer->get_header_value("Pimentoshunt-Ran"), ran);
}

} // namespace

Test(product, callers_cancel_waiting_and_running_requests)
{
    cell_with_plan cell(one_slot_options());
    auto client = cell.caller_client();
    cr_expect_eq(client.Delete("/requests/none")->status, 404);
    for (const std::string workload : {"desk", "render"})
    {
        const auto path = "/services/" + workload + "/a?run_ms=15000";
        background_call running(cell, path, "runs-" + workload);
        cr_assert(wait_until_running(cell, "runs-" + workload));
        background_call waiting(cell, path, "waits-" + workload);
        cr_assert(wait_until_queued(cell, workload));
        cr_expect_eq(client.Delete("/requests/waits-" + workload)->status, 202);
        expect_answer(waiting, 503, "no");
        cr_expect_eq(client.Delete("/requests/runs-" + workload)->status, 202);
        expect_answer(running, 502, "unknown");
        cr_expect_eq(client.Delete("/requests/runs-" + workload)->status, 404);
        // The slot is free again, and the worker counts as healthy.
        cr_expect(cell.is_alive());
    }
    const auto record = http_get(cell.running.workers()[0].port, "/record");
    cr_expect(record && record->find("waits-") == std::string::npos);
}

Test(product, head_of_line_waits_and_refusals_are_counted)
{
    cell_with_plan cell(one_slot_options());
    auto client = cell.operator_client();
    const auto wait_for_metric = [&](const std::string& text)
    {
        return wait_until(
            [&]
            {
                const auto page = client.Get("/metrics");
                return page && page->body.find(text) != std::string::npos;
            },
            answer_timeout);
    };
    background_call render(cell, "/services/render/a?run_ms=15000", "long");
    cr_assert(wait_until_running(cell, "long"));
    cr_assert(wait_for_metric("pimentoshunt_slots_in_use 1"));
    auto caller_client = cell.caller_client();
    const auto expired = caller_client.Get(
        "/services/desk/a", {{"Pimentoshunt-Deadline-Ms", "50"}});
    cr_assert(expired);
    cr_expect_eq(expired->status, 504);
    cr_expect(
        wait_for_metric("pimentoshunt_refusals_total{workspace=\"dock\",class="
                        "\"service\",workload=\"desk\",kind="
                        "\"deadline_passed\"} 1"));
    cr_expect(wait_for_metric(
        "pimentoshunt_head_of_line_seconds_count{workspace=\"dock\","
        "class=\"service\",workload=\"desk\"} 1"));
    cr_expect_eq(caller_client.Delete("/requests/long")->status, 202);
}
