#include <pimentoshunt/entry/request_handler.hpp>

#include <pimentoshunt/logging.hpp>

#include <utility> // move

namespace pimentoshunt::entry
{
namespace
{

constexpr int not_found_status = 404;
constexpr int conflict_status = 409;
constexpr int first_server_error = 500;
constexpr int bad_gateway_status = 502;
constexpr int timeout_status = 504;
/// Starts that workers refused before the request is refused in turn.
constexpr int most_attempts = 20;
/// How long after a deadline the control thread may still answer.
constexpr milliseconds control_grace{50};
constexpr milliseconds retry_soon{1'000};
/// Work is long beside other work that runs for this fraction of its time.
constexpr int long_work_factor = 10;

auto fingerprint_of(const caller_request& request) -> std::string
{
    request_fingerprint digest;
    digest.add(request.workload.str())
        .add(request.forward.method)
        .add(request.forward.path)
        .add(request.forward.body);
    return digest.text();
}

auto to_label(ran value) -> const char*
{
    switch (value)
    {
    case ran::yes:
        return "answered";
    case ran::no:
        return "not_run";
    case ran::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

auto request_handler::find_workload(const caller_request& request,
                                    const plan::plan_ptr& in_force)
    -> std::variant<const plan::workload*, caller_answer>
{
    const auto* const workload = in_force->parsed.find(request.workload);
    if (workload == nullptr)
    {
        return faulty_answer(not_found_status,
                             "no workload is called " + request.workload.str() +
                                 " in revision " +
                                 std::to_string(in_force->revision),
                             "check the name against the plan in force");
    }
    if (workload->cls != plan::work_class::service)
    {
        return faulty_answer(conflict_status,
                             request.workload.str() + " is no service",
                             "submit it as a job");
    }
    return workload;
}

auto request_handler::serve(const caller_request& request) -> caller_answer
{
    const auto in_force = m_plan.get();
    auto found = find_workload(request, in_force);
    if (auto* const fault = std::get_if<caller_answer>(&found))
    {
        return std::move(*fault);
    }
    const auto* const workload = std::get<const plan::workload*>(found);
    const auto now = boot_clock::now();
    const auto limit = request.deadline > milliseconds::zero()
                           ? request.deadline
                           : workload->deadline;
    const open_guard opened(m_open, request.request_id);
    request_state state{request,     in_force,         workload, now,
                        now + limit, opened.request(), 0,        {}};
    {
        const std::lock_guard lock(m_budget_mutex);
        m_budget.first_try(workload->name);
    }
    guard_key(state);
    auto answer = run_to_end(state);
    if (state.key && answer.did_run == ran::no)
    {
        state.key->not_run();
    }
    if (state.key && answer.did_run == ran::unknown)
    {
        state.key->lost();
    }
    meter(state, answer);
    return answer;
}

auto request_handler::guard_key(request_state& state) -> void
{
    const auto& key = state.request.idempotency_key;
    if (!key.empty() && !state.workload->idempotent)
    {
        state.key.emplace(m_keys,
                          idempotency_key{state.workload->workspace, key},
                          fingerprint_of(state.request));
    }
}

auto request_handler::run_to_end(request_state& state) -> caller_answer
{
    if (state.key)
    {
        if (auto known = state.key->look_up(state.deadline))
        {
            return std::move(*known);
        }
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

auto request_handler::meter(const request_state& state,
                            const caller_answer& answer) -> void
{
    auto& series = m_meters.series(*state.workload);
    series.observe_attempts(state.attempts);
    metrics::label_set labels = series.labels();
    labels.kind = to_label(answer.did_run);
    m_meters.add(metrics::counter::answers, labels);
    if (answer.refused)
    {
        labels.kind = to_string(*answer.refused);
        m_meters.add(metrics::counter::refusals, labels);
    }
    labels.kind = "in";
    m_meters.add(metrics::counter::bytes, labels,
                 state.request.forward.body.size());
    labels.kind = "out";
    m_meters.add(metrics::counter::bytes, labels, answer.body.size());
    if (state.attempts > 1)
    {
        m_meters.add(metrics::counter::retries, series.labels(),
                     static_cast<std::uint64_t>(state.attempts - 1));
    }
    logging::debug("answered")
        .request(state.request.request_id)
        .with("workload", state.workload->name)
        .with("status", answer.status)
        .with("ran", to_label(answer.did_run))
        .with("attempts", state.attempts);
}

auto request_handler::refuse(const refusal& why) -> caller_answer
{
    metrics::label_set labels;
    labels.kind = to_string(why.reason);
    m_meters.add(metrics::counter::refusals, labels);
    return refused_answer(why);
}

auto request_handler::note_waiting(const request_state& state) -> void
{
    const auto waited = boot_clock::now() - state.arrived;
    auto& series = m_meters.series(*state.workload);
    series.observe(metrics::measure::waiting, waited);
    if (m_control.max_held_run_time() >=
        state.workload->run_time * long_work_factor)
    {
        series.observe(metrics::measure::head_of_line, waited);
    }
}

auto request_handler::wait_for_place(const request_state& state)
    -> placement_answer
{
    const auto number = ++m_numbers;
    const auto item = std::make_shared<ticket>(
        number, state.in_force, state.workload, state.arrived, state.deadline);
    if (!state.open.wait_with(item))
    {
        return refusal{refusal_reason::cancelled, retry_soon};
    }
    m_control.post(control::request_arrived{item});
    auto answer = item->wait_until(state.deadline + control_grace);
    note_waiting(state);
    if (state.open.cancelled())
    {
        m_control.post(control::request_cancelled{number});
    }
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
    if (state.key)
    {
        if (auto final_answer = state.key->claim(where, state.deadline))
        {
            release(where, ownership::attempt_outcome::never_started, {});
            return final_answer;
        }
        if (!state.key->may_send(boot_clock::now()))
        {
            ++state.attempts;
            return not_started(state, where,
                               ownership::attempt_outcome::never_started);
        }
    }
    if (!state.open.begin(where))
    {
        release(where, ownership::attempt_outcome::never_started, {});
        return cancelled_answer();
    }
    ++state.attempts;
    const auto begun = boot_clock::now();
    auto end = m_runs.run(where, *state.workload, state.request.forward,
                          state.deadline);
    state.open.end();
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

auto request_handler::on_answer(request_state& state, const grant& where,
                                run_end end, std::chrono::microseconds run_time)
    -> step_result
{
    const bool failed = end.status >= first_server_error;
    if (failed && state.open.cancelled())
    {
        // The worker ends a stopped request with such a status. The attempt is
        // over, and tells nothing of the worker's health.
        release(where, ownership::attempt_outcome::never_started, {});
        return unknown_answer(bad_gateway_status);
    }
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
    m_meters.series(*state.workload)
        .observe(metrics::measure::service, run_time);
    if (state.key)
    {
        state.key->answered(answer);
    }
    return answer;
}

auto request_handler::not_started(const request_state& state,
                                  const grant& where,
                                  ownership::attempt_outcome outcome)
    -> step_result
{
    release(where, outcome, {});
    if (state.open.cancelled())
    {
        return cancelled_answer();
    }
    // It did not run, so another place may be sought whatever it is.
    if (state.attempts < most_attempts)
    {
        return std::nullopt;
    }
    return refused_answer({refusal_reason::no_start, retry_soon});
}

auto request_handler::cancelled_answer() -> caller_answer
{
    return refused_answer({refusal_reason::cancelled, retry_soon});
}

auto request_handler::cancel(const std::string& request_id) -> std::size_t
{
    const auto found = m_open.cancel(request_id);
    for (const auto& item : found.running)
    {
        // Where it fails, the request ends by its own answer or deadline.
        static_cast<void>(handle(
            [&]() -> result<bool>
            {
                BOOST_LEAF_CHECK(m_workers.stop(item.base_url, item.attempt));
                return true;
            },
            [](const error&)
            {
                return false;
            }));
    }
    logging::info("cancelled")
        .request(request_id)
        .with("requests", found.requests)
        .with("running", found.running.size());
    return found.requests;
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
    if (boot_clock::now() >= state.deadline ||
        state.attempts >= most_attempts || state.open.cancelled())
    {
        return false;
    }
    const std::lock_guard lock(m_budget_mutex);
    return m_budget.try_retry(state.workload->name);
}

} // namespace pimentoshunt::entry
