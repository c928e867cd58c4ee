/// @file
/// The idempotency key of one request through all its attempts.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/caller_response.hpp>
#include <pimentoshunt/entry/idempotency_log.hpp>
#include <pimentoshunt/membership/live_holders.hpp>
#include <pimentoshunt/platform/http_platform.hpp>
#include <pimentoshunt/worker/http_worker.hpp>

#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::entry
{

/// @brief The log over the platform's table.
using platform_idempotency_log = idempotency_log<platform::http_platform>;

/// @brief What all keyed requests share.
struct idempotency_services
{
    platform_idempotency_log& log;
    worker::http_worker& workers;
    const membership::live_holders& alive;
};

/// @brief Sees to it that a keyed request runs at most once over all
/// instances. Used by one thread.
class idempotency_guard
{
  public:
    idempotency_guard(idempotency_services services, idempotency_key key,
                      std::string fingerprint)
        : m_services(services), m_key(std::move(key)),
          m_fingerprint(std::move(fingerprint))
    {
    }

    /// @brief Waits for an earlier request with the key, before any place is
    ///        sought.
    /// @return the final answer, or nothing: the request may go on
    auto find_known_response(time_point until)
        -> std::optional<caller_response>;

    /// @brief Claims the key for this attempt, before anything is sent.
    /// @return the final answer, or nothing: the attempt may be sent
    auto claim(const grant& where, time_point until)
        -> std::optional<caller_response>;

    /// @brief Whether the claim is fresh enough to send what it names.
    ///
    /// A worker forgets a revocation some time; what was paused since its
    /// claim for long must claim anew.
    [[nodiscard]] auto can_send(time_point now) const -> bool;

    /// @brief Keeps the answer for repeats, before it is given.
    auto store_response(const caller_response& response) -> void;

    /// @brief Frees the key for a repeat: nothing has run.
    auto mark_not_run() -> void;

    /// @brief Tells repeats that the outcome will never be known, so that
    ///        none waits for it.
    auto mark_lost() -> void;

  private:
    /// Whether the earlier request's attempt never started and never will.
    auto never_started(const idempotency_decision& earlier) -> bool;
    auto response_for(const idempotency_decision& decision)
        -> std::optional<caller_response>;
    auto begin(const grant& where, time_point until)
        -> result<std::optional<caller_response>>;

    idempotency_services m_services;
    idempotency_key m_key;
    std::string m_fingerprint;
    std::optional<idempotency_permit> m_permit;
};

} // namespace pimentoshunt::entry
