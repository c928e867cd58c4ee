/// @file
/// Tests of the command line: exit codes, output, and retries against a fake
/// operator port.
#include <pimentoshunt/cli/run.hpp>

#include <criterion/criterion.h>
#include <httplib.h>

#include <cstdlib> // mkstemp
#include <fstream> // ofstream
#include <sstream> // ostringstream
#include <string>  // string
#include <thread>  // thread
#include <unistd.h>
#include <utility> // move
#include <vector>  // vector

namespace cli = pimentoshunt::cli;

namespace
{

const std::string valid_plan =
    R"({"workspaces":[{"name":"t","quota":{"slots":8}}],)"
    R"("services":[{"name":"a","workspace":"t"}]})";

/// @brief Exit code and output of a command.
struct command_result
{
    int code = 0;
    std::string out;
    std::string err;
};

auto run(const std::vector<std::string>& arguments) -> command_result
{
    std::ostringstream out;
    std::ostringstream err;
    const auto serve = [](const pimentoshunt::settings& config)
    {
        return config.instance.str() == "i1" ? 0 : 1;
    };
    const auto code = cli::run(arguments, {out, err}, serve);
    return {code, out.str(), err.str()};
}

auto contains(const std::string& text, const std::string& part) -> bool
{
    return text.find(part) != std::string::npos;
}

/// @brief A file that is removed when the test ends.
class temporary_file
{
  public:
    explicit temporary_file(const std::string& text)
    {
        ::close(::mkstemp(m_name.data()));
        std::ofstream(m_name) << text;
    }
    temporary_file(const temporary_file&) = delete;
    auto operator=(const temporary_file&) -> temporary_file& = delete;
    ~temporary_file()
    {
        ::unlink(m_name.c_str());
    }

    [[nodiscard]] auto name() const -> const std::string&
    {
        return m_name;
    }

  private:
    std::string m_name = "/tmp/pimentoshunt-cli-XXXXXX";
};

/// @brief An HTTP server in place of an instance's operator port.
class fake_operator_port
{
  public:
    fake_operator_port()
    {
        m_port = m_server.bind_to_any_port("127.0.0.1");
    }
    fake_operator_port(const fake_operator_port&) = delete;
    auto operator=(const fake_operator_port&) -> fake_operator_port& = delete;
    ~fake_operator_port()
    {
        m_server.stop();
        m_thread.join();
    }

    auto server() -> httplib::Server&
    {
        return m_server;
    }
    auto start() -> void
    {
        m_thread = std::thread(
            [this]
            {
                m_server.listen_after_bind();
            });
    }
    /// @brief Flag that makes a command use this server.
    [[nodiscard]] auto flag() const -> std::string
    {
        return "--server=127.0.0.1:" + std::to_string(m_port);
    }

  private:
    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
};

/// @brief A plan store for the fake port; replaces the plan by
/// compare-and-swap of the revision.
struct fake_plan
{
    int revision = 3;
    std::string text;

    auto get(httplib::Response& response) const -> void
    {
        response.set_content(R"({"revision":)" + std::to_string(revision) +
                                 R"(,"text":")" + escaped() +
                                 R"(","confirmed_ms_ago":5,"instances":[]})",
                             "application/json");
    }
    auto put(const httplib::Request& request, httplib::Response& response)
        -> void
    {
        if (request.get_param_value("revision") != std::to_string(revision))
        {
            response.status = 409;
            response.set_content(
                R"({"read":2,"current":3,"changes":["added service z"]})",
                "application/json");
            return;
        }
        ++revision;
        text = request.body;
        response.set_content(R"({"revision":)" + std::to_string(revision) + "}",
                             "application/json");
    }

  private:
    [[nodiscard]] auto escaped() const -> std::string
    {
        std::string quoted;
        for (const auto letter : text)
        {
            quoted += letter == '"' ? "\\\"" : std::string(1, letter);
        }
        return quoted;
    }
};

auto serve_plan(fake_operator_port& port, fake_plan& plan) -> void
{
    port.server().Get("/plan",
                      [&](const httplib::Request&, httplib::Response& response)
                      {
                          plan.get(response);
                      });
    port.server().Put(
        "/plan",
        [&](const httplib::Request& request, httplib::Response& response)
        {
            plan.put(request, response);
        });
}

} // namespace

Test(cli, rejects_invalid_command_lines)
{
    cr_assert(run({}).code == 2);
    cr_assert(run({"frobnicate"}).code == 2);
    cr_assert(run({"status", "--colour=red"}).code == 2);
    cr_assert(run({"status", "--worker=w1"}).code == 2);
    cr_assert(run({"status", "--output=xml"}).code == 2);
    cr_assert(run({"status", "--timeout_ms=soon"}).code == 2);
    cr_assert(run({"serve"}).code == 2);
    cr_assert(run({"drain"}).code == 2);
    cr_assert(run({"check", "plan"}).code == 2);
    const auto missing = run({"check", "plan", "/no/such/file"});
    cr_assert(missing.code == 2);
    cr_assert(contains(missing.err, "/no/such/file"));
    cr_assert(contains(missing.err, "remedy: "));
}

Test(cli, has_help_for_each_command)
{
    for (const std::string name : {"serve", "check", "get", "diff", "apply",
                                   "status", "drain", "jobs", "version"})
    {
        const auto help = run({"help", name});
        cr_assert(help.code == 0);
        cr_assert(contains(help.out, "usage: pimentoshunt " + name));
        cr_assert(run({name, "--help"}).out == help.out);
        cr_assert(contains(run({"help"}).out, "\n  " + name));
    }
}

