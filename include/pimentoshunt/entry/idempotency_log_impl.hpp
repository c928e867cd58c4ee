/// @file
/// Member definitions of idempotency_log; included by its header.
#pragma once

#include <pimentoshunt/entry/idempotency_log.hpp>

namespace pimentoshunt::entry
{

template<class Platform>
auto idempotency_log<Platform>::find(const idempotency_key& key)
    -> result<key_row>
{
    const auto row_key = key.row_key();
    BOOST_LEAF_AUTO(row, m_store.read(row_key));
    if (!row)
    {
        return key_row{};
    }
    auto record = parse_idempotency_record(row->value);
    if (!record)
    {
        return detail::record_unreadable_error(row_key);
    }
    return key_row{row->version, std::move(record)};
}

template<class Platform>
auto idempotency_log<Platform>::load_body(const idempotency_record& record)
    -> result<stored_response>
{
    auto response = *record.response;
    if (record.body_object.empty())
    {
        return response;
    }
    BOOST_LEAF_AUTO(body, m_store.get_object(record.body_object));
    if (!body)
    {
        return detail::record_unreadable_error(record.body_object);
    }
    response.body = std::move(*body);
    return response;
}

template<class Platform>
auto idempotency_log<Platform>::evaluate(const key_row& found,
                                         const std::string& fingerprint)
    -> result<idempotency_decision>
{
    idempotency_decision out;
    out.verdict = idempotency_verdict::vacant;
    if (!found.record)
    {
        return out;
    }
    const auto& record = *found.record;
    out.earlier = record.attempt;
    out.holder = record.holder;
    out.worker_url = record.worker_url;
    if (record.fingerprint != fingerprint)
    {
        out.verdict = idempotency_verdict::mismatch;
        return out;
    }
    if (record.state == record_state::started)
    {
        out.verdict = idempotency_verdict::in_progress;
        return out;
    }
    if (record.state == record_state::lost)
    {
        out.verdict = idempotency_verdict::unknown;
        return out;
    }
    if (record.state == record_state::answered)
    {
        BOOST_LEAF_AUTO(response, load_body(record));
        out.response = std::move(response);
        out.verdict = idempotency_verdict::replay;
    }
    return out;
}

template<class Platform>
auto idempotency_log<Platform>::peek(const idempotency_key& key,
                                     const std::string& fingerprint)
    -> result<idempotency_decision>
{
    BOOST_LEAF_CHECK(detail::check_key(key));
    BOOST_LEAF_AUTO(found, find(key));
    return evaluate(found, fingerprint);
}

template<class Platform>
auto idempotency_log<Platform>::try_claim(const idempotency_claim& claim,
                                          std::int64_t expect, time_point until)
    -> result<std::optional<idempotency_permit>>
{
    idempotency_permit permit;
    permit.key = claim.key;
    permit.send_before = boot_clock::now() + m_limits.max_claim_to_send;
    permit.record.fingerprint = claim.fingerprint;
    permit.record.holder = m_holder;
    permit.record.attempt = claim.attempt;
    permit.record.worker_url = claim.worker_url;
    permit.record.claimed_at = std::chrono::system_clock::now();
    BOOST_LEAF_AUTO(outcome, m_writes.commit({claim.key.row_key(), expect,
                                              serialize(permit.record)},
                                             until));
    if (!outcome.committed)
    {
        return std::optional<idempotency_permit>();
    }
    permit.version = expect + 1;
    return std::optional<idempotency_permit>(std::move(permit));
}

template<class Platform>
template<class Workers>
auto idempotency_log<Platform>::revoke_earlier_attempt(
    const idempotency_record& record, Workers& workers) -> worker::attempt_state
{
    return handle(
        [&]() -> result<worker::attempt_state>
        {
            BOOST_LEAF_AUTO(report,
                            workers.revoke(record.worker_url, record.attempt));
            return report.state;
        },
        [](const error&)
        {
            // The worker did not answer, so the attempt is assumed to run.
            return worker::attempt_state::running;
        });
}

template<class Platform>
template<class Dead, class Workers>
auto idempotency_log<Platform>::begin(const idempotency_claim& claim,
                                      time_point until, Dead&& holder_dead,
                                      Workers& workers)
    -> result<idempotency_decision>
{
    BOOST_LEAF_CHECK(detail::check_key(claim.key));
    auto expect = platform::expect_absent;
    auto poll = m_limits.initial_poll;
    auto revoke_at = boot_clock::now() + m_limits.holder_grace;
    while (true)
    {
        if (expect != platform::expect_any)
        {
            BOOST_LEAF_AUTO(permit, try_claim(claim, expect, until));
            if (permit)
            {
                idempotency_decision out;
                out.verdict = idempotency_verdict::run;
                out.permit = std::move(permit);
                return out;
            }
        }
        expect = platform::expect_any;
        BOOST_LEAF_AUTO(found, find(claim.key));
        BOOST_LEAF_AUTO(decision, evaluate(found, claim.fingerprint));
        if (decision.verdict == idempotency_verdict::vacant)
        {
            expect = found.version;
            continue;
        }
        if (decision.verdict != idempotency_verdict::in_progress)
        {
            return decision;
        }
        const bool dead = holder_dead(found.record->holder);
        const auto now = boot_clock::now();
        if (dead || now >= revoke_at)
        {
            revoke_at = now + m_limits.holder_grace;
            const auto state = revoke_earlier_attempt(*found.record, workers);
            if (state == worker::attempt_state::revoked)
            {
                // The attempt has not started and never will. The conditional
                // write decides whether this retry, another retry or the holder
                // with another attempt proceeds.
                expect = found.version;
                continue;
            }
            if (dead)
            {
                // The response may have been recorded since the row was read.
                BOOST_LEAF_AUTO(last, find(claim.key));
                if (last.version != found.version)
                {
                    continue;
                }
                decision.verdict = idempotency_verdict::unknown;
                return decision;
            }
        }
        if (now + poll >= until)
        {
            return decision;
        }
        std::this_thread::sleep_for(poll);
        poll = std::min(poll * 2, m_limits.max_poll);
    }
}

template<class Platform>
auto idempotency_log<Platform>::rewrite(const idempotency_permit& permit,
                                        const idempotency_record& record,
                                        time_point until)
    -> result<std::int64_t>
{
    BOOST_LEAF_AUTO(
        outcome,
        m_writes.commit(
            {permit.key.row_key(), permit.version, serialize(record)}, until));
    if (!outcome.committed)
    {
        return detail::claim_lost_error(permit.key);
    }
    return permit.version + 1;
}

template<class Platform>
auto idempotency_log<Platform>::rebind(const idempotency_permit& permit,
                                       const attempt_id& attempt,
                                       const std::string& worker_url,
                                       time_point until)
    -> result<idempotency_permit>
{
    auto next = permit;
    next.send_before = boot_clock::now() + m_limits.max_claim_to_send;
    next.record.attempt = attempt;
    next.record.worker_url = worker_url;
    BOOST_LEAF_AUTO(version, rewrite(permit, next.record, until));
    next.version = version;
    return next;
}

template<class Platform>
auto idempotency_log<Platform>::write_response(const idempotency_permit& permit,
                                               const stored_response& response,
                                               time_point until) -> result<void>
{
    auto record = permit.record;
    record.state = record_state::answered;
    record.response = response;
    if (response.body.size() > max_inline_body_bytes)
    {
        record.body_object = permit.key.row_key() + "/" + record.attempt.str();
        BOOST_LEAF_CHECK(m_store.put_object(record.body_object, response.body));
        record.response->body.clear();
    }
    const auto fault = detail::error_of(
        [&]
        {
            return rewrite(permit, record, until);
        });
    if (!fault || has_response_of(permit))
    {
        return {};
    }
    return leaf::new_error(*fault);
}

template<class Platform>
auto idempotency_log<Platform>::has_response_of(
    const idempotency_permit& permit) -> bool
{
    return handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_AUTO(found, find(permit.key));
            return found.record &&
                   found.record->state == record_state::answered &&
                   found.record->attempt == permit.record.attempt;
        },
        [](const error&)
        {
            return false;
        });
}

