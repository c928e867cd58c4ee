#include "checker.hpp"

#include <criterion/criterion.h>

using namespace pimentoshunt::testing;
using pimentoshunt::milliseconds;

namespace
{

/// The record of one worker "w" with 2 slots and 2 connections, a line an
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

auto good_call(const std::string& id) -> call_record
{
    call_record call;
    call.request_id = id;
    call.workload = "desk";
    call.answered = true;
    call.status = 200;
    call.ran = ran_claim::yes;
    call.sent = call.received = digest_of("body of " + id);
    return call;
}

auto only(const evidence& run, violation_kind kind) -> bool
{
    const auto found = check(run);
    return found.size() == 1 && found.front().kind == kind;
}

} // namespace

Test(checker, a_clean_run_has_no_violation)
{
    evidence run;
    run.events =
        events_of(request_line("start", "1") + request_line("start", "2") +
                  request_line("end", "1") + request_line("start", "3"));
    run.calls = {good_call("1"), good_call("2"), good_call("3")};
    cr_assert(check(run).empty(), "%s", describe(check(run)).c_str());
}

Test(checker, sees_slots_and_connections_exceeded)
{
    evidence run;
    run.events =
        events_of(request_line("start", "1") + request_line("start", "2") +
                  request_line("start", "3"));
    const auto found = check(run);
    cr_assert(found.size() == 2);
    cr_assert(found[0].kind == violation_kind::over_capacity);
    cr_assert(found[1].kind == violation_kind::over_connections);
}

Test(checker, sees_each_dimension_exceeded)
{
    for (const auto* name : {"slots", "millicpus", "memory_mb", "accelerators"})
    {
        evidence run;
        run.events =
            events_of(R"({"at_us":5,"kind":"start","worker":"w","attempt":"a",)"
                      R"("resources":{")" +
                      std::string(name) + "\":10}}\n");
        cr_assert(only(run, violation_kind::over_capacity), "%s", name);
    }
}

Test(checker, sees_a_task_on_two_workers_at_a_time)
{
    evidence run;
    run.events = parse_record(
        worker_up("w1") + worker_up("w2") + task_line(10, "start", "w1", "a") +
        task_line(30, "end", "w1", "a") + task_line(20, "start", "w2", "b"));
    cr_assert(only(run, violation_kind::task_twice));
}

Test(checker, lets_a_task_follow_its_end_or_the_death_of_its_worker)
{
    evidence run;
    run.events = parse_record(
        worker_up("w1") + worker_up("w2") + task_line(10, "start", "w1", "a") +
        task_line(20, "lapse", "w1", "a") + task_line(20, "start", "w2", "b") +
        task_line(40, "start", "w1", "c"));
    cr_assert(only(run, violation_kind::task_twice));
    run.deaths = {{"w2", 35}};
    cr_assert(check(run).empty());
}

Test(checker, sees_an_answer_that_belongs_to_another_request)
{
    evidence run;
    run.events = events_of(request_line("start", "1"));
    run.calls = {good_call("1")};
    run.calls[0].received = digest_of("body of 2");
    cr_assert(only(run, violation_kind::wrong_answer));
}

Test(checker, sees_that_not_run_was_false)
{
    evidence run;
    run.events = events_of(request_line("start", "1"));
    run.calls = {good_call("1")};
    run.calls[0].status = 503;
    run.calls[0].ran = ran_claim::no;
    cr_assert(only(run, violation_kind::not_run_but_started));
    run.calls[0].ran = ran_claim::unknown;
    cr_assert(check(run).empty());
    run.calls[0].ran = ran_claim::absent;
    cr_assert(only(run, violation_kind::no_claim));
}

Test(checker, sees_an_answer_that_no_worker_gave)
{
    evidence run;
    run.calls = {good_call("1")};
    cr_assert(only(run, violation_kind::run_but_not_started));
}

Test(checker, sees_a_second_start_unless_the_workload_is_idempotent)
{
    evidence run;
    run.events =
        events_of(request_line("start", "1") + request_line("end", "1") +
                  request_line("start", "1"));
    run.calls = {good_call("1")};
    cr_assert(only(run, violation_kind::started_twice));
    run.calls[0].idempotent = true;
    cr_assert(check(run).empty());
}

Test(checker, sees_a_key_started_twice_and_unlike_answers)
{
    const std::string key = R"(,"idempotency_key":"k")";
    evidence run;
    run.events = events_of(request_line("start", "1", key) +
                           request_line("end", "1", key) +
                           request_line("start", "2", key));
    cr_assert(only(run, violation_kind::started_twice));

    run.events = events_of(request_line("start", "1", key));
    run.calls = {good_call("1"), good_call("2")};
    run.calls[0].idempotency_key = run.calls[1].idempotency_key = "k";
    cr_assert(only(run, violation_kind::unlike_answers));
}

Test(checker, sees_starts_on_a_worker_that_left)
{
    evidence run;
    run.events = parse_record(
        worker_up("w") +
        R"({"at_us":100,"kind":"leaving","worker":"w"})"
        "\n" +
        R"({"at_us":2101,"kind":"start","worker":"w","attempt":"a"})"
        "\n");
    cr_assert(check(run).empty());
    run.leaving_bound = milliseconds{2};
    cr_assert(only(run, violation_kind::started_while_leaving));
    run.leaving_bound = milliseconds{3};
    cr_assert(check(run).empty());
}

Test(checker, leaves_out_a_line_that_was_cut_off)
{
    cr_assert(parse_record(worker_up("w") + R"({"at_us":5,"ki)").size() == 1);
}
