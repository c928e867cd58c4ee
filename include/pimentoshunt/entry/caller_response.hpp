/// @file
/// What a caller is told at the end of a request.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/queued_request.hpp>
#include <pimentoshunt/platform/http_pool.hpp>

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::entry
{

/// @brief Whether a request ran, as the caller is told.
enum class execution_status
{
    executed,
    /// It certainly did not and will not.
    not_executed,
    /// It can't be known here.
    unknown
};

/// @brief The final answer to a caller.
struct caller_response
{
    int status = 503;
    execution_status execution = execution_status::not_executed;
    std::string body;
    std::vector<platform::http_header> headers;
    /// Zero: no Retry-After.
    milliseconds retry_after{0};
    /// Why it got no worker; nothing for other answers.
    std::optional<refusal_reason> refused;
};

/// @brief The reason as one word, for metrics and logs.
[[nodiscard]] auto to_string(refusal_reason reason) -> const char*;

/// @brief The answer to a request that did not run for want of a place.
[[nodiscard]] auto refusal_response(const refusal& why) -> caller_response;

/// @brief The answer to a request that did not run because of its own fault.
[[nodiscard]] auto error_response(int status, const std::string& what,
                                  const std::string& remedy) -> caller_response;

/// @brief The answer when it can't be known whether it ran.
/// @param status  502, or 504 past the deadline
[[nodiscard]] auto unknown_outcome_response(int status) -> caller_response;

} // namespace pimentoshunt::entry
