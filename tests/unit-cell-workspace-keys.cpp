/// @file
/// Requests with keys at an instance whose knowledge of the configuration ages:
/// the real feed, authorizer and adapter on a fake store.
#include "fakes/fake_cell_pool.hpp"
#include "platform/gateway.hpp"

#include <pimentoshunt/cell/configuration_feed.hpp>
#include <pimentoshunt/cell/request_authorizer.hpp>
#include <pimentoshunt/cell/row_codec.hpp>

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace pimentoshunt;
using std::chrono::seconds;

namespace
{

/// The fake store, with the real encodings of callers and operators.
struct keyed_platform : fakes::fake_cell_platform
{
    using fake_cell_platform::fake_cell_platform;
    boost::asio::io_context unused;
    net::http_client client{unused, unused.get_executor(), {}};
    cell::meters meters;
    adapter::gateway real{client, meters, {}};
    /// Receives refreshes instead of the store, if set.
    std::function<void(cell::feed_handler)> on_refresh;
    /// Receives the feed's own calls likewise.
    std::function<void(cell::feed_handler)> on_feed;

    auto follow(const std::string& table, std::uint64_t after,
                milliseconds wait, cell::feed_handler done) -> void
    {
        const auto& target = wait == milliseconds(0) ? on_refresh : on_feed;
        if (target)
        {
            target(std::move(done));
            return;
        }
        fake_cell_platform::follow(table, after, wait, std::move(done));
    }
    auto read_configuration(const cell::stored_row& row) const
    {
        return real.read_configuration(row);
    }
    auto read_caller(const net::server_request& request,
                     const cell::configuration& in_force) const
    {
        return real.read_caller(request, in_force);
    }
    auto error_answer(int status, const std::string& text) const
    {
        return real.error_answer(status, text);
    }
    auto configuration_row() const
    {
        return real.configuration_row();
    }
};

/// What became of a request: served for a workspace, or refused.
struct outcome
{
    int status = 0;
    std::string workspace;
    seconds retry_after{0};
};

struct keys_fixture
{
    boost::asio::io_context control;
    fakes::fake_cell_store store{control};
    fakes::fake_cell_pool pool;
    keyed_platform platform{control, store, pool};
    cell::store_health health;
    cell::policy::configuration_bounds bounds{seconds(5), seconds(3)};
    cell::configuration_feed<keyed_platform> feed{
        platform, control, health, bounds, [](const cell::configuration&) {}};
    /// Time by which requests arrive later than they are sent by the test.
    milliseconds later{0};
    cell::request_authorizer<keyed_platform> authorizer{platform, context()};
    int version = 0;
    /// Its tasks need 4 processors each.
    const std::string job =
        R"({"spec":"","phases":[{"count":2,"cpu":4000,"estimatedMs":9}]})";

    auto context() -> cell::authorization_context
    {
        cell::authorization_context out;
        out.in_force = [this]
        {
            return feed.in_force();
        };
        out.freshness = [this]() -> const cell::policy::configuration_freshness&
        {
            return feed.freshness();
        };
        out.refresh = [this](std::function<void()> done)
        {
            return feed.refresh(std::move(done));
        };
        out.bounds = bounds;
        out.now = [this]
        {
            return boot_clock::now() + later;
        };
        return out;
    }

    auto run() -> void
    {
        control.restart();
        control.poll();
    }

    auto write(const std::string& value) -> void
    {
        store.commit({{}, {{platform.configuration_row(), value}}, {}},
                     milliseconds(100), [](const auto&) {});
        run();
    }

    auto configure(const std::string& workspaces) -> void
    {
        write(R"({"version":)" + std::to_string(++version) +
              R"(,"routes":[{"host":"h","pathPrefix":"/q/","name":"q"},)"
              R"({"host":"h","pathPrefix":"/open/","name":"o","public":true}],)"
              R"("tenants":)" +
              workspaces + "}");
    }

    /// Reads the configuration; the next answer of the feed is held back.
    auto start(const std::string& workspaces) -> void
    {
        configure(workspaces);
        feed.start();
        run();
    }

    auto send(const std::string& method, const std::string& target,
              const std::string& key, const std::string& body = {})
        -> std::shared_ptr<outcome>
    {
        auto out = std::make_shared<outcome>();
        net::server_request request;
        request.method = method;
        request.target = target;
        request.host = "h";
        request.body = body;
        if (!key.empty())
        {
            request.authorization = {"Bearer " + key};
        }
        authorizer.authorize(
            request, *feed.in_force(),
            [out](const net::server_response& answer)
            {
                out->status = answer.status;
                out->retry_after = answer.retry_after;
            },
            [out](const cell::caller_request& parsed,
                  const net::http_server::reply&)
            {
                out->status = parsed.route == nullptr ? 404 : 200;
                if (parsed.spec)
                {
                    // As an instance reads it that stores a forwarded job.
                    out->workspace =
                        cell::read_job(cell::to_bytes(*parsed.spec))
                            ->workspace.str();
                }
            });
        return out;
    }

