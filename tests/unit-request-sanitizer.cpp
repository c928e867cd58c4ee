/// @file
/// request_sanitizer: hidden and forged headers, and bodies with an ambiguous
/// or missing length.
#include <pimentoshunt/entry/request_sanitizer.hpp>

#include <criterion/criterion.h>

#include <string> // string

using namespace pimentoshunt;

namespace
{

constexpr std::size_t body_limit = 100;

auto request_with(const std::string& method, const httplib::Headers& headers)
    -> httplib::Request
{
    httplib::Request request;
    request.method = method;
    request.headers = headers;
    return request;
}

auto status_of(httplib::Request request) -> int
{
    const auto answer = entry::sanitize_request(request, body_limit);
    return answer ? answer->status : 0;
}

auto forwarded(httplib::Request request, const std::string& name) -> std::string
{
    cr_assert(!entry::sanitize_request(request, body_limit));
    std::string values;
    for (const auto& item : entry::forwarded_headers(request))
    {
        if (item.name == name)
        {
            values += item.value + ";";
        }
    }
    return values;
}

} // namespace

Test(request_sanitizer, preserves_headers_the_library_would_interpret)
{
    const httplib::Headers sent{
        {"Content-Length", "4"},      {"Content-Type", "multipart/form-data"},
        {"Content-Encoding", "gzip"}, {"Range", "bytes=0-1"},
        {"Accept-Encoding", "br"},    {"Accept-Encoding", "gzip"}};
    auto request = request_with("POST", sent);
    cr_assert(!entry::sanitize_request(request, body_limit));
    cr_assert(!request.is_multipart_form_data());
    cr_assert(!request.has_header("Content-Encoding"));
    cr_assert_eq(forwarded(request_with("POST", sent), "Content-Type"),
                 "multipart/form-data;");
    cr_assert_eq(forwarded(request_with("POST", sent), "Content-Encoding"),
                 "gzip;");
    cr_assert_eq(forwarded(request_with("POST", sent), "Accept-Encoding"),
                 "br;gzip;");
    cr_assert_eq(forwarded(request_with("POST", sent), "Content-Length"), "");
}

Test(request_sanitizer, forged_headers_are_never_forwarded_as_reserved_ones)
{
    const auto forged =
        request_with("GET", {{"Pimentoshunt-Hidden-Pimentoshunt-Epoch", "9"},
                             {"pimentoshunt-hidden-Content-Type", "text/evil"},
                             {"Pimentoshunt-Epoch", "8"},
                             {"Pimentoshunt-Hidden-Method", "DELETE"}});
    cr_assert_eq(forwarded(forged, "Pimentoshunt-Epoch"), "");
    cr_assert_eq(forwarded(forged, "Content-Type"), "");
    auto request = forged;
    cr_assert(!entry::sanitize_request(request, body_limit));
    cr_assert_eq(entry::original_method(request), "GET");
}

Test(request_sanitizer, a_body_of_ambiguous_length_is_rejected)
{
    cr_expect_eq(status_of(request_with("POST", {})), 411);
    cr_expect_eq(status_of(request_with("PATCH", {})), 411);
    cr_expect_eq(status_of(request_with("GET", {})), 0);
    cr_expect_eq(status_of(request_with("DELETE", {})), 0);
    cr_expect_eq(status_of(request_with("POST", {{"Content-Length", "-1"}})),
                 400);
    cr_expect_eq(status_of(request_with("POST", {{"Content-Length", "1x"}})),
                 400);
    cr_expect_eq(status_of(request_with("POST", {{"Content-Length", "1"},
                                                 {"Content-Length", "2"}})),
                 400);
    cr_expect_eq(status_of(request_with("POST", {{"Content-Length", "101"}})),
                 413);
    cr_expect_eq(
        status_of(request_with("POST", {{"Transfer-Encoding", "chunked"}})), 0);
    cr_expect_eq(
        status_of(request_with("POST", {{"Transfer-Encoding", "gzip"}})), 400);
    cr_expect_eq(
        status_of(request_with("POST", {{"Transfer-Encoding", "chunked"},
                                        {"Content-Length", "3"}})),
        400);
}

Test(request_sanitizer, a_body_is_read_whatever_the_method)
{
    auto request = request_with("GET", {{"Content-Length", "4"}});
    cr_assert(!entry::sanitize_request(request, body_limit));
    cr_assert_eq(request.method, "POST");
    cr_assert_eq(entry::original_method(request), "GET");
    cr_assert_eq(
        forwarded(request_with("GET", {{"Content-Length", "4"}}), "Method"),
        "");
}
