#include "cell.hpp"
#include "wait_until.hpp"

#include <criterion/criterion.h>
#include <httplib.h>

#include <atomic> // atomic
#include <thread> // jthread

using namespace pimentoshunt::testing;
using pimentoshunt::milliseconds;

namespace
{

namespace json = boost::json;

constexpr milliseconds bound{5'000};

auto small_cell(std::vector<std::string> worker_flags = {}) -> cell_options
{
    cell_options options;
    options.instances = 1;
    options.workers_per_process = 2;
    options.worker_flags = std::move(worker_flags);
    return options;
}

/// Cell of stand-ins without instances of the system, with functions for the
/// requests to the platform and to the first worker.
class stand_ins
{
  public:
    explicit stand_ins(cell_options options = small_cell())
        : m_cell(std::move(options))
    {
        const auto start_error = m_cell.start_stand_ins();
        cr_assert(start_error.empty(), "%s", start_error.c_str());
    }

    auto test_cell() -> cell&
    {
        return m_cell;
    }

    auto platform(const std::string& path, const std::string& body = "")
        -> httplib::Result
    {
        return send(m_cell.platform_port(), path, body, {});
    }

    auto worker(const std::string& path, const std::string& body = "{}",
                const httplib::Headers& headers = {}) -> httplib::Result
    {
        return send(m_cell.workers()[0].port, "/w/0" + path, body, headers);
    }

    auto run(const std::string& attempt, const std::string& subpath = "/x",
             const std::string& more = "slots=1") -> httplib::Result
    {
        return worker("/run" + subpath, "body of " + attempt,
                      {{"Pimentoshunt-Attempt", attempt},
                       {"Pimentoshunt-Epoch", "3"},
                       {"Pimentoshunt-Workload", "desk"},
                       {"Pimentoshunt-Resources", more},
                       {"X-Request-Id", "r-" + attempt}});
    }

    auto task(const std::string& attempt, int lease_ms, int run_ms,
              const std::string& partition_epoch = "2") -> httplib::Result
    {
        return worker("/tasks",
                      R"({"attempt":")" + attempt +
                          R"(","workload":"b","job":"j","task":1,"epoch":3,)"
                          R"("partition":"p5","partition_epoch":)" +
                          partition_epoch +
                          R"(,"resources":{"slots":1},"lease_ms":)" +
                          std::to_string(lease_ms) + R"(,"run_ms":)" +
                          std::to_string(run_ms) + R"(,"body":""})");
    }

    /// Revokes an attempt and returns the state that the response reports.
    auto state_of(const std::string& attempt) -> std::string
    {
        const auto answer = worker("/attempts/" + attempt + "/revoke");
        return json::parse(answer->body).at("state").as_string().c_str();
    }

    auto fence(int epoch, const std::string& holder = "i1#1") -> int
    {
        return worker("/fence", R"({"epoch":)" + std::to_string(epoch) +
                                    R"(,"holder":")" + holder + "\"}")
            ->status;
    }

  private:
    /// Sends a POST request if there is a body, else a GET request.
    static auto send(int port, const std::string& path, const std::string& body,
                     const httplib::Headers& headers) -> httplib::Result
    {
        httplib::Client client("127.0.0.1", port);
        client.set_read_timeout(bound);
        return body.empty() ? client.Get(path, headers)
                            : client.Post(path, headers, body,
                                          "application/octet-stream");
    }

    cell m_cell;
};

auto refusal_reason(const httplib::Result& answer) -> std::string
{
    return answer->status == 409
               ? answer->get_header_value("Pimentoshunt-Refused")
               : std::to_string(answer->status);
}

} // namespace

Test(standins, table_commits_all_or_nothing)
{
    stand_ins cell;
    const auto first = cell.platform(
        "/commit",
        R"({"write_id":"a","ops":[{"key":"k/1","expect":0,"value":"v"}]})");
    cr_assert(first->body == R"({"versions":[1]})");
    const auto second = cell.platform(
        "/commit", R"({"write_id":"b","ops":[{"key":"k/2","value":"v"},)"
                   R"({"key":"k/1","expect":7,"delete":true}]})");
    cr_assert(second->status == 409);
    cr_assert(second->body ==
              R"({"conflicts":[{"key":"k/1","version":1,"write_id":"a"}]})");
    cr_assert(cell.platform("/table/k/2")->status == 404);
    cr_assert(
        cell.platform("/table?prefix=k/&limit=5")->body ==
        R"({"rows":[{"key":"k/1","value":"v","version":1,"write_id":"a"}]})");
}