    auto look_up(const std::string& key, const std::string& route = "/q/")
    {
        return send("GET", route + "00000000000000a1", key);
    }

    auto submit(const std::string& key, const std::string& route = "/q/")
    {
        return send("POST", route + "00000000000000a1", key, job);
    }

    /// Answers the waiting calls to the store.
    auto deliver() -> void
    {
        platform.deliver_changes();
        run();
    }
};

const std::string two_workspaces =
    R"([{"name":"a","apiKeys":["ka"]},{"name":"b","apiKeys":["kb"]}])";

} // namespace

// Guards against an instance that goes on with withdrawn keys or old routes
// while it is cut off from the store, and against one that refuses more.
Test(cell_workspace_keys, an_instance_cut_from_the_store_refuses_in_time)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    cr_assert_eq(fixture.submit("ka")->workspace, "a");
    cr_assert_eq(fixture.submit("")->status, 401);
    cr_assert_eq(fixture.send("GET", "/none/", "")->status, 404);
    cr_assert_eq(fixture.submit("", "/open/")->status, 200);
    cr_assert_eq(fixture.submit("ka", "/open/")->workspace, "");
    fixture.later = milliseconds(3'100);
    cr_assert_eq(fixture.look_up("ka")->status, 200);
    cr_assert_eq(fixture.submit("ka")->status, 503);
    cr_assert_eq(fixture.submit("")->status, 503);
    cr_assert_eq(fixture.send("GET", "/none/", "")->status, 503);
    cr_assert_eq(fixture.submit("", "/open/")->status, 503);
    cr_assert_eq(fixture.send("GET", "/open/", "")->status, 503);
    fixture.later = milliseconds(5'100);
    const auto refused = fixture.look_up("ka");
    cr_assert_eq(refused->status, 503);
    cr_assert(refused->retry_after > seconds(0));
    cr_assert_eq(fixture.look_up("", "/open/")->status, 200);
    cr_assert_eq(fixture.send("DELETE", "/open/00000000000000a1", "")->status,
                 200);
}

// Guards against refusals taken for proofs: the store turns away just this
// instance, whose calls end at once.
Test(cell_workspace_keys, refusals_of_the_store_prove_nothing)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    const auto proven = fixture.feed.proven_at();
    cr_assert(proven.has_value());
    fixture.store.is_unavailable = true;
    fixture.deliver();
    const auto held = fixture.look_up("unknown");
    cr_assert_eq(held->status, 0);
    fixture.deliver();
    cr_assert(fixture.feed.proven_at() == proven);
    cr_assert_eq(held->status, 401);
    fixture.later = milliseconds(3'100);
    cr_assert_eq(fixture.look_up("unknown")->status, 503);
}

// Guards against an instance that can't refresh for good once the store has
// dropped the history.
Test(cell_workspace_keys, a_compacted_history_is_replaced_by_the_row)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    const auto proven = fixture.feed.proven_at();
    fixture.configure(R"([{"name":"a","apiKeys":["new"]}])");
    fixture.store.history_gone_answers = 2;
    const auto held = fixture.submit("new");
    fixture.deliver();
    fixture.run();
    cr_assert_eq(held->workspace, "a");
    cr_assert(fixture.feed.proven_at() > proven);
}

// Guards against callers with garbage keys who load the store or wait in
// numbers: 500 callers, one call to the store.
Test(cell_workspace_keys, garbage_keys_cost_the_store_a_bounded_number_of_calls)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    fixture.deliver();
    const auto calls = fixture.store.feed_waits.size();
    constexpr std::size_t callers = 500;
    std::vector<std::shared_ptr<outcome>> out(callers);
    for (std::size_t i = 0; i < callers; ++i)
    {
        out[i] = fixture.submit("x" + std::to_string(i));
    }
    const auto waiting = [&]
    {
        return std::count_if(out.begin(), out.end(),
                             [](const auto& one)
                             {
                                 return one->status == 0;
                             });
    };
    cr_assert_eq(waiting(), 64);
    fixture.deliver();
    cr_assert_eq(waiting(), 0);
    // The feed's own call and one refresh.
    cr_assert_leq(fixture.store.feed_waits.size(), calls + 2);
    cr_assert(std::all_of(out.begin(), out.end(),
                          [](const auto& one)
                          {
                              return one->status == 401;
                          }));
    cr_assert_eq(fixture.look_up("y")->status, 401, "a refresh is not due");
}

