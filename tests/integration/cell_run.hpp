/// @file
/// Fixture of integration tests: starts a small cell of real processes, puts
/// a plan in force, runs callers in the background, and checks the records of
/// workers and callers at the end. Used from the test's own thread.
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

/// Requests to "desk" may run only once, those to "reader", which is
/// idempotent, more than once. "wide" takes half of a worker's processors.
/// "brief" has a deadline of 300 ms, "prompt" one of 2.5 s.
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

/// Longest wait for a condition of the cell that a test depends on.
inline constexpr milliseconds settle_timeout{15'000};

/// @brief Options for three instances and eight workers in two processes.
///
/// A worker has processors for four "desk" requests, but connections for only
/// three.
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

/// @brief Describes attempts of one request that overlapped on any workers.
///
/// Retries count as well. An attempt ends when its worker records the end or
/// when the worker is killed.
/// @return one line for each overlap; empty if there is none
inline auto describe_overlapping_runs(const run_history& history) -> std::string
{
    std::map<std::string, std::vector<observed_event>> running;
    std::string found;
    auto events = history.events;
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
                    std::any_of(history.kills.begin(), history.kills.end(),
                                [&](const worker_kill& kill_event)
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

/// @brief A running cell whose plan is in force and whose instances all
/// serve requests and own workers.
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
                      "an instance serves no request");
        }
        // The loss of an instance has an effect only if it owns workers.
        for (const auto& instance : m_cell.instances())
        {
            cr_assert(wait_for_ownership(instance.name, true),
                      "%s owns no worker", instance.name.c_str());
        }
    }

    /// @brief The processes of the cell and the links between them.
    [[nodiscard]] auto test_cell() -> cell&
    {
        return m_cell;
    }

    /// @brief Default options of callers that use all instances; tests change
    /// them as needed.
    /// @param prefix  start of the request ids
    [[nodiscard]] auto load(const std::string& prefix) const -> caller_options
    {
        caller_options options;
        options.ports = m_cell.entry_ports();
        options.id_prefix = prefix;
        options.callers = 40;
        options.requests_per_caller = 40;
        return options;
    }

    /// @brief Starts callers in the background.
    ///
    /// @ref verify_history waits for their end and checks their calls.
    auto begin(caller_options options) -> void
    {
        m_loads.push_back(std::async(std::launch::async,
                                     [options = std::move(options)]
                                     {
                                         return run_callers(options);
                                     }));
    }

    /// @brief Makes one call in the background.
    ///
    /// Its record is checked only if the caller passes it to
    /// @ref add_call_record.
    auto start_call(int port, call_spec spec) -> std::future<call_record>
    {
        return std::async(std::launch::async,
                          [port, spec = std::move(spec)]
                          {
                              return call(port, spec);
                          });
    }

    /// @brief Adds a call to those that @ref verify_history checks.
    auto add_call_record(call_record record) -> void
    {
        m_calls.push_back(std::move(record));
    }

    /// @brief Waits for all background callers and collects their records.
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

    /// @brief Number of collected calls for which @p predicate returns true.
    [[nodiscard]] auto
    count(const std::function<bool(const call_record&)>& predicate) const
        -> std::size_t
    {
        std::size_t found = 0;
        for (const auto& record : m_calls)
        {
            found += predicate(record) ? 1 : 0;
        }
        return found;
    }

    /// @brief Number of one-time link faults that have been triggered.
    [[nodiscard]] auto triggered_count() -> std::int64_t
    {
        std::int64_t sum = 0;
        for (const auto& link : m_cell.links())
        {
            sum += link.proxy->triggered_count();
        }
        return sum;
    }

    /// @brief All events that the workers have recorded so far.
    [[nodiscard]] auto events() const -> std::vector<observed_event>
    {
        return m_cell.collect_history({}).events;
    }

    /// @brief Number of recorded starts of the request with id @p request.
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

    /// @brief Waits until each instance owns as many workers as the
    /// assignment gives it.
    ///
    /// Before that, workers refuse starts because their owner changes.
    auto wait_for_expected_owners() -> bool
    {
        return wait_until(
            [&]
            {
                auto& instances = m_cell.instances();
                return std::all_of(instances.begin(), instances.end(),
                                   [&](const cell_instance& item)
                                   {
                                       return testing::count_owned_workers(
                                                  item) ==
                                              expected_worker_count(item);
                                   });
            },
            settle_timeout);
    }

    /// @brief Lists refused starts and their reasons, for failure messages.
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

    /// @brief Waits until at least @p minimum attempts run at the same time.
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

    /// @brief Number of workers that report @p instance as their owner.
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

    /// @brief Waits until an instance owns any worker or none.
    /// @param owns_workers  whether to wait for any rather than for none
    auto wait_for_ownership(const std::string& instance, bool owns_workers)
        -> bool
    {
        return wait_until(
            [&]
            {
                return (count_owned_workers(instance) > 0) == owns_workers;
            },
            settle_timeout);
    }

    /// @brief Waits for the end of all work and checks the whole history.
    /// @param min_completed  least number of calls that must have run and been
    ///        answered; a history with hardly any calls would prove nothing
    auto verify_history(std::size_t min_completed) -> void
    {
        join_callers();
        cr_assert(wait_until(
                      [&]
                      {
                          return m_cell.workers_idle();
                      },
                      settle_timeout),
                  "workers still run requests after the timeout");
        const auto history = m_cell.collect_history(m_calls);
        const auto found = find_violations(history);
        const auto report =
            describe(found) + describe_overlapping_runs(history);
        cr_assert(report.empty(), "%zu violations and:\n%s", found.size(),
                  report.substr(0, max_report_size).c_str());
        const auto ran = count(
            [](const call_record& record)
            {
                return record.ran == ran_header::yes;
            });
        cr_assert(ran >= min_completed,
                  "only %zu of %zu calls ran and were answered", ran,
                  m_calls.size());
    }

  private:
    /// @brief Number of workers that the assignment gives to an instance.
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
        cr_assert(answer && answer->status == 200, "the plan was refused: %s",
                  answer ? answer->body.c_str() : "no answer");
    }

    cell m_cell;
    std::size_t m_warm_up_calls = 0;
    std::vector<std::future<std::vector<call_record>>> m_loads;
    std::vector<call_record> m_calls;
};

} // namespace pimentoshunt::testing
