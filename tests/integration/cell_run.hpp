/// @file
/// One run of a small cell under load: the plan in force, callers in the
/// background, and the verdict from the workers' and callers' records.
#pragma once

#include "support/caller.hpp"
#include "support/cell.hpp"
#include "support/checker.hpp"
#include "support/operator_calls.hpp"
#include "support/wait_until.hpp"

#include <pimentoshunt/ownership/assignment.hpp>

#include <criterion/criterion.h>

#include <httplib.h>

#include <algorithm>  // all_of, any_of, remove_if, stable_sort
#include <cstddef>    // size_t
#include <cstdint>    // int64_t
#include <functional> // function
#include <future>     // async, future
#include <map>        // map
#include <string>     // string
#include <utility>    // move
#include <vector>     // vector

namespace pimentoshunt::testing
{

/// "desk" may run once, "reader" again; "wide" takes half a worker; "brief"
/// gives up soon, "prompt" a little later.
inline constexpr const char* test_plan = R"({
  "workspaces": [{"name": "dock", "quota": {"slots": 400, "millicpus": 800000,
                                         "memory_mb": 3200000}}],
  "services": [
    {"name": "desk", "workspace": "dock", "deadline_ms": 10000, "run_time_ms": 10,
     "resources": {"slots": 1, "millicpus": 2000, "memory_mb": 4096}},
    {"name": "reader", "workspace": "dock", "deadline_ms": 10000,
     "run_time_ms": 10, "idempotent": true,
     "resources": {"slots": 1, "millicpus": 2000, "memory_mb": 4096}},
    {"name": "wide", "workspace": "dock", "deadline_ms": 10000, "run_time_ms": 20,
     "resources": {"slots": 1, "millicpus": 4000, "memory_mb": 8192}},
    {"name": "prompt", "workspace": "dock", "deadline_ms": 2500,
     "run_time_ms": 10,
     "resources": {"slots": 1, "millicpus": 2000, "memory_mb": 4096}},
    {"name": "brief", "workspace": "dock", "deadline_ms": 300, "run_time_ms": 10,
     "resources": {"slots": 1, "millicpus": 2000, "memory_mb": 4096}}
  ]})";