// Guards against callers who wait for a store that doesn't answer.
Test(cell_workspace_keys, a_silent_store_holds_callers_for_a_bounded_time)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    const auto held = fixture.look_up("unknown");
    const auto began = boot_clock::now();
    fixture.control.restart();
    while (held->status == 0 && boot_clock::now() - began < seconds(2))
    {
        fixture.control.run_one_for(milliseconds(20));
    }
    cr_assert_eq(held->status, 401);
    cr_assert(boot_clock::now() - began >= milliseconds(380));
    cr_assert_eq(fixture.look_up("other")->status, 401);
}

// Guards against jobs that count for the workspace that has lost a key, and
// against 401 for a key that has just been added.
Test(cell_workspace_keys, a_key_that_moves_belongs_to_its_new_workspace)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    fixture.configure(R"([{"name":"a"},{"name":"b","apiKeys":["ka","kc"]}])");
    const auto held = fixture.submit("kc");
    cr_assert_eq(held->status, 0);
    fixture.deliver();
    cr_assert_eq(held->workspace, "b");
    cr_assert_eq(fixture.submit("ka")->workspace, "b");
}

// Guards against a workspace that goes on after its removal, and against one
// last workspace whose removal opens all routes.
Test(cell_workspace_keys, keys_of_a_removed_workspace_are_unknown)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    fixture.configure("[]");
    fixture.deliver();
    const auto held = fixture.submit("ka");
    fixture.deliver();
    cr_assert_eq(held->status, 401);
    cr_assert_eq(fixture.look_up("", "/open/")->status, 200);
}

// Guards against withdrawn keys that stay valid because the version that
// withdraws them can't be read.
Test(cell_workspace_keys, an_unreadable_version_proves_nothing)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    const auto proven = fixture.feed.proven_at();
    fixture.write("{");
    fixture.deliver();
    fixture.deliver();
    cr_assert(fixture.feed.proven_at() == proven);
    fixture.configure(two_workspaces);
    fixture.deliver();
    cr_assert(fixture.feed.proven_at() > proven);
}

// Guards against an older version that arrives late and makes the newest one
// count as readable.
Test(cell_workspace_keys, a_late_answer_doesnt_replace_a_newer_version)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    cell::feed_result late;
    late.state = cell::feed_state::changes;
    late.rows = {fixture.store.row(fixture.platform.configuration_row())};
    cell::feed_handler done;
    fixture.platform.on_refresh = [&](cell::feed_handler handler)
    {
        done = std::move(handler);
    };
    cr_assert(fixture.feed.refresh({}));
    fixture.write("{");
    fixture.deliver();
    done(late);
    const auto proven = fixture.feed.proven_at();
    fixture.deliver();
    cr_assert(fixture.feed.proven_at() == proven);
}

// Guards against an instance that serves, or asks for changes since nothing,
// before its first read.
Test(cell_workspace_keys, a_restarted_instance_knows_nothing_until_it_has_read)
{
    keys_fixture fixture;
    fixture.configure(two_workspaces);
    fixture.store.is_unavailable = true;
    fixture.feed.start();
    fixture.run();
    cr_assert_null(fixture.feed.in_force());
    cr_assert_not(cell::policy::is_fresh_for_keys(
        fixture.feed.freshness(), fixture.bounds, boot_clock::now()));
    cr_assert_not(fixture.feed.refresh({}));
}

// Guards against jobs that wait for good, since they can never run.
Test(cell_workspace_keys, tasks_and_gangs_above_the_limit_are_refused)
{
    keys_fixture fixture;
    fixture.start(R"([{"name":"a","apiKeys":["ka"],"maxCount":{"cpu":3999}},)"
                  R"({"name":"b","apiKeys":["kb"],"maxCount":{"cpu":4000}}])");
    cell::job_spec job;
    job.steps.resize(1);
    job.steps[0].count = 3;
    job.steps[0].need.millicpus = 1'334;
    const auto& limited = fixture.feed.in_force()->workspaces[1];
    cr_assert_eq(cell::policy::find_step_over_limit(job, limited), "");
    job.steps[0].gang = true;
    cr_assert_neq(cell::policy::find_step_over_limit(job, limited), "");
    job.steps[0].need.millicpus = 1'333;
    cr_assert_eq(cell::policy::find_step_over_limit(job, limited), "");
    cr_assert_eq(fixture.submit("kb")->workspace, "b");
    cr_assert_eq(fixture.submit("ka")->status, 400);
}

