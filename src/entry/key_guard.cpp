#include <pimentoshunt/entry/key_guard.hpp>

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
/// Between two looks at the row of an earlier request that runs.
constexpr milliseconds first_poll{20};
/// How long a live holder is left alone before the worker is asked.
constexpr milliseconds holder_grace{1'000};
constexpr milliseconds longest_poll{250};
/// An answer may be late by this much for the sake of its record.
constexpr milliseconds record_limit{1'000};
constexpr milliseconds retry_soon{1'000};

auto on_fault(const error& fault) -> std::optional<caller_answer>
{
    if (fault.id == idempotency_key_invalid)
    {
        return faulty_answer(bad_request_status, fault.what, fault.remedy);
    }
    // At most once goes before availability: without the row, no run.
    return refused_answer({refusal_reason::store_down, retry_soon});
}

auto replayed(const stored_answer& stored) -> caller_answer
{
    caller_answer answer;
    answer.status = stored.status;
    answer.did_run = ran::yes;
    answer.body = stored.body;
    for (const auto& item : stored.headers)
    {
        answer.headers.push_back({item.name, item.value});
    }
    return answer;
}

auto still_running() -> caller_answer
{
    auto answer = unknown_answer(conflict_status);
    answer.retry_after = retry_soon;
    return answer;
}

} // namespace

auto key_guard::decide(const idempotency_decision& decision)
    -> std::optional<caller_answer>
{
    switch (decision.verdict)
    {
    case idempotency_verdict::run:
        m_ticket = decision.ticket;
        return std::nullopt;
    case idempotency_verdict::vacant:
        return std::nullopt;
    case idempotency_verdict::replay:
        return replayed(*decision.answer);
    case idempotency_verdict::in_progress:
        return still_running();
    case idempotency_verdict::unknown:
        return unknown_answer(bad_gateway_status);
    case idempotency_verdict::mismatch:
        return faulty_answer(unprocessable_status,
                             "the Idempotency-Key was used for another request",
                             "use a fresh key for a different request");
    }
    return unknown_answer(bad_gateway_status);
}

auto key_guard::never_started(const idempotency_decision& earlier) -> bool
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

auto key_guard::look_up(time_point until) -> std::optional<caller_answer>
{
    auto poll = first_poll;
    auto ask_at = boot_clock::now() + holder_grace;
    for (;;)
    {
        bool waits = false;
        auto answer = handle(
            [&]() -> result<std::optional<caller_answer>>
            {
                BOOST_LEAF_AUTO(decision,
                                m_services.log.peek(m_key, m_fingerprint));
                const bool running =
                    decision.verdict == idempotency_verdict::in_progress;
                waits = running && m_services.alive.contains(decision.holder);
                // A live holder may have failed to learn of its own claim.
                if (waits && boot_clock::now() >= ask_at)
                {
                    ask_at = boot_clock::now() + holder_grace;
                    waits = !never_started(decision);
                }
                // What a dead holder left, claim() finds out at the worker.
                return running && !waits ? std::nullopt : decide(decision);
            },
            on_fault);
        if (!waits || boot_clock::now() + poll >= until)
        {
            return answer;
        }
        std::this_thread::sleep_for(poll);
        poll = std::min(poll * 2, longest_poll);
    }
}

auto key_guard::begin(const grant& where, time_point until)
    -> result<std::optional<caller_answer>>
{
    if (m_ticket)
    {
        BOOST_LEAF_ASSIGN(m_ticket,
                          m_services.log.rebind(*m_ticket, where.attempt,
                                                where.base_url, until));
        return std::optional<caller_answer>();
    }
    const idempotency_claim claim{m_key, m_fingerprint, where.attempt,
                                  where.base_url};
    const auto dead = [this](const std::string& holder)
    {
        return !m_services.alive.contains(holder);
    };
    BOOST_LEAF_AUTO(
        decision, m_services.log.begin(claim, until, dead, m_services.workers));
    return decide(decision);
}

auto key_guard::claim(const grant& where, time_point until)
    -> std::optional<caller_answer>
{
    return handle(
        [&]() -> result<std::optional<caller_answer>>
        {
            return begin(where, until);
        },
        on_fault);
}

auto key_guard::may_send(time_point now) const -> bool
{
    return !m_ticket || now < m_ticket->send_before;
}

auto key_guard::answered(const caller_answer& answer) -> void
{
    if (!m_ticket)
    {
        return;
    }
    stored_answer stored;
    stored.status = answer.status;
    stored.body = answer.body;
    for (const auto& item : answer.headers)
    {
        stored.headers.push_back({item.name, item.value});
    }
    // Where it fails, the log keeps the answer and tries again by itself.
    static_cast<void>(handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(
                m_services.log.record_answer(*m_ticket, std::move(stored),
                                             boot_clock::now() + record_limit));
            return true;
        },
        [](const error&)
        {
            return false;
        }));
}

auto key_guard::not_run() -> void
{
    if (!m_ticket)
    {
        return;
    }
    static_cast<void>(handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(m_services.log.record_not_run(
                *m_ticket, boot_clock::now() + record_limit));
            return true;
        },
        [](const error&)
        {
            return false;
        }));
}

auto key_guard::lost() -> void
{
    if (!m_ticket)
    {
        return;
    }
    static_cast<void>(handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(m_services.log.record_lost(
                *m_ticket, boot_clock::now() + record_limit));
            return true;
        },
        [](const error&)
        {
            return false;
        }));
}

} // namespace pimentoshunt::entry