Test(cli, serve_checks_its_settings)
{
    const temporary_file valid(
        R"({"instance":"i1","data_centre":"d","platform_url":"http://a:1"})");
    cr_assert(run({"serve", "--settings=" + valid.name()}).code == 0);
    const temporary_file faulty("{}");
    const auto refused = run({"serve", "--settings=" + faulty.name()});
    cr_assert(refused.code == 1);
    cr_assert(contains(refused.err, "3 faults"));
}

Test(cli, check_lists_faults_in_both_forms)
{
    const temporary_file faulty("{\"services\": [{}],\n \"x\": 1}");
    const auto text = run({"check", "plan", faulty.name()});
    cr_assert(text.code == 1);
    cr_assert(contains(text.out, "line 2, /x: unknown key"));
    const auto json = run({"check", "plan", faulty.name(), "--output=json"});
    cr_assert(json.code == 1);
    cr_assert(json.out.find(R"({"faults":[{"pointer":"/services/0")") == 0);
    const temporary_file valid(valid_plan);
    cr_assert(run({"check", "plan", valid.name()}).code == 0);
}

Test(cli, applied_plan_is_read_back)
{
    fake_plan plan;
    fake_operator_port port;
    serve_plan(port, plan);
    port.start();
    const temporary_file file(valid_plan);

    const auto diff = run({"diff", file.name(), port.flag()});
    cr_assert(diff.code == 0);
    cr_assert(contains(diff.out, "added service a"));

    const auto stale = run({"apply", file.name(), port.flag(), "--revision=2"});
    cr_assert(stale.code == 4);
    cr_assert(contains(stale.err, "read revision 2, but revision 3"));
    cr_assert(contains(stale.err, "added service z"));
    cr_assert(plan.revision == 3);

    const auto applied = run({"apply", file.name(), port.flag()});
    cr_assert(applied.code == 0);
    cr_assert(contains(applied.out, "accepted as revision 4"));

    const auto again = run({"apply", file.name(), port.flag()});
    cr_assert(again.code == 0);
    cr_assert(plan.revision == 4);

    const auto got = run({"get", port.flag()});
    cr_assert(got.out == valid_plan);
    cr_assert(contains(got.err, "revision 4"));
}

// The first submission takes effect, but its answer reports an unknown outcome.
// The retry then gets a conflict, which must not be reported as a stale plan.
Test(cli, apply_resolves_a_lost_answer)
{
    fake_plan plan;
    fake_operator_port port;
    port.server().Get("/plan",
                      [&](const httplib::Request&, httplib::Response& response)
                      {
                          plan.get(response);
                      });
    port.server().Put("/plan",
                      [&, calls = 0](const httplib::Request& request,
                                     httplib::Response& response) mutable
                      {
                          plan.put(request, response);
                          if (++calls == 1)
                          {
                              // The plan was accepted, but the answer reports
                              // an unknown outcome.
                              response.status = 503;
                          }
                      });
    port.start();
    const temporary_file file(valid_plan);
    const auto applied = run({"apply", file.name(), port.flag()});
    cr_assert(applied.code == 0);
    cr_assert(contains(applied.out, "accepted as revision 4"));
    cr_assert(plan.revision == 4);
}

Test(cli, reports_an_unreachable_server)
{
    fake_operator_port unused;
    unused.start();
    const auto flag = unused.flag();
    const auto not_ours = run({"get", flag});
    cr_assert(not_ours.code == 3);
    const auto closed = run({"status", "--server=127.0.0.1:1"});
    cr_assert(closed.code == 3);
    cr_assert(contains(closed.err, "[transport.751]"));
}

Test(cli, status_and_jobs_print_text)
{
    fake_operator_port port;
    port.server().Get(
        "/status",
        [](const httplib::Request&, httplib::Response& response)
        {
            response.set_content(
                R"({"instance":"i1","plan":{"revision":7,)"
                R"("confirmed_ms_ago":20},"instances":[{"id":)"
                R"("i2","data_centre":"d","state":"active",)"
                R"("age_ms":9,"workers_held":5}],"workers":[)"
                R"({"id":"w1","state":"open","owner":"i1",)"
                R"("free":{"slots":3},"capacity":{"slots":8}}],)"
                R"("queues":[{"class":"batch","workspace":"t",)"
                R"("length":4,"wait_p50_ms":1,"wait_p99_ms":2}]})",
                "application/json");
        });
    std::string key;
    port.server().Post(
        "/jobs/render",
        [&](const httplib::Request& request, httplib::Response& response)
        {
            key = request.get_header_value("Idempotency-Key");
            response.status = 201;
            response.set_content(R"({"id":"j1","state":"queued"})",
                                 "application/json");
        });
    port.start();
    const auto status = run({"status", port.flag()});
    cr_assert(status.code == 0);
    cr_assert(contains(status.out, "instance i1, plan revision 7"));
    cr_assert(contains(status.out, "i2 in d: active, heard 9 ms ago, holds 5"));
    cr_assert(contains(status.out, "1 open: 3 of 8 slots"));
    cr_assert(contains(status.out,
                       "batch of workspace t: 4 wait; half waited up to"));

    const auto submitted = run({"jobs", "submit", "render", port.flag()});
    cr_assert(submitted.code == 0);
    cr_assert(submitted.out == "id: j1\nstate: queued\n");
    cr_assert(key.size() == 36);
    cr_assert(run({"jobs", "show", "none", port.flag()}).code == 1);
    cr_assert(run({"jobs", "show", "a b", port.flag()}).code == 2);
}
