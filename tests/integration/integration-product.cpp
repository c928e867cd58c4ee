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

constexpr milliseconds answer_bound{10'000};
constexpr milliseconds prompt{3'000};

constexpr const char* plan_text = R"({
  "workspaces": [{"name": "dock", "quota": {"slots": 100}}],
  "services": [
    {"name": "desk", "workspace": "dock", "path": "/desk", "deadline_ms": 20000},
    {"name": "render", "workspace": "dock", "run_time_ms": 60000,
     "idempotent": true, "deadline_ms": 20000}]})";

auto one_instance() -> cell_options
{
    cell_options options;
    options.instances = 1;
    options.workers_per_process = 2;
    options.settings["max_body_bytes"] = 1 << 20;
    return options;
}

auto one_slot() -> cell_options
{
    auto options = one_instance();
    options.workers_per_process = 1;
    options.worker_flags = {"--slots=1"};
    return options;
}

/// A cell with a plan in force, and clients of its first instance.
struct served_cell
{
    explicit served_cell(cell_options options = one_instance())
        : running(std::move(options))
    {
        const auto trouble = running.start();
        cr_assert(trouble.empty(), "%s", trouble.c_str());
        auto client = operators();
        const auto put =
            client.Put("/plan?revision=0", plan_text, "application/json");
        cr_assert(put && put->status == 200);
        auto caller = callers();
        cr_assert(wait_until(
            [&]
            {
                const auto answer = caller.Get("/services/desk/first");
                return answer && answer->status == 200;
            },
            answer_bound));
    }

    [[nodiscard]] auto callers() -> httplib::Client
    {
        return client_of(running.instances()[0].caller_port);
    }
    [[nodiscard]] auto operators() -> httplib::Client
    {
        return client_of(running.instances()[0].operator_port);
    }
    [[nodiscard]] auto raw(const std::string& bytes,
                           const std::string& until = {}) -> raw_answer
    {
        return raw_exchange(running.instances()[0].caller_port, bytes, prompt,
                            until);
    }
    [[nodiscard]] auto alive() -> bool
    {
        auto caller = callers();
        const auto answer = caller.Get("/services/desk/alive");
        return answer && answer->status == 200;
    }

    static auto client_of(int port) -> httplib::Client
    {
        httplib::Client client("127.0.0.1", port);
        client.set_read_timeout(std::chrono::seconds(30));
        client.set_decompress(false);
        return client;
    }

    cell running;
};

auto all_bytes() -> std::string
{
    std::string body;
    for (int i = 0; i < 4 * 256; ++i)
    {
        body += static_cast<char>(i);
    }
    return body;
}

} // namespace

