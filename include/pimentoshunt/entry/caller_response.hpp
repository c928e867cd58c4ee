/// @file
/// The final response to a caller's request, and the functions that build the
/// responses of this instance itself: refusals, errors and unknown outcomes.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/queued_request.hpp>
#include <pimentoshunt/platform/http_pool.hpp>

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::entry
{

/// @brief Whether a request was executed, as reported in the header
/// Pimentoshunt-Ran.
enum class execution_status
{
    executed,
    /// The request has certainly not been executed and will not be.
    not_executed,
    /// The request may have been executed; this instance cannot tell.
    unknown
};

/// @brief The final response to a caller.
struct caller_response
{
    int status = 503;
    execution_status execution = execution_status::not_executed;
    std::string body;
    std::vector<platform::http_header> headers;
    /// Value of the Retry-After header; zero omits the header.
    milliseconds retry_after{0};
    /// Why the request got no worker; empty for all other responses.
    std::optional<refusal_reason> refused;
};

/// @brief Returns the reason's label for metrics and logs.
[[nodiscard]] auto to_string(refusal_reason reason) -> const char*;

/// @brief Builds the response to a request that was refused before execution.
///
/// The status is 504 when the deadline has passed, else 503.
[[nodiscard]] auto refusal_response(const refusal& why) -> caller_response;

/// @brief Builds the response to a faulty request, which was not executed.
/// @param status  a 4xx status
/// @param what  what is wrong with the request
/// @param remedy  what the caller can do
[[nodiscard]] auto error_response(int status, const std::string& what,
                                  const std::string& remedy) -> caller_response;

/// @brief Builds the response for a request that may have been executed.
/// @param status  502, 504 past the deadline, or 409 while an earlier request
///        with the same idempotency key is in progress
[[nodiscard]] auto unknown_outcome_response(int status) -> caller_response;

} // namespace pimentoshunt::entry