// Guards against a frozen process that wakes and takes its knowledge for fresh,
// against wall clocks that are set, and against answers in another order than
// their calls.
Test(cell_workspace_keys, knowledge_is_dated_by_the_sending_of_the_call)
{
    cell::policy::configuration_freshness freshness;
    static_assert(std::is_same_v<decltype(freshness.proven_at()),
                                 std::optional<boot_clock::time_point>>);
    const time_point sent{seconds(100)};
    const auto bound = std::optional(milliseconds(5'000));
    cr_assert_not(freshness.is_within(bound, sent));
    freshness.on_proof(sent);
    freshness.on_proof(sent - seconds(1));
    cr_assert(freshness.is_within(bound, sent + seconds(5)));
    cr_assert_not(freshness.is_within(bound, sent + seconds(5) +
                                                 std::chrono::nanoseconds(1)));
    cr_assert_not(freshness.is_within(bound, sent + seconds(60)));
    freshness.on_proof(sent + seconds(60));
    cr_assert(freshness.is_within(bound, sent + seconds(61)));
    cr_assert(freshness.is_within({}, sent + seconds(999)));
}

// Guards against routes that are open to all because the list of workspaces has
// another type.
Test(cell_workspace_keys, a_malformed_list_of_workspaces_opens_no_route)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    const auto proven = fixture.feed.proven_at();
    fixture.configure(R"({"a":{"apiKeys":["ka"]}})");
    fixture.deliver();
    cr_assert_eq(fixture.submit("")->status, 401);
    cr_assert(fixture.feed.proven_at() == proven);
    fixture.configure("null");
    fixture.deliver();
    cr_assert_eq(fixture.submit("")->status, 200, "a list was never given");
}

// Guards against a key that stays valid because operators go back to an earlier
// version of the configuration.
Test(cell_workspace_keys, the_newest_row_is_in_force_whatever_its_version_says)
{
    keys_fixture fixture;
    fixture.version = 7;
    fixture.start(two_workspaces);
    fixture.version = 3;
    fixture.configure(R"([{"name":"b","apiKeys":["kb"]}])");
    fixture.deliver();
    const auto withdrawn = fixture.submit("ka");
    fixture.deliver();
    cr_assert_eq(withdrawn->status, 401);
    cr_assert_eq(fixture.submit("kb")->status, 200);
}

// Guards against answers of a store that lags behind what it has shown before,
// or that lack a version, which would keep withdrawn keys valid.
Test(cell_workspace_keys, an_answer_older_than_what_is_known_proves_nothing)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    const auto proven = fixture.feed.proven_at();
    cell::feed_handler refreshed;
    fixture.platform.on_refresh = [&](cell::feed_handler done)
    {
        refreshed = std::move(done);
    };
    cell::feed_result lagging;
    lagging.state = cell::feed_state::changes;
    cr_assert(fixture.feed.refresh({}));
    refreshed(lagging);
    cr_assert(fixture.feed.proven_at() == proven, "by a refresh");
    cell::feed_handler followed;
    fixture.platform.on_feed = [&](cell::feed_handler done)
    {
        followed = std::move(done);
    };
    fixture.deliver();
    const auto since = fixture.feed.proven_at();
    followed(lagging);
    cr_assert(fixture.feed.proven_at() == since, "by the feed");
}

// Guards against 401 for a new key after a pause of the process: the end of one
// wait ended the next one too.
Test(cell_workspace_keys, the_end_of_a_wait_doesnt_end_the_next_one)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    std::vector<cell::feed_handler> refreshes;
    fixture.platform.on_refresh = [&](cell::feed_handler done)
    {
        refreshes.push_back(std::move(done));
    };
    const auto first = fixture.look_up("unknown");
    std::shared_ptr<outcome> second;
    boost::asio::post(fixture.control,
                      [&]
                      {
                          std::this_thread::sleep_for(milliseconds(550));
                          boost::asio::post(fixture.control,
                                            [&]
                                            {
                                                refreshes.at(0)({});
                                                second = fixture.look_up("new");
                                            });
                      });
    fixture.run();
    cr_assert_eq(first->status, 401);
    cr_assert_eq(refreshes.size(), 2u);
    cr_assert_eq(second->status, 0, "waits for its own refresh");
}

// Guards against 401 for a key that has been in force for long when the process
// resumes from a pause in which a request waited.
Test(cell_workspace_keys, a_request_held_for_too_long_is_not_unauthorized)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    cell::feed_handler refreshed;
    fixture.platform.on_refresh = [&](cell::feed_handler done)
    {
        refreshed = std::move(done);
    };
    const auto held = fixture.look_up("new");
    fixture.later = seconds(10);
    refreshed({});
    cr_assert_eq(held->status, 503);
}

// Guards against calls refused for another second after an outage: the read
// that ended it was dated by its first attempt.
Test(cell_workspace_keys, a_read_is_dated_by_the_attempt_that_succeeded)
{
    keys_fixture fixture;
    fixture.start(two_workspaces);
    fixture.store.is_unavailable = true;
    fixture.deliver();
    const auto run_for = [&](milliseconds time)
    {
        fixture.control.restart();
        fixture.control.run_for(time);
    };
    run_for(milliseconds(250));
    const auto served_at = boot_clock::now();
    fixture.store.is_unavailable = false;
    run_for(milliseconds(250));
    cr_assert(fixture.feed.proven_at() >= served_at);
}
