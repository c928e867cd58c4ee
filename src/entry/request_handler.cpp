#include <pimentoshunt/entry/request_handler.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility> // move

namespace pimentoshunt::entry
{
namespace
{

constexpr int not_found_status = 404;
constexpr int conflict_status = 409;
constexpr int first_server_error = 500;
constexpr int bad_gateway_status = 502;
constexpr int unavailable_status = 503;
constexpr int timeout_status = 504;
/// Starts that workers refused before the request is refused in turn.
constexpr int most_attempts = 20;
/// How long after a deadline the control thread may still answer.
constexpr milliseconds control_grace{50};
constexpr milliseconds retry_soon{1'000};

auto message_body(const std::string& what, const std::string& remedy)
    -> std::string
{
    return boost::json::serialize(
        boost::json::object{{"error", what}, {"remedy", remedy}});
}

auto describe(refusal_reason reason) -> std::string
{
    switch (reason)
    {
    case refusal_reason::deadline_passed:
        return "no worker became free before the deadline";
    case refusal_reason::queue_full:
        return "too many requests wait already";
    case refusal_reason::overload:
        return "the deadline can't be made with the work that waits ahead";
    case refusal_reason::stopping:
        return "this instance is stopping";
    case refusal_reason::fits_nowhere:
        return "no worker is large enough for this workload";
    }
    return "refused";
}

auto unknown_answer(int status) -> caller_answer
{
    caller_answer answer;
    answer.status = status;
    answer.did_run = ran::unknown;
    answer.body = message_body(
        "the request was sent and its outcome is not known",
        "look up its effect before sending it again, or repeat it with the "
        "same Idempotency-Key");
    return answer;
}

} // namespace

auto refused_answer(const refusal& why) -> caller_answer
{
    caller_answer answer;
    answer.status = why.reason == refusal_reason::deadline_passed
                        ? timeout_status
                        : unavailable_status;
    answer.did_run = ran::no;
    answer.retry_after = why.retry_after;
    answer.body = message_body(describe(why.reason) + "; it did not run",
                               "send it again after Retry-After");
    return answer;
}

auto request_handler::serve(const caller_request& request) -> caller_answer
{
    const auto in_force = m_plan.get();
    const auto* const workload = in_force->parsed.find(request.workload);
    if (workload == nullptr)
    {
        caller_answer answer;
        answer.status = not_found_status;
        answer.body = message_body(
            "no workload is called " + request.workload.str() +
                " in revision " + std::to_string(in_force->revision),
            "check the name against the plan in force");
        return answer;
    }
    if (workload->cls != plan::work_class::service)
    {
        caller_answer answer;
        answer.status = conflict_status;
        answer.body = message_body(request.workload.str() + " is no service",
                                   "submit it as a job");
        return answer;
    }
    const auto now = boot_clock::now();
    const auto limit = request.deadline > milliseconds::zero()
                           ? request.deadline
                           : workload->deadline;
    request_state state{request, in_force, workload, now, now + limit, 0};
    {
        const std::lock_guard lock(m_budget_mutex);
        m_budget.first_try(workload->name);
    }
    for (;;)
    {
        const auto place = wait_for_place(state);
        if (const auto* const why = std::get_if<refusal>(&place))
        {
            return refused_answer(*why);
        }
        auto answer = attempt(state, std::get<grant>(place));
        if (answer)
        {
            return std::move(*answer);
        }
    }
}

auto request_handler::wait_for_place(const request_state& state)
    -> placement_answer
{
    const auto number = ++m_numbers;
    const auto item = std::make_shared<ticket>(
        number, state.in_force, state.workload, state.arrived, state.deadline);
    m_control.post(control::request_arrived{item});
    auto answer = item->wait_until(state.deadline + control_grace);
    if (answer)
    {
        return std::move(*answer);
    }
    m_control.post(control::request_cancelled{number});
    return refusal{refusal_reason::deadline_passed, retry_soon};
}

auto request_handler::attempt(request_state& state, const grant& where)
    -> step_result
{
    ++state.attempts;
    const auto begun = boot_clock::now();
    auto end = m_runs.run(where, state.workload->each, state.request.forward,
                          state.deadline);
    const auto run_time = std::chrono::duration_cast<std::chrono::microseconds>(
        boot_clock::now() - begun);
    switch (end.state)
    {
    case run_state::answered:
        return on_answer(state, where, std::move(end), run_time);
    case run_state::refused:
        return not_started(state, where,
                           ownership::attempt_outcome::never_started);
    case run_state::fenced:
        return not_started(state, where, ownership::attempt_outcome::fenced);
    case run_state::never_sent:
        return not_started(state, where,
                           ownership::attempt_outcome::unreachable);
    case run_state::unknown:
        return on_unknown(state, where);
    }
    return on_unknown(state, where);
}

auto request_handler::on_answer(const request_state& state, const grant& where,
                                run_end end, std::chrono::microseconds run_time)
    -> step_result
{
    const bool failed = end.status >= first_server_error;
    release(where,
            failed ? ownership::attempt_outcome::failed
                   : ownership::attempt_outcome::finished,
            run_time);
    if (failed && state.workload->idempotent && may_retry(state))
    {
        return std::nullopt;
    }
    caller_answer answer;
    answer.status = end.status;
    answer.did_run = ran::yes;
    answer.body = std::move(end.body);
    answer.headers = std::move(end.headers);
    return answer;
}

auto request_handler::not_started(const request_state& state,
                                  const grant& where,
                                  ownership::attempt_outcome outcome)
    -> step_result
{
    release(where, outcome, {});
    // It did not run, so another place may be sought whatever it is.
    if (state.attempts < most_attempts)
    {
        return std::nullopt;
    }
    return refused_answer({refusal_reason::overload, retry_soon});
}

auto request_handler::settle(const grant& where)
    -> std::optional<worker::attempt_state>
{
    using found_state = std::optional<worker::attempt_state>;
    return handle(
        [&]() -> result<found_state>
        {
            BOOST_LEAF_AUTO(report,
                            m_workers.revoke(where.base_url, where.attempt));
            return found_state(report.state);
        },
        [](const error&)
        {
            return found_state();
        });
}

auto request_handler::on_unknown(const request_state& state, const grant& where)
    -> step_result
{
    // The worker knows: an attempt that it had not started never will be.
    const auto found = settle(where);
    if (found == worker::attempt_state::revoked)
    {
        return not_started(state, where,
                           ownership::attempt_outcome::never_started);
    }
    release(where, ownership::attempt_outcome::unknown, {});
    // Idempotent work may run again, but never in two places at once.
    if (state.workload->idempotent && ended(where, found) && may_retry(state))
    {
        return std::nullopt;
    }
    return unknown_answer(boot_clock::now() >= state.deadline
                              ? timeout_status
                              : bad_gateway_status);
}

auto request_handler::ended(const grant& where,
                            std::optional<worker::attempt_state> found) -> bool
{
    if (found != worker::attempt_state::running)
    {
        return found.has_value();
    }
    return handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(m_workers.stop(where.base_url, where.attempt));
            return true;
        },
        [](const error&)
        {
            return false;
        });
}

auto request_handler::release(const grant& where,
                              ownership::attempt_outcome outcome,
                              std::chrono::microseconds run_time) -> void
{
    m_control.post(control::attempt_ended{where, outcome, run_time});
}

auto request_handler::may_retry(const request_state& state) -> bool
{
    if (boot_clock::now() >= state.deadline || state.attempts >= most_attempts)
    {
        return false;
    }
    const std::lock_guard lock(m_budget_mutex);
    return m_budget.try_retry(state.workload->name);
}

} // namespace pimentoshunt::entry