Test(product, bodies_pass_byte_for_byte_whatever_they_claim_to_be)
{
    served_cell cell;
    auto client = cell.callers();
    const auto bytes = all_bytes();
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

Test(product, each_answer_names_its_request)
{
    served_cell cell;
    auto client = cell.callers();
    std::set<std::string> made;
    for (const auto* const path :
         {"/services/desk/a", "/services/desk/a", "/services/none/a", "/other"})
    {
        const auto answer = client.Get(path);
        cr_assert(answer);
        cr_expect(made.insert(answer->get_header_value("X-Request-Id")).second);
    }
    cr_expect_eq(made.count(""), 0u);
    const auto unnamed = client.Get("/services/desk/a");
    const auto own =
        client.Get("/services/desk/a", {{"X-Request-Id", "mine-7"}});
    cr_assert(unnamed && own);
    cr_expect_eq(own->get_header_value("X-Request-Id"), "mine-7");
    // The worker's record holds the id that it was sent.
    const auto record = http_get(cell.running.workers()[0].port, "/record");
    cr_assert(record);
    cr_expect(record->find("mine-7") != std::string::npos);
    cr_expect(record->find(unnamed->get_header_value("X-Request-Id")) !=
              std::string::npos);
}

Test(product, head_has_no_body_and_leaves_the_connection_in_order)
{
    served_cell cell;
    auto client = cell.callers();
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

Test(product, messages_that_are_not_sound_are_refused_at_once)
{
    served_cell cell;
    const std::string post = "POST /services/desk/a HTTP/1.1\r\nHost: x\r\n";
    const std::string get = "GET /services/desk/a HTTP/1.1\r\nHost: x\r\n";
    const auto expect = [&](const std::string& bytes, int status)
    {
        const auto answer = cell.raw(bytes, "remedy");
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
    cr_expect(cell.alive());
}

Test(product, what_follows_a_refused_message_is_no_request)
{
    served_cell cell;
    const auto answer =
        cell.raw("POST /services/desk/a HTTP/1.1\r\nHost: x\r\n\r\n"
                 "GET /services/desk/smuggled HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_expect_eq(answer.status(), 411);
    cr_expect(answer.closed);
    cr_expect(!answer.has("200 OK"));
    // A body of GET is read as one and not as the next request.
    const auto get = cell.raw("GET /services/desk/a HTTP/1.1\r\nHost: x\r\n"
                              "Connection: close\r\nContent-Length: 5\r\n\r\n"
                              "hello");
    cr_expect_eq(get.status(), 200, "%s", get.bytes.c_str());
}

Test(product, wrong_bodies_of_operators_get_clear_errors)
{
    served_cell cell;
    auto client = cell.operators();
    const std::string deep(100'000, '[');
    const std::string wrong_utf8 =
        "{\"workspaces\": [{\"name\": \"\xff\xfe\"}]}";
    for (const auto& body : {deep, wrong_utf8, std::string("{"), std::string()})
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
    cr_expect(cell.alive());
}

Test(product, a_stale_submission_is_told_what_changed)
{
    served_cell cell;
    auto client = cell.operators();
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
    served_cell cell;
    auto callers = cell.callers();
    cr_assert_eq(callers.Post("/services/desk/a", "12345", "x/y")->status, 200);
    auto client = cell.operators();
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
    const auto shows = [&](const std::string& text)
    {
        return wait_until(
            [&]
            {
                const auto page = client.Get("/metrics");
                return page && page->body.find(text) != std::string::npos;
            },
            answer_bound);
    };
    for (const auto* const text :
         {"pimentoshunt_workers_held 2", "pimentoshunt_plan_revision 1",
          "pimentoshunt_slots_free ", "pimentoshunt_slots_in_use 0",
          "pimentoshunt_queue_length{class=\"service\"} 0",
          "pimentoshunt_grants_total ", "kind=\"in\"} 5"})
    {
        cr_expect(shows(text), "%s", text);
    }
}

namespace
{

/// A request that is answered in the background.
struct background_call
{
    background_call(served_cell& cell, const std::string& path,
                    const std::string& id)
        : client(cell.callers()),
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

auto runs(served_cell& cell, const std::string& id) -> bool
{
    return wait_until(
        [&]
        {
            const auto record =
                http_get(cell.running.workers()[0].port, "/record");
            return record && record->find(id) != std::string::npos;
        },
        answer_bound);
}

auto waits(served_cell& cell, const std::string& workload) -> bool
{
    auto client = cell.operators();
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
        answer_bound);
}

auto expect_end(background_call& call, int status, const std::string& ran)
    -> void
{
    cr_assert(call.answer.wait_for(answer_bound) == std::future_status::ready);
    const auto answer = call.answer.get();
    cr_assert(answer);
    cr_expect_eq(answer->status, status, "%d", answer->status);
    cr_expect_eq(answer->get_header_value("Pimentoshunt-Ran"), ran);
}

} // namespace

Test(product, callers_cancel_what_waits_and_what_runs)
{
    served_cell cell(one_slot());
    auto client = cell.callers();
    cr_expect_eq(client.Delete("/requests/none")->status, 404);
    for (const std::string workload : {"desk", "render"})
    {
        const auto path = "/services/" + workload + "/a?run_ms=15000";
        background_call running(cell, path, "runs-" + workload);
        cr_assert(runs(cell, "runs-" + workload));
        background_call waiting(cell, path, "waits-" + workload);
        cr_assert(waits(cell, workload));
        cr_expect_eq(client.Delete("/requests/waits-" + workload)->status, 202);
        expect_end(waiting, 503, "no");
        cr_expect_eq(client.Delete("/requests/runs-" + workload)->status, 202);
        expect_end(running, 502, "unknown");
        cr_expect_eq(client.Delete("/requests/runs-" + workload)->status, 404);
        // The slot is free again, and the worker counts as sound.
        cr_expect(cell.alive());
    }
    const auto record = http_get(cell.running.workers()[0].port, "/record");
    cr_expect(record && record->find("waits-") == std::string::npos);
}

Test(product, waiting_behind_long_work_and_refusals_are_counted)
{
    served_cell cell(one_slot());
    auto client = cell.operators();
    const auto shows = [&](const std::string& text)
    {
        return wait_until(
            [&]
            {
                const auto page = client.Get("/metrics");
                return page && page->body.find(text) != std::string::npos;
            },
            answer_bound);
    };
    background_call render(cell, "/services/render/a?run_ms=15000", "long");
    cr_assert(runs(cell, "long"));
    cr_assert(shows("pimentoshunt_slots_in_use 1"));
    auto callers = cell.callers();
    const auto late =
        callers.Get("/services/desk/a", {{"Pimentoshunt-Deadline-Ms", "50"}});
    cr_assert(late);
    cr_expect_eq(late->status, 504);
    cr_expect(shows("pimentoshunt_refusals_total{workspace=\"dock\",class="
                    "\"service\",workload=\"desk\",kind="
                    "\"deadline_passed\"} 1"));
    cr_expect(
        shows("pimentoshunt_head_of_line_seconds_count{workspace=\"dock\","
              "class=\"service\",workload=\"desk\"} 1"));
    cr_expect_eq(callers.Delete("/requests/long")->status, 202);
}