Test(standins, lost_reply_leaves_the_commit_in_effect)
{
    stand_ins cell;
    cr_assert(cell.test_cell().set_platform_faults({{"drop_replies", 1}}));
    const auto lost = cell.platform(
        "/commit", R"({"write_id":"a","ops":[{"key":"k","value":"v"}]})");
    cr_assert(!lost);
    const auto row = json::parse(cell.platform("/table/k")->body);
    cr_assert(row.at("write_id").as_string() == "a");
    cr_assert(cell.test_cell().platform_stats().at("dropped_replies") == 1);
}

Test(standins, outage_refuses_or_hangs_and_ends)
{
    stand_ins cell;
    cr_assert(cell.test_cell().set_platform_faults({{"outage", "refuse"}}));
    cr_assert(cell.platform("/table/k")->status == 503);
    cr_assert(cell.test_cell().set_platform_faults({{"outage", "hang"}}));
    std::atomic<int> status{0};
    {
        const std::jthread waiting(
            [&]
            {
                status = cell.platform("/table/k")->status;
            });
        cr_assert(cell.test_cell().set_platform_faults({{"outage", "none"}}));
    }
    cr_assert(status == 503 || status == 404);
    cr_assert(cell.platform("/table/k")->status == 404);
}

Test(standins, frozen_list_stays_as_it_was)
{
    stand_ins cell;
    const auto before = cell.platform("/instances")->body;
    cr_assert(before.find(R"("id":"w1")") != std::string::npos);
    cr_assert(cell.test_cell().set_platform_faults({{"freeze_list", true}}));
    cr_assert(cell.test_cell().set_listed_state("w1", "leaving"));
    cr_assert(cell.platform("/instances")->body == before);
    cr_assert(cell.test_cell().set_platform_faults({{"freeze_list", false}}));
    cr_assert(cell.platform("/instances")->body != before);
}

Test(standins, worker_refuses_other_epochs_and_known_attempts)
{
    stand_ins cell;
    cr_assert(refusal_reason(cell.run("a0")) == "fenced");
    cr_assert(cell.fence(3) == 200);
    cr_assert(cell.fence(3) == 200);
    cr_assert(cell.fence(3, "i2#1") == 409);
    cr_assert(cell.fence(2) == 409);
    const auto answer = cell.run("a1", "/x?status=404");
    cr_assert(answer->status == 404);
    cr_assert(answer->body == "body of a1");
    cr_assert(answer->get_header_value("Pimentoshunt-Attempt") == "a1");
    cr_assert(refusal_reason(cell.run("a1")) == "duplicate");
    cr_assert(cell.state_of("a1") == "finished");
    cr_assert(cell.state_of("a2") == "revoked");
    cr_assert(refusal_reason(cell.run("a2")) == "revoked");
    cr_assert(cell.fence(4, "i2#1") == 200);
    cr_assert(refusal_reason(cell.run("a3")) == "fenced");
}

Test(standins, worker_closes_in_mid_body_when_asked)
{
    stand_ins cell;
    cr_assert(cell.fence(3) == 200);
    cr_assert(!cell.run("a1", "/x?fail_mode=close_mid_body"));
}

Test(standins, worker_fails_hangs_and_leaves_when_told)
{
    stand_ins cell;
    cr_assert(cell.fence(3) == 200);
    cr_assert(cell.test_cell().set_worker_faults(0, {{"fail", true}}));
    cr_assert(cell.run("a1")->status == 500);
    cr_assert(cell.test_cell().set_worker_faults(
        0, {{"fail", false}, {"leaving", true}}));
    cr_assert(refusal_reason(cell.run("a2")) == "leaving");
    cr_assert(cell.test_cell().set_worker_faults(
        0, {{"refuse_when_leaving", false}}));
    cr_assert(cell.run("a3")->status == 200);
    auto run = cell.test_cell().collect_history({});
    run.leaving_grace_period = milliseconds{0};
    cr_assert(find_violations(run).size() == 1, "%s",
              describe(find_violations(run)).c_str());
}

