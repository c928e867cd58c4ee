#include "checker.hpp"

#include <criterion/criterion.h>

using namespace pimentoshunt::testing;
using pimentoshunt::milliseconds;

namespace
{

/// Parses events of a worker "w" with 2 slots and 2 connections, one line per
/// event.
auto events_of(const std::string& lines) -> std::vector<observed_event>
{
    return parse_record(
        R"({"at_us":1,"kind":"up","worker":"w","connections":2,)"
        R"("resources":{"slots":2,"millicpus":9,"memory_mb":9}})"
        "\n" +
        lines);
}

auto request_line(const std::string& kind, const std::string& id,
                  const std::string& more = "") -> std::string
{
    return R"({"at_us":5,"kind":")" + kind + R"(","worker":"w","attempt":"a)" +
           id +
           R"(","workload":"desk","resources":{"slots":1},"request_id":")" +
           id + "\"" + more + "}\n";
}

auto task_line(int at, const std::string& kind, const std::string& worker,
               const std::string& attempt) -> std::string
{
    return R"({"at_us":)" + std::to_string(at) + R"(,"kind":")" + kind +
           R"(","worker":")" + worker + R"(","attempt":")" + attempt +
           R"(","job":"j","task":3})"
           "\n";
}

auto worker_up(const std::string& worker) -> std::string
{
    return R"({"at_us":1,"kind":"up","worker":")" + worker +
           R"(","connections":9})"
           "\n";
}

auto valid_call(const std::string& id) -> call_record
{
    call_record call;
    call.request_id = id;
    call.workload = "desk";
    call.answered = true;
    call.status = 200;
    call.ran = ran_header::yes;
    call.sent = call.received = digest_of("body of " + id);
    return call;
}

auto has_only(const run_history& history, violation_kind kind) -> bool
{
    const auto found = find_violations(history);
    return found.size() == 1 && found.front().kind == kind;
}

} // namespace

Test(checker, a_valid_history_has_no_violation)
{
    run_history history;
    history.events =
        events_of(request_line("start", "1") + request_line("start", "2") +
                  request_line("end", "1") + request_line("start", "3"));
    history.calls = {valid_call("1"), valid_call("2"), valid_call("3")};
    cr_assert(find_violations(history).empty(), "%s",
              describe(find_violations(history)).c_str());
}

Test(checker, reports_exceeded_slots_and_connections)
{
    run_history history;
    history.events =
        events_of(request_line("start", "1") + request_line("start", "2") +
                  request_line("start", "3"));
    const auto found = find_violations(history);
    cr_assert(found.size() == 2);
    cr_assert(found[0].kind == violation_kind::over_capacity);
    cr_assert(found[1].kind == violation_kind::over_connections);
}

Test(checker, reports_each_exceeded_resource)
{
    for (const auto* name : {"slots", "millicpus", "memory_mb", "accelerators"})
    {
        run_history history;
        history.events =
            events_of(R"({"at_us":5,"kind":"start","worker":"w","attempt":"a",)"
                      R"("resources":{")" +
                      std::string(name) + "\":10}}\n");
        cr_assert(has_only(history, violation_kind::over_capacity), "%s", name);
    }
}

Test(checker, reports_overlapping_runs_of_a_task)
{
    run_history history;
    history.events = parse_record(
        worker_up("w1") + worker_up("w2") + task_line(10, "start", "w1", "a") +
        task_line(30, "end", "w1", "a") + task_line(20, "start", "w2", "b"));
    cr_assert(has_only(history, violation_kind::task_twice));
}

Test(checker, accepts_a_restart_after_the_end_or_a_worker_kill)
{
    run_history history;
    history.events = parse_record(
        worker_up("w1") + worker_up("w2") + task_line(10, "start", "w1", "a") +
        task_line(20, "lapse", "w1", "a") + task_line(20, "start", "w2", "b") +
        task_line(40, "start", "w1", "c"));
    cr_assert(has_only(history, violation_kind::task_twice));
    history.kills = {{"w2", 35}};
    cr_assert(find_violations(history).empty());
}

Test(checker, reports_a_response_to_another_request)
{
    run_history history;
    history.events = events_of(request_line("start", "1"));
    history.calls = {valid_call("1")};
    history.calls[0].received = digest_of("body of 2");
    cr_assert(has_only(history, violation_kind::wrong_answer));
}

Test(checker, reports_a_started_request_answered_as_not_run)
{
    run_history history;
    history.events = events_of(request_line("start", "1"));
    history.calls = {valid_call("1")};
    history.calls[0].status = 503;
    history.calls[0].ran = ran_header::no;
    cr_assert(has_only(history, violation_kind::not_run_but_started));
    history.calls[0].ran = ran_header::unknown;
    cr_assert(find_violations(history).empty());
    history.calls[0].ran = ran_header::absent;
    cr_assert(has_only(history, violation_kind::no_claim));
}

Test(checker, reports_a_response_without_a_start)
{
    run_history history;
    history.calls = {valid_call("1")};
    cr_assert(has_only(history, violation_kind::run_but_not_started));
}

Test(checker, reports_a_second_start_unless_the_workload_is_idempotent)
{
    run_history history;
    history.events =
        events_of(request_line("start", "1") + request_line("end", "1") +
                  request_line("start", "1"));
    history.calls = {valid_call("1")};
    cr_assert(has_only(history, violation_kind::started_twice));
    history.calls[0].idempotent = true;
    cr_assert(find_violations(history).empty());
}

Test(checker, reports_a_key_started_twice_and_differing_responses)
{
    const std::string key = R"(,"idempotency_key":"k")";
    run_history history;
    history.events = events_of(request_line("start", "1", key) +
                               request_line("end", "1", key) +
                               request_line("start", "2", key));
    cr_assert(has_only(history, violation_kind::started_twice));

    history.events = events_of(request_line("start", "1", key));
    history.calls = {valid_call("1"), valid_call("2")};
    history.calls[0].idempotency_key = history.calls[1].idempotency_key = "k";
    cr_assert(has_only(history, violation_kind::unlike_answers));
}

Test(checker, reports_starts_on_a_leaving_worker)
{
    run_history history;
    history.events = parse_record(
        worker_up("w") +
        R"({"at_us":100,"kind":"leaving","worker":"w"})"
        "\n" +
        R"({"at_us":2101,"kind":"start","worker":"w","attempt":"a"})"
        "\n");
    cr_assert(find_violations(history).empty());
    history.leaving_grace_period = milliseconds{2};
    cr_assert(has_only(history, violation_kind::started_while_leaving));
    history.leaving_grace_period = milliseconds{3};
    cr_assert(find_violations(history).empty());
}

Test(checker, ignores_a_truncated_last_line)
{
    cr_assert(parse_record(worker_up("w") + R"({"at_us":5,"ki)").size() == 1);
}
