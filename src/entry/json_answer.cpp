#include <pimentoshunt/entry/json_answer.hpp>

#include <boost/json/serialize.hpp>

namespace pimentoshunt::entry
{
namespace
{

constexpr const char* retry_after_seconds = "2";

} // namespace

auto answer_json(httplib::Response& response, int status,
                 const boost::json::object& body) -> void
{
    response.status = status;
    if (status == unavailable_status)
    {
        response.set_header("Retry-After", retry_after_seconds);
    }
    response.set_content(boost::json::serialize(body), "application/json");
}

auto answer_error(httplib::Response& response, int status, const error& fault)
    -> void
{
    answer_json(response, status,
                {{"error", fault.message()},
                 {"id", fault.id},
                 {"remedy", fault.remedy}});
}

auto answer_unknown_failure(httplib::Response& response) -> void
{
    answer_error(
        response, unavailable_status,
        {error_kind::platform, 301, "", "the store failed", "send it again"});
}

} // namespace pimentoshunt::entry
