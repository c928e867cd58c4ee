#include <pimentoshunt/entry/json_response.hpp>

#include <boost/json/serialize.hpp>

namespace pimentoshunt::entry
{
namespace
{

constexpr const char* retry_after_seconds = "2";

} // namespace

auto write_json(httplib::Response& response, int status,
                const boost::json::object& body) -> void
{
    response.status = status;
    if (status == unavailable_status)
    {
        response.set_header("Retry-After", retry_after_seconds);
    }
    response.set_content(boost::json::serialize(body), "application/json");
}

auto write_error(httplib::Response& response, int status, const error& fault)
    -> void
{
    write_json(response, status,
               {{"error", fault.message()},
                {"id", fault.id},
                {"remedy", fault.remedy}});
}

auto write_unknown_error(httplib::Response& response) -> void
{
    write_error(response, unavailable_status,
                {error_kind::platform, 301, "", "the platform's table failed",
                 "send the request again"});
}

} // namespace pimentoshunt::entry
