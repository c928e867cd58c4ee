#include <pimentoshunt/entry/idempotency_guard.hpp>

#include <algorithm> // min
#include <thread>    // sleep_for

namespace pimentoshunt::entry
{
namespace
{

constexpr int conflict_status = 409;
constexpr int bad_request_status = 400;
constexpr int bad_gateway_status = 502;
constexpr int unprocessable_status = 422;
/// Delay between reads of the row of an earlier request in progress; doubles
/// up to max_poll.
constexpr milliseconds initial_poll{20};
/// How long a live holder is waited for before its attempt is revoked at the
/// worker.
constexpr milliseconds holder_grace{1'000};
constexpr milliseconds max_poll{250};
/// Longest delay of a response while its record is written.
constexpr milliseconds record_timeout{1'000};
constexpr milliseconds default_retry_after{1'000};

auto response_to_error(const error& fault) -> std::optional<caller_response>
{
    if (fault.id == idempotency_key_invalid)
    {
        return error_response(bad_request_status, fault.what, fault.remedy);
    }
    // At-most-once execution takes precedence over availability: without a
    // row for the key the request is not executed.
    return refusal_response({refusal_reason::store_down, default_retry_after});
}

auto replay_response(const stored_response& stored) -> caller_response
{
    caller_response response;
    response.status = stored.status;
    response.execution = execution_status::executed;
    response.body = stored.body;
    for (const auto& item : stored.headers)
    {
        response.headers.push_back({item.name, item.value});
    }
    return response;
}

auto in_progress_response() -> caller_response
{
    auto response = unknown_outcome_response(conflict_status);
    response.retry_after = default_retry_after;
    return response;
}

} // namespace

auto idempotency_guard::response_for(const idempotency_decision& decision)
    -> std::optional<caller_response>
{
    switch (decision.verdict)
    {
    case idempotency_verdict::run:
        m_permit = decision.permit;
        return std::nullopt;
    case idempotency_verdict::vacant:
        return std::nullopt;
    case idempotency_verdict::replay:
        return replay_response(*decision.response);
    case idempotency_verdict::in_progress:
        return in_progress_response();
    case idempotency_verdict::unknown:
        return unknown_outcome_response(bad_gateway_status);
    case idempotency_verdict::mismatch:
        return error_response(
            unprocessable_status,
            "the Idempotency-Key was used for another request",
            "use a fresh key for a different request");
    }
    return unknown_outcome_response(bad_gateway_status);
}

auto idempotency_guard::never_started(const idempotency_decision& earlier)
    -> bool
{
    return handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_AUTO(report, m_services.workers.revoke(
                                        earlier.worker_url, earlier.earlier));
            return report.state == worker::attempt_state::revoked;
        },
        [](const error&)
        {
            return false;
        });
}

auto idempotency_guard::find_known_response(time_point until)
    -> std::optional<caller_response>
{
    auto poll = initial_poll;
    auto ask_worker_at = boot_clock::now() + holder_grace;
    for (;;)
    {
        bool must_wait = false;
        auto response = handle(
            [&]() -> result<std::optional<caller_response>>
            {
                BOOST_LEAF_AUTO(decision,
                                m_services.log.peek(m_key, m_fingerprint));
                const bool running =
                    decision.verdict == idempotency_verdict::in_progress;
                must_wait =
                    running && m_services.alive.contains(decision.holder);
                // A live holder may not know that its own claim succeeded, if
                // the reply to the commit was lost.
                if (must_wait && boot_clock::now() >= ask_worker_at)
                {
                    ask_worker_at = boot_clock::now() + holder_grace;
                    must_wait = !never_started(decision);
                }
                // After the holder's death, claim() learns the outcome from the
                // worker.
                return running && !must_wait ? std::nullopt
                                             : response_for(decision);
            },
            response_to_error);
        if (!must_wait || boot_clock::now() + poll >= until)
        {
            return response;
        }
        std::this_thread::sleep_for(poll);
        poll = std::min(poll * 2, max_poll);
    }
}

auto idempotency_guard::begin(const grant& where, time_point until)
    -> result<std::optional<caller_response>>
{
    if (m_permit)
    {
        BOOST_LEAF_ASSIGN(m_permit,
                          m_services.log.rebind(*m_permit, where.attempt,
                                                where.base_url, until));
        return std::optional<caller_response>();
    }
    const idempotency_claim claim{m_key, m_fingerprint, where.attempt,
                                  where.base_url};
    const auto dead = [this](const std::string& holder)
    {
        return !m_services.alive.contains(holder);
    };
    BOOST_LEAF_AUTO(
        decision, m_services.log.begin(claim, until, dead, m_services.workers));
    return response_for(decision);
}

auto idempotency_guard::claim(const grant& where, time_point until)
    -> std::optional<caller_response>
{
    return handle(
        [&]() -> result<std::optional<caller_response>>
        {
            return begin(where, until);
        },
        response_to_error);
}

auto idempotency_guard::can_send(time_point now) const -> bool
{
    return !m_permit || now < m_permit->send_before;
}

auto idempotency_guard::store_response(const caller_response& response) -> void
{
    if (!m_permit)
    {
        return;
    }
    stored_response stored;
    stored.status = response.status;
    stored.body = response.body;
    for (const auto& item : response.headers)
    {
        stored.headers.push_back({item.name, item.value});
    }
    // On failure the log keeps the response and retries the write itself.
    static_cast<void>(handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(m_services.log.record_response(
                *m_permit, std::move(stored),
                boot_clock::now() + record_timeout));
            return true;
        },
        [](const error&)
        {
            return false;
        }));
}

auto idempotency_guard::mark_not_run() -> void
{
    if (!m_permit)
    {
        return;
    }
    static_cast<void>(handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(m_services.log.record_not_run(
                *m_permit, boot_clock::now() + record_timeout));
            return true;
        },
        [](const error&)
        {
            return false;
        }));
}

auto idempotency_guard::mark_lost() -> void
{
    if (!m_permit)
    {
        return;
    }
    static_cast<void>(handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(m_services.log.record_lost(
                *m_permit, boot_clock::now() + record_timeout));
            return true;
        },
        [](const error&)
        {
            return false;
        }));
}

} // namespace pimentoshunt::entry
