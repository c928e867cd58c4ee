#include <pimentoshunt/entry/caller_response.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pimentoshunt::entry
{
namespace
{

constexpr int unavailable_status = 503;
constexpr int timeout_status = 504;

auto message_body(const std::string& what, const std::string& remedy)
    -> std::string
{
    return boost::json::serialize(
        boost::json::object{{"error", what}, {"remedy", remedy}});
}

auto describe(refusal_reason reason) -> std::string
{
    switch (reason)
    {
    case refusal_reason::deadline_passed:
        return "no worker became free before the deadline";
    case refusal_reason::queue_full:
        return "the queue of waiting requests is full";
    case refusal_reason::overload:
        return "the deadline would be missed because of the requests queued "
               "ahead";
    case refusal_reason::stopping:
        return "this instance is stopping";
    case refusal_reason::fits_nowhere:
        return "no registered worker is large enough for this workload";
    case refusal_reason::no_start:
        return "none of the workers tried started the request";
    case refusal_reason::store_down:
        return "the Idempotency-Key cannot be recorded while the table is "
               "unavailable";
    case refusal_reason::cancelled:
        return "the request was cancelled";
    }
    return "refused";
}

} // namespace

auto to_string(refusal_reason reason) -> const char*
{
    switch (reason)
    {
    case refusal_reason::deadline_passed:
        return "deadline_passed";
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::overload:
        return "overload";
    case refusal_reason::stopping:
        return "stopping";
    case refusal_reason::fits_nowhere:
        return "fits_nowhere";
    case refusal_reason::no_start:
        return "no_start";
    case refusal_reason::store_down:
        return "store_down";
    case refusal_reason::cancelled:
        return "cancelled";
    }
    return "unknown";
}

auto refusal_response(const refusal& why) -> caller_response
{
    caller_response response;
    response.status = why.reason == refusal_reason::deadline_passed
                          ? timeout_status
                          : unavailable_status;
    response.execution = execution_status::not_executed;
    response.retry_after = why.retry_after;
    response.refused = why.reason;
    response.body =
        message_body(describe(why.reason) + "; the request was not executed",
                     "send the request again after Retry-After");
    return response;
}

auto error_response(int status, const std::string& what,
                    const std::string& remedy) -> caller_response
{
    caller_response response;
    response.status = status;
    response.execution = execution_status::not_executed;
    response.body = message_body(what, remedy);
    return response;
}

auto unknown_outcome_response(int status) -> caller_response
{
    caller_response response;
    response.status = status;
    response.execution = execution_status::unknown;
    response.body = message_body(
        "the request was sent to a worker and its outcome is unknown",
        "look up its effect in the application before sending it again");
    return response;
}

} // namespace pimentoshunt::entry
