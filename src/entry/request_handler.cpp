/// @file
/// The life of a request: idempotency check, wait for a placement, attempts on
/// workers, and the decision whether another attempt is safe.
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
/// Most attempts of one request, including those that workers did not start;
/// the request is then refused.
constexpr int max_attempts = 20;
/// How long after the deadline the control thread may still respond.
constexpr milliseconds control_grace{50};
constexpr milliseconds default_retry_after{1'000};
/// A run counts as long for a workload whose run time is shorter by this
/// factor (metric of head-of-line blocking).
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

auto to_label(execution_status value) -> const char*
{
    switch (value)
    {
    case execution_status::executed:
        return "answered";
    case execution_status::not_executed:
        return "not_run";
    case execution_status::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

auto request_handler::find_workload(const caller_request& request,
                                    const plan::plan_ptr& in_force)
    -> std::variant<const plan::workload*, caller_response>
{
    const auto* const workload = in_force->parsed.find(request.workload);
    if (workload == nullptr)
    {
        return error_response(not_found_status,
                              "the plan has no workload " +
                                  request.workload.str() + " in revision " +
                                  std::to_string(in_force->revision),
                              "check the name against the plan in force");
    }
    if (workload->cls != plan::work_class::service)
    {
        return error_response(conflict_status,
                              request.workload.str() + " is not a service",
                              "submit this workload as a job");
    }
    return workload;
}

auto request_handler::serve(const caller_request& request) -> caller_response
{
    const auto in_force = m_plan.get();
    auto found = find_workload(request, in_force);
    if (auto* const fault = std::get_if<caller_response>(&found))
    {
        return std::move(*fault);
    }
    const auto* const workload = std::get<const plan::workload*>(found);
    const auto now = boot_clock::now();
    const auto limit = request.deadline > milliseconds::zero()
                           ? request.deadline
                           : workload->deadline;
    const open_request_guard request_guard(m_open, request.request_id);
    request_state state{request, in_force,    workload,
                        now,     now + limit, request_guard.request(),
                        0,       {}};
    {
        const std::lock_guard lock(m_budget_mutex);
        m_budget.first_try(workload->name);
    }
    create_idempotency_guard(state);
    auto response = run_to_end(state);
    if (state.key && response.execution == execution_status::not_executed)
    {
        state.key->mark_not_run();
    }
    if (state.key && response.execution == execution_status::unknown)
    {
        state.key->mark_lost();
    }
    record_metrics(state, response);
    return response;
}

auto request_handler::create_idempotency_guard(request_state& state) -> void
{
    const auto& key = state.request.idempotency_key;
    if (!key.empty() && !state.workload->idempotent)
    {
        state.key.emplace(m_keys,
                          idempotency_key{state.workload->workspace, key},
                          fingerprint_of(state.request));
    }
}

auto request_handler::run_to_end(request_state& state) -> caller_response
{
    if (state.key)
    {
        if (auto known = state.key->find_known_response(state.deadline))
        {
            return std::move(*known);
        }
    }
    for (;;)
    {
        const auto place = wait_for_placement(state);
        if (const auto* const why = std::get_if<refusal>(&place))
        {
            return refusal_response(*why);
        }
        auto response = attempt(state, std::get<grant>(place));
        if (response)
        {
            return std::move(*response);
        }
    }
}

auto request_handler::record_metrics(const request_state& state,
                                     const caller_response& response) -> void
{
    auto& series = m_meters.series(*state.workload);
    series.observe_attempts(state.attempts);
    metrics::label_set labels = series.labels();
    labels.kind = to_label(response.execution);
    m_meters.add(metrics::counter::answers, labels);
    if (response.refused)
    {
        labels.kind = to_string(*response.refused);
        m_meters.add(metrics::counter::refusals, labels);
    }
    labels.kind = "in";
    m_meters.add(metrics::counter::bytes, labels,
                 state.request.forward.body.size());
    labels.kind = "out";
    m_meters.add(metrics::counter::bytes, labels, response.body.size());
    if (state.attempts > 1)
    {
        m_meters.add(metrics::counter::retries, series.labels(),
                     static_cast<std::uint64_t>(state.attempts - 1));
    }
    logging::debug("answered")
        .request(state.request.request_id)
        .with("workload", state.workload->name)
        .with("status", response.status)
        .with("ran", to_label(response.execution))
        .with("attempts", state.attempts);
}

auto request_handler::refuse(const refusal& why) -> caller_response
{
    metrics::label_set labels;
    labels.kind = to_string(why.reason);
    m_meters.add(metrics::counter::refusals, labels);
    return refusal_response(why);
}

auto request_handler::record_wait(const request_state& state) -> void
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

auto request_handler::wait_for_placement(const request_state& state)
    -> placement_result
{
    const auto number = ++m_numbers;
    const auto item = std::make_shared<queued_request>(
        number, state.in_force, state.workload, state.arrived, state.deadline);
    if (!state.open.begin_waiting(item))
    {
        return refusal{refusal_reason::cancelled, default_retry_after};
    }
    m_control.post(control::request_arrived{item});
    auto placement = item->wait_until(state.deadline + control_grace);
    record_wait(state);
    if (state.open.cancelled())
    {
        m_control.post(control::request_cancelled{number});
    }
    if (placement)
    {
        return std::move(*placement);
    }
    m_control.post(control::request_cancelled{number});
    return refusal{refusal_reason::deadline_passed, default_retry_after};
}

auto request_handler::attempt(request_state& state, const grant& where)
    -> step_result
{
    if (state.key)
    {
        if (auto final_response = state.key->claim(where, state.deadline))
        {
            release_grant(where, ownership::attempt_outcome::never_started, {});
            return final_response;
        }
        if (!state.key->can_send(boot_clock::now()))
        {
            ++state.attempts;
            return on_not_started(state, where,
                                  ownership::attempt_outcome::never_started);
        }
    }
    if (!state.open.begin(where))
    {
        release_grant(where, ownership::attempt_outcome::never_started, {});
        return cancelled_response();
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
    case attempt_status::answered:
        return on_response(state, where, std::move(end), run_time);
    case attempt_status::refused:
        return on_not_started(state, where,
                              ownership::attempt_outcome::never_started);
    case attempt_status::fenced:
        return on_not_started(state, where, ownership::attempt_outcome::fenced);
    case attempt_status::never_sent:
        return on_not_started(state, where,
                              ownership::attempt_outcome::unreachable);
    case attempt_status::unknown:
        return on_unknown(state, where);
    }
    return on_unknown(state, where);
}

auto request_handler::on_response(request_state& state, const grant& where,
                                  attempt_result end,
                                  std::chrono::microseconds run_time)
    -> step_result
{
    const bool failed = end.status >= first_server_error;
    if (failed && state.open.cancelled())
    {
        // The worker ends a stopped request with a 5xx status. The attempt has
        // ended, and says nothing about the worker's health.
        release_grant(where, ownership::attempt_outcome::never_started, {});
        return unknown_outcome_response(bad_gateway_status);
    }
    release_grant(where,
                  failed ? ownership::attempt_outcome::failed
                         : ownership::attempt_outcome::finished,
                  run_time);
    if (failed && state.workload->idempotent && can_retry(state))
    {
        return std::nullopt;
    }
    caller_response response;
    response.status = end.status;
    response.execution = execution_status::executed;
    response.body = std::move(end.body);
    response.headers = std::move(end.headers);
    m_meters.series(*state.workload)
        .observe(metrics::measure::service, run_time);
    if (state.key)
    {
        state.key->store_response(response);
    }
    return response;
}

auto request_handler::on_not_started(const request_state& state,
                                     const grant& where,
                                     ownership::attempt_outcome outcome)
    -> step_result
{
    release_grant(where, outcome, {});
    if (state.open.cancelled())
    {
        return cancelled_response();
    }
    // The attempt did not run, so the request may be retried even if the
    // workload is not idempotent.
    if (state.attempts < max_attempts)
    {
        return std::nullopt;
    }
    return refusal_response({refusal_reason::no_start, default_retry_after});
}

auto request_handler::cancelled_response() -> caller_response
{
    return refusal_response({refusal_reason::cancelled, default_retry_after});
}

auto request_handler::cancel(const std::string& request_id) -> std::size_t
{
    const auto found = m_open.cancel(request_id);
    for (const auto& item : found.running)
    {
        // If stopping fails, the request ends with its response or deadline.
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

auto request_handler::revoke_attempt(const grant& where)
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
    // After a revocation the worker never starts an attempt that it has not
    // started before.
    const auto found = revoke_attempt(where);
    if (found == worker::attempt_state::revoked)
    {
        return on_not_started(state, where,
                              ownership::attempt_outcome::never_started);
    }
    release_grant(where, ownership::attempt_outcome::unknown, {});
    // Idempotent work may be retried, but must never run on two workers at the
    // same time.
    if (state.workload->idempotent && has_ended(where, found) &&
        can_retry(state))
    {
        return std::nullopt;
    }
    return unknown_outcome_response(boot_clock::now() >= state.deadline
                                        ? timeout_status
                                        : bad_gateway_status);
}

auto request_handler::has_ended(const grant& where,
                                std::optional<worker::attempt_state> found)
    -> bool
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

auto request_handler::release_grant(const grant& where,
                                    ownership::attempt_outcome outcome,
                                    std::chrono::microseconds run_time) -> void
{
    m_control.post(control::attempt_ended{where, outcome, run_time});
}

auto request_handler::can_retry(const request_state& state) -> bool
{
    if (boot_clock::now() >= state.deadline || state.attempts >= max_attempts ||
        state.open.cancelled())
    {
        return false;
    }
    const std::lock_guard lock(m_budget_mutex);
    return m_budget.try_retry(state.workload->name);
}

} // namespace pimentoshunt::entry
