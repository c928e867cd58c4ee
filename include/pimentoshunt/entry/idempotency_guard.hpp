/// @file
/// Applies the idempotency protocol to one caller's request through all its
/// attempts, and turns the log's decisions into HTTP responses.
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

/// @brief The idempotency log on the platform's table.
using platform_idempotency_log = idempotency_log<platform::http_platform>;

/// @brief The services shared by all requests with an idempotency key.
struct idempotency_services
{
    platform_idempotency_log& log;
    worker::http_worker& workers;
    const membership::live_holders& alive;
};

/// @brief Ensures that a request with an idempotency key is executed at most
/// once over all instances. Used only by the thread that serves the request.
class idempotency_guard
{
  public:
    idempotency_guard(idempotency_services services, idempotency_key key,
                      std::string fingerprint)
        : m_services(services), m_key(std::move(key)),
          m_fingerprint(std::move(fingerprint))
    {
    }

    /// @brief Waits for the outcome of an earlier request with the same key,
    ///        before a worker is requested.
    /// @return the final response, or nothing when the request may proceed
    auto find_known_response(time_point until)
        -> std::optional<caller_response>;

    /// @brief Claims the key for this attempt, before anything is sent.
    /// @return the final response, or nothing when the attempt may be sent
    auto claim(const grant& where, time_point until)
        -> std::optional<caller_response>;

    /// @brief Whether the claim is recent enough to send its attempt.
    ///
    /// A worker remembers a revocation only for a limited time, so a thread
    /// that was paused for long after its claim has to claim the key again.
    [[nodiscard]] auto can_send(time_point now) const -> bool;

    /// @brief Stores the response for retries, before it is returned.
    auto store_response(const caller_response& response) -> void;

    /// @brief Frees the key for a retry, as the request was not executed.
    auto mark_not_run() -> void;

    /// @brief Records that the outcome will never be known, so that no retry
    ///        waits for it.
    auto mark_lost() -> void;

  private:
    /// Revokes the earlier request's attempt at its worker; returns whether the
    /// attempt has not started and never will.
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