template<class Platform>
auto idempotency_log<Platform>::record_response(
    const idempotency_permit& permit, stored_response response,
    time_point until) -> result<void>
{
    const auto fault = detail::error_of(
        [&]
        {
            return write_response(permit, response, until);
        });
    if (!fault)
    {
        return {};
    }
    if (fault->kind == error_kind::platform)
    {
        queue_unrecorded(permit, std::move(response));
    }
    return leaf::new_error(*fault);
}

template<class Platform>
auto idempotency_log<Platform>::queue_unrecorded(
    const idempotency_permit& permit, stored_response response) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto bytes = m_unrecorded_bytes + response.body.size();
    if (m_unrecorded.size() >= m_limits.max_unrecorded_responses ||
        bytes > m_limits.max_unrecorded_bytes)
    {
        // Without a response the row stays "started": a retry is told that the
        // outcome is unknown and is never executed.
        return;
    }
    m_unrecorded_bytes = bytes;
    m_unrecorded.push_back({permit, std::move(response)});
}

template<class Platform>
auto idempotency_log<Platform>::flush(time_point until) -> std::size_t
{
    while (true)
    {
        std::unique_lock lock(m_mutex);
        if (m_unrecorded.empty() || boot_clock::now() >= until)
        {
            return m_unrecorded.size();
        }
        auto item = std::move(m_unrecorded.front());
        m_unrecorded.pop_front();
        m_unrecorded_bytes -= item.response.body.size();
        lock.unlock();
        const auto fault = detail::error_of(
            [&]
            {
                return record_response(item.permit, std::move(item.response),
                                       until);
            });
        if (fault && fault->kind == error_kind::platform)
        {
            const std::lock_guard again(m_mutex);
            return m_unrecorded.size();
        }
    }
}