Test(standins, task_ends_by_completion_lease_expiry_or_stop)
{
    stand_ins cell;
    cr_assert(cell.fence(3) == 200);
    const auto reaches =
        [&](const std::string& attempt, const std::string& state)
    {
        return wait_until(
            [&]
            {
                return cell.state_of(attempt) == state;
            },
            bound);
    };
    cr_assert(cell.task("t1", 60'000, 20)->status == 201);
    cr_assert(reaches("t1", "finished"));
    cr_assert(cell.task("t2", 20, 60'000)->status == 201);
    cr_assert(reaches("t2", "stopped"));
    cr_assert(cell.task("t3", 60'000, 60'000)->status == 201);
    const auto renewed =
        cell.worker("/leases", R"({"attempts":["t2","t3"],"lease_ms":60000})");
    cr_assert(renewed->body == R"({"lapsed":["t2"]})");
    cr_assert(cell.worker("/attempts/t3/stop")->status == 200);
    cr_assert(cell.state_of("t3") == "stopped");
    cr_assert(find_violations(cell.test_cell().collect_history({})).empty());
}

Test(standins, throttling_changes_the_speed_of_a_running_task)
{
    stand_ins cell;
    cr_assert(cell.fence(3) == 200);
    cr_assert(cell.task("t1", 120'000, 60'000)->status == 201);
    // Speeds the task up, so that the test does not have to wait 60 s for its
    // end.
    const auto very_fast = R"({"percent":100000000})";
    cr_assert(cell.worker("/attempts/t1/throttle", very_fast)->status == 200);
    cr_assert(wait_until(
        [&]
        {
            return cell.state_of("t1") == "finished";
        },
        bound));
    cr_assert(cell.worker("/attempts/t1/throttle", very_fast)->status == 404);
}

Test(standins, partition_fence_refuses_lower_epochs)
{
    stand_ins cell;
    cr_assert(cell.fence(3) == 200);
    cr_assert(cell.task("t1", 60'000, 60'000)->status == 201);
    const std::string at_3 = R"({"partition":"p5","epoch":3})";
    const auto fenced = cell.worker("/partition-fence", at_3);
    cr_assert(fenced->status == 200);
    cr_assert(fenced->body.find(R"("attempt":"t1")") != std::string::npos);
    cr_assert(cell.worker("/partition-fence", at_3)->status == 200);
    cr_assert(cell.worker("/partition-fence", R"({"partition":"p5","epoch":2})")
                  ->status == 409);
    cr_assert(refusal_reason(cell.task("t2", 60'000, 1)) == "fenced");
}

Test(standins, worker_exceeds_its_capacity_and_records_a_violation)
{
    stand_ins cell;
    cr_assert(cell.fence(3) == 200);
    cr_assert(cell.run("a1", "/x", "slots=9")->status == 200);
    const auto port = cell.test_cell().workers()[0].port;
    const auto violations = http_get(port, "/record/violations");
    cr_assert(violations->find("over_capacity") != std::string::npos);
    const auto found = find_violations(cell.test_cell().collect_history({}));
    cr_assert(found.size() == 1 &&
              found[0].kind == violation_kind::over_capacity);
}

Test(standins, worker_refuses_over_capacity_when_it_enforces)
{
    stand_ins cell(small_cell({"--enforce_capacity"}));
    cr_assert(cell.fence(3) == 200);
    cr_assert(refusal_reason(cell.run("a1", "/x", "slots=9")) == "capacity");
    cr_assert(cell.run("a2", "/x", "slots=8")->status == 200);
}

Test(standins, workers_are_listed_behind_their_proxy)
{
    auto options = small_cell();
    options.proxy_workers = true;
    stand_ins cell(options);
    auto& proxy = *cell.test_cell().workers()[0].from_instances;
    const auto list = cell.platform("/instances")->body;
    const auto url = "127.0.0.1:" + std::to_string(proxy.port()) + "/w/0";
    cr_assert(list.find(url) != std::string::npos);
    cr_assert(http_get(proxy.port(), "/w/0/state").has_value());
    proxy.set_faults({.cut = true});
    cr_assert(!http_get(proxy.port(), "/w/0/state").has_value());
    cr_assert(cell.test_cell().links().size() == 1);
}

Test(standins, record_outlives_a_kill_of_the_workers)
{
    stand_ins cell;
    cr_assert(cell.fence(3) == 200);
    cr_assert(cell.task("t1", 60'000, 60'000)->status == 201);
    cell.test_cell().kill_workers(0);
    const auto run = cell.test_cell().collect_history({});
    cr_assert(run.events.back().kind == observed_kind::start);
    cr_assert(run.kills.size() == 2);
}

Test(standins, workers_take_a_burst_of_connections)
{
    stand_ins cell(small_cell({"--connections=1000"}));
    cr_assert(cell.fence(3) == 200);
    std::atomic<int> answered{0};
    {
        std::vector<std::jthread> callers;
        callers.reserve(300);
        for (int i = 0; i < 300; ++i)
        {
            callers.emplace_back(
                [&, i]
                {
                    const auto attempt = "a" + std::to_string(i);
                    const auto answer =
                        cell.run(attempt, "/x?run_ms=100", "millicpus=1");
                    answered += answer && answer->body == "body of " + attempt;
                });
        }
    }
    cr_assert(answered == 300, "%d", answered.load());
    cr_assert(find_violations(cell.test_cell().collect_history({})).empty());
}
