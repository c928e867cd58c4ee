/// @file
/// Runs batch jobs and gangs on real processes and checks repeats, the loss
/// and the pause of an owner, and cancellation.
#include "support/cell.hpp"
#include "support/checker.hpp"
#include "support/wait_until.hpp"

#include <pimentoshunt/jobs/job_record.hpp>
#include <pimentoshunt/ownership/assignment.hpp>

#include <boost/json/parse.hpp>

#include <criterion/criterion.h>

#include <httplib.h>

#include <string> // string
#include <vector> // vector

using namespace pimentoshunt;
using namespace pimentoshunt::testing;

namespace
{

constexpr const char* jobs_plan = R"({
  "workspaces": [{"name": "press", "quota": {"slots": 64, "millicpus": 64000,
                                          "memory_mb": 64000}}],
  "batch": [{"name": "sweep", "workspace": "press", "idempotent": true,
             "run_time_ms": 300, "resources": {"slots": 1, "millicpus": 100,
                                               "memory_mb": 100}}],
  "gangs": [{"name": "plates", "workspace": "press", "tasks": 12,
             "idempotent": true, "run_time_ms": 2500,
             "resources": {"slots": 1, "millicpus": 100, "memory_mb": 100}}]
})";

/// Longest time to the end of a job, also after the failures injected here.
constexpr milliseconds end_timeout{45'000};
constexpr milliseconds step_timeout{15'000};

/// Returns a job id whose partition instance @p owner, one of three, owns.
auto make_job_id_owned_by(const std::string& owner, const std::string& prefix)
    -> std::string
{
    const std::vector<instance_id> all{instance_id("i0"), instance_id("i1"),
                                       instance_id("i2")};
    for (int i = 0;; ++i)
    {
        auto id = prefix + std::to_string(i);
        const auto partition =
            jobs::partition_name(jobs::partition_of(job_id(id)));
        if (ownership::rendezvous_owner("partition/" + partition, all).str() ==
            owner)
        {
            return id;
        }
    }
}

/// A running cell whose first instance has accepted the plan with the jobs.
class job_run
{
  public:
    explicit job_run(const cell_options& options) : m_cell(options)
    {
        const auto start_error = m_cell.start();
        cr_assert(start_error.empty(), "%s", start_error.c_str());
        httplib::Client client("127.0.0.1", port(0));
        const auto answer =
            client.Put("/plan?revision=0", jobs_plan, "application/json");
        cr_assert(answer && answer->status == 200);
    }

    auto test_cell() -> cell&
    {
        return m_cell;
    }

    auto port(std::size_t instance) -> int
    {
        return m_cell.instances().at(instance).operator_port;
    }

    /// Submits a job, repeatedly until the plan is in force at the instance.
    /// The job id is the idempotency key, so a repeat creates no second job.
    auto submit(std::size_t instance, const std::string& workload,
                const std::string& id) -> void
    {
        httplib::Client client("127.0.0.1", port(instance));
        const auto is_accepted = [&]
        {
            const auto answer =
                client.Post("/jobs/" + workload, {{"Idempotency-Key", id}}, "x",
                            "text/plain");
            return answer && answer->status / 100 == 2;
        };
        cr_assert(wait_until(is_accepted, step_timeout),
                  "job %s was not accepted", id.c_str());
    }

    auto state(std::size_t instance, const std::string& id) -> std::string
    {
        const auto text = http_get(port(instance), "/jobs/" + id);
        return text ? boost::json::parse(*text).at("state").as_string().c_str()
                    : "unknown";
    }

    auto wait_state(std::size_t instance, const std::string& id,
                    const std::string& expected_state) -> bool
    {
        return wait_until(
            [&]
            {
                return state(instance, id) == expected_state;
            },
            end_timeout);
    }

    auto count_starts(const std::string& job) -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& event : m_cell.collect_history({}).events)
        {
            count += event.kind == observed_kind::start && event.job == job;
        }
        return count;
    }

    auto wait_for_starts(const std::string& job, std::size_t minimum) -> bool
    {
        return wait_until(
            [&]
            {
                return count_starts(job) >= minimum;
            },
            step_timeout);
    }

    auto verify_history() -> void
    {
        const auto violations = find_violations(m_cell.collect_history({}));
        cr_assert(violations.empty(), "%s", describe(violations).c_str());
    }

  private:
    cell m_cell;
};

auto three_instances() -> cell_options
{
    cell_options options;
    options.instances = 3;
    options.workers_per_process = 4;
    return options;
}

} // namespace

Test(jobs, gangs_that_do_not_fit_together_run_in_turn)
{
    job_run run(three_instances());
    // Three gangs of twelve tasks need 36 slots; the workers have 32.
    run.submit(0, "plates", "gang-a");
    run.submit(1, "plates", "gang-b");
    run.submit(2, "plates", "gang-c");
    for (const auto* const id : {"gang-a", "gang-b", "gang-c"})
    {
        cr_assert(run.wait_state(0, id, "succeeded"), "%s is %s", id,
                  run.state(0, id).c_str());
    }
    run.verify_history();
}

Test(jobs, a_repeat_of_a_submission_makes_no_second_job)
{
    job_run run(three_instances());
    run.submit(0, "sweep", "once");
    run.submit(1, "sweep", "once");
    cr_assert(run.wait_state(2, "once", "succeeded"));
    cr_assert(run.count_starts("once") == 1);
}

Test(jobs, no_task_is_in_two_places_after_the_loss_of_its_owner)
{
    job_run run(three_instances());
    const auto interrupted_job = make_job_id_owned_by("i1", "loss");
    run.submit(0, "plates", interrupted_job);
    cr_assert(run.wait_for_starts(interrupted_job, 12));
    run.test_cell().instances().at(1).program.kill();
    cr_assert(run.wait_state(0, interrupted_job, "succeeded"), "the job is %s",
              run.state(0, interrupted_job).c_str());
    run.verify_history();
}

Test(jobs, an_owner_paused_past_its_leases_starts_nothing_twice)
{
    job_run run(three_instances());
    const auto first_job = make_job_id_owned_by("i2", "pause");
    run.submit(0, "plates", first_job);
    cr_assert(run.wait_for_starts(first_job, 12));
    auto& paused = run.test_cell().instances().at(2).program;
    paused.pause();
    cr_assert(run.wait_state(0, first_job, "succeeded"));
    paused.resume();
    const auto second_job = make_job_id_owned_by("i2", "after");
    run.submit(0, "sweep", second_job);
    cr_assert(run.wait_state(0, second_job, "succeeded"));
    run.verify_history();
}

Test(jobs, a_cancelled_job_ends_and_its_tasks_stop)
{
    job_run run(three_instances());
    run.submit(0, "plates", "cancel");
    cr_assert(run.wait_for_starts("cancel", 12));
    httplib::Client client("127.0.0.1", run.port(1));
    const auto answer = client.Delete("/jobs/cancel");
    cr_assert(answer && answer->status == 202);
    cr_assert(run.wait_state(0, "cancel", "cancelled"));
    cr_assert(wait_until(
        [&]
        {
            return run.test_cell().workers_idle();
        },
        step_timeout));
    run.verify_history();
}