template<class Platform>
auto idempotency_log<Platform>::record_not_run(const idempotency_permit& permit,
                                               time_point until) -> result<void>
{
    auto record = permit.record;
    record.state = record_state::not_run;
    BOOST_LEAF_CHECK(rewrite(permit, record, until));
    return {};
}

template<class Platform>
auto idempotency_log<Platform>::record_lost(const idempotency_permit& permit,
                                            time_point until) -> result<void>
{
    auto record = permit.record;
    record.state = record_state::lost;
    BOOST_LEAF_CHECK(rewrite(permit, record, until));
    return {};
}

template<class Platform>
auto idempotency_log<Platform>::sweep(std::chrono::system_clock::time_point now,
                                      std::size_t batch)
    -> result<idempotency_sweep>
{
    std::string cursor;
    {
        const std::lock_guard lock(m_mutex);
        cursor = m_sweep_cursor;
    }
    BOOST_LEAF_AUTO(rows, m_store.scan(idempotency_prefix, cursor, batch));
    idempotency_sweep out;
    out.seen = rows.size();
    out.complete = rows.size() < batch;
    platform::transaction change{"sweep/" + m_holder, {}};
    for (const auto& row : rows)
    {
        const auto record = parse_idempotency_record(row.value);
        if (record && now - record->claimed_at > m_limits.retention)
        {
            change.operations.push_back({row.key, row.version, std::nullopt});
        }
    }
    if (!change.operations.empty())
    {
        // After a conflict the rows stay for a later sweep.
        BOOST_LEAF_AUTO(outcome, m_store.commit(change));
        out.removed = outcome.committed ? change.operations.size() : 0;
    }
    const std::lock_guard lock(m_mutex);
    m_sweep_cursor = out.complete ? std::string() : rows.back().key;
    return out;
}

} // namespace pimentoshunt::entry
