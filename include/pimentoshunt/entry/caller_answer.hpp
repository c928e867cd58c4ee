/// @file
/// What a caller is told at the end of a request.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/ticket.hpp>
#include <pimentoshunt/platform/http_pool.hpp>

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::entry
{

/// @brief Whether a request ran, as the caller is told.
enum class ran
{
    yes,
    /// It certainly did not and will not.
    no,
    /// It can't be known here.
    unknown
};

/// @brief The final answer to a caller.
struct caller_answer
{
    int status = 503;
    ran did_run = ran::no;
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
[[nodiscard]] auto refused_answer(const refusal& why) -> caller_answer;

/// @brief The answer to a request that did not run because of its own fault.
[[nodiscard]] auto faulty_answer(int status, const std::string& what,
                                 const std::string& remedy) -> caller_answer;

/// @brief The answer when it can't be known whether it ran.
/// @param status  502, or 504 past the deadline
[[nodiscard]] auto unknown_answer(int status) -> caller_answer;

} // namespace pimentoshunt::entry