inline constexpr milliseconds settle_timeout{15'000};

/// @brief Three instances and eight workers in two processes; a worker holds
/// four "desk" requests by its processors, three by its connections.
inline auto small_cell_options() -> cell_options
{
    cell_options options;
    options.instances = 3;
    options.worker_processes = 2;
    options.workers_per_process = 4;
    options.worker_flags = {"--slots=6", "--millicpus=8000",
                            "--memory_mb=16384", "--connections=3"};
    return options;
}

/// @brief Requests that ran in two places at a time, retries included.
///
/// A run ends when its worker says so, or with the worker.
inline auto describe_overlapping_runs(const evidence& run) -> std::string
{
    std::map<std::string, std::vector<observed_event>> running;
    std::string found;
    auto events = run.events;
    std::stable_sort(events.begin(), events.end(),
                     [](const observed_event& left, const observed_event& right)
                     {
                         return left.at_us < right.at_us;
                     });
    for (const auto& event : events)
    {
        auto& active_attempts = running[event.request_id];
        if (event.kind == observed_kind::start)
        {
            for (const auto& other : active_attempts)
            {
                const auto was_killed =
                    std::any_of(run.deaths.begin(), run.deaths.end(),
                                [&](const worker_death& kill_event)
                                {
                                    return kill_event.worker == other.worker &&
                                           kill_event.at_us >= other.at_us &&
                                           kill_event.at_us <= event.at_us;
                                });
                if (!was_killed)
                {
                    found += "two_places: request " + event.request_id +
                             ": attempt " + event.attempt + " started on " +
                             event.worker + " while attempt " + other.attempt +
                             " ran on " + other.worker + "\n";
                }
            }
            active_attempts.push_back(event);
        }
        else if (ends_attempt(event.kind))
        {
            active_attempts.erase(
                std::remove_if(active_attempts.begin(), active_attempts.end(),
                               [&](const observed_event& other)
                               {
                                   return other.attempt == event.attempt;
                               }),
                active_attempts.end());
        }
    }
    return found;
}

/// @brief A cell that is up, has its plan, and answers at each instance.
class cell_run
{
  public:
    explicit cell_run(const cell_options& options) : m_cell(options)
    {
        const auto start_error = m_cell.start();
        cr_assert(start_error.empty(), "%s", start_error.c_str());
        put_plan();
        for (const auto port : m_cell.entry_ports())
        {
            cr_assert(wait_until(
                          [&]
                          {
                              call_spec spec;
                              spec.request_id =
                                  "warm-" + std::to_string(++m_warm_up_calls);
                              return call(port, spec).status == 200;
                          },
                          settle_timeout),
                      "an instance gives no answer");
        }
        // Only then does the loss of an owner lose something.
        for (const auto& instance : m_cell.instances())
        {
            cr_assert(wait_for_ownership(instance.name, true),
                      "%s holds no worker", instance.name.c_str());
        }
    }

    [[nodiscard]] auto test_cell() -> cell&
    {
        return m_cell;
    }

    /// @brief A load on all instances, to be adapted.
    [[nodiscard]] auto load(const std::string& prefix) const -> caller_options
    {
        caller_options options;
        options.ports = m_cell.entry_ports();
        options.id_prefix = prefix;
        options.callers = 40;
        options.requests_per_caller = 40;
        return options;
    }

    /// @brief Starts callers in the background; @ref verify_history waits for them.
    auto begin(caller_options options) -> void
    {
        m_loads.push_back(std::async(std::launch::async,
                                     [options = std::move(options)]
                                     {
                                         return run_callers(options);
                                     }));
    }

    /// @brief One call in the background.
    auto start_call(int port, call_spec spec) -> std::future<call_record>
    {
        return std::async(std::launch::async,
                          [port, spec = std::move(spec)]
                          {
                              return call(port, spec);
                          });
    }

    auto add_call_record(call_record record) -> void
    {
        m_calls.push_back(std::move(record));
    }

    /// @brief Waits for the background loads.
    auto join_callers() -> void
    {
        for (auto& load : m_loads)
        {
            const auto records = load.get();
            m_calls.insert(m_calls.end(), records.begin(), records.end());
        }
        m_loads.clear();
    }

    [[nodiscard]] auto calls() const -> const std::vector<call_record>&
    {
        return m_calls;
    }

    [[nodiscard]] auto
    count(const std::function<bool(const call_record&)>& of) const
        -> std::size_t
    {
        std::size_t found = 0;
        for (const auto& record : m_calls)
        {
            found += of(record) ? 1 : 0;
        }
        return found;
    }

    /// @brief How many one-time faults of links have struck.
    [[nodiscard]] auto triggered_count() -> std::int64_t
    {
        std::int64_t sum = 0;
        for (const auto& link : m_cell.links())
        {
            sum += link.proxy->triggered_count();
        }
        return sum;
    }

    [[nodiscard]] auto events() const -> std::vector<observed_event>
    {
        return m_cell.collect_history({}).events;
    }

    [[nodiscard]] auto count_starts(const std::string& request) const
        -> std::size_t
    {
        std::size_t found = 0;
        for (const auto& event : events())
        {
            found += event.kind == observed_kind::start &&
                             event.request_id == request
                         ? 1
                         : 0;
        }
        return found;
    }

    /// @brief Waits until each instance holds just the workers that are its
    /// share: before that, starts are refused as workers change their owner.
    auto wait_for_expected_owners() -> bool
    {
        return wait_until(
            [&]
            {
                auto& instances = m_cell.instances();
                return std::all_of(instances.begin(), instances.end(),
                                   [&](const cell_instance& item)
                                   {
                                       return testing::held_by(item) ==
                                              expected_worker_count(item);
                                   });
            },
            settle_timeout);
    }

    /// @brief Why workers refused starts so far, for messages.
    [[nodiscard]] auto describe_refusals() const -> std::string
    {
        std::string found;
        for (const auto& event : events())
        {
            if (event.kind == observed_kind::refused)
            {
                found += event.request_id + ": " + event.reason + "; ";
            }
        }
        return found;
    }

    /// @brief Waits until so many attempts run at one moment.
    auto wait_for_running_attempts(std::size_t minimum) -> bool
    {
        return wait_until(
            [&]
            {
                std::size_t running = 0;
                for (const auto& event : events())
                {
                    running += event.kind == observed_kind::start ? 1 : 0;
                    running -= ends_attempt(event.kind) ? 1 : 0;
                }
                return running >= minimum;
            },
            settle_timeout);
    }

    /// @brief How many workers an instance holds, as the workers say.
    [[nodiscard]] auto count_owned_workers(const std::string& instance)
        -> std::size_t
    {
        std::size_t owned = 0;
        for (const auto& group : m_cell.workers())
        {
            for (std::size_t i = 0; i < group.count; ++i)
            {
                const auto state =
                    http_get(group.port, "/w/" + std::to_string(i) + "/state");
                const auto holder_prefix = "\"holder\":\"" + instance + "#";
                owned +=
                    state && state->find(holder_prefix) != std::string::npos
                        ? 1
                        : 0;
            }
        }
        return owned;
    }

    auto wait_for_ownership(const std::string& instance, bool owns_workers)
        -> bool
    {
        return wait_until(
            [&]
            {
                return (held_by(instance) > 0) == owns_workers;
            },
            settle_timeout);
    }

    /// @brief Waits for the end of all work and judges the whole run.
    /// @param min_completed  fewest calls that must have been run and answered, so
    ///        that the verdict is about something
    auto verify_history(std::size_t min_completed) -> void
    {
        join_callers();
        cr_assert(wait_until(
                      [&]
                      {
                          return m_cell.workers_idle();
                      },
                      settle_timeout),
                  "work does not end");
        const auto run = m_cell.evidence_with(m_calls);
        const auto found = check(run);
        const auto report = describe(found) + describe_overlapping_runs(run);
        cr_assert(report.empty(), "%zu violations and:\n%s", found.size(),
                  report.substr(0, max_report_size).c_str());
        const auto ran = count(
            [](const call_record& record)
            {
                return record.ran == ran_header::yes;
            });
        cr_assert(ran >= min_completed, "only %zu of %zu were run and answered",
                  ran, m_calls.size());
    }

  private:
    auto expected_worker_count(const cell_instance& item) -> std::int64_t
    {
        std::vector<instance_id> serving;
        for (const auto& instance : m_cell.instances())
        {
            serving.emplace_back(instance.name);
        }
        std::int64_t expected = 0;
        for (const auto& group : m_cell.workers())
        {
            for (auto i = group.first; i < group.first + group.count; ++i)
            {
                const auto owner = ownership::rendezvous_owner(
                    "w" + std::to_string(i), serving);
                expected += owner.str() == item.name ? 1 : 0;
            }
        }
        return expected;
    }

    static constexpr std::size_t max_report_size = 1'500;

    auto put_plan() -> void
    {
        httplib::Client client("127.0.0.1",
                               m_cell.instances().front().operator_port);
        const auto answer =
            client.Put("/plan?revision=0", test_plan, "application/json");
        cr_assert(answer && answer->status == 200, "the plan is refused: %s",
                  answer ? answer->body.c_str() : "no answer");
    }

    cell m_cell;
    std::size_t m_warm_up_calls = 0;
    std::vector<std::future<std::vector<call_record>>> m_loads;
    std::vector<call_record> m_calls;
};

} // namespace pimentoshunt::testing
