#include <pimentoshunt/entry/request_sanitizer.hpp>

#include <algorithm> // any_of, transform
#include <array>     // array
#include <cctype>    // tolower
#include <charconv>  // from_chars
#include <strings.h> // strcasecmp

namespace pimentoshunt::entry
{
namespace
{

constexpr int bad_request_status = 400;
constexpr int length_required_status = 411;
constexpr int payload_too_large_status = 413;
constexpr const char* hidden_prefix = "Pimentoshunt-Hidden-";
constexpr const char* hidden_method = "Pimentoshunt-Hidden-Method";
constexpr const char* length_header = "Content-Length";
constexpr const char* coding_header = "Transfer-Encoding";

/// Headers that the library would interpret, although bodies are opaque here.
constexpr std::array hidden_headers{"Content-Type", "Content-Encoding",
                                    "Accept-Encoding", "Range"};

/// Headers that belong to one connection (hop-by-hop), or that the library
/// generates.
constexpr std::array dropped_headers{
    "Host",       "Connection",      "Keep-Alive",  "Transfer-Encoding",
    "TE",         "Trailer",         "Upgrade",     "Content-Length",
    "Expect",     "REMOTE_ADDR",     "REMOTE_PORT", "LOCAL_ADDR",
    "LOCAL_PORT", "Proxy-Connection"};

template<class Names>
auto contains_name(const Names& names, const std::string& name) -> bool
{
    return std::any_of(names.begin(), names.end(),
                       [&](const char* item)
                       {
                           return ::strcasecmp(item, name.c_str()) == 0;
                       });
}

auto has_prefix(const std::string& name, const std::string& start) -> bool
{
    return ::strncasecmp(name.c_str(), start.c_str(), start.size()) == 0;
}

auto is_reserved_header(const std::string& name) -> bool
{
    return has_prefix(name, "Pimentoshunt-");
}

/// Removes headers with the prefix of hidden headers that the caller sent
/// itself: forwarded_headers() would turn them into headers reserved for this
/// system.
auto drop_forged_headers(httplib::Request& request) -> void
{
    auto& headers = request.headers;
    for (auto item = headers.begin(); item != headers.end();)
    {
        const bool forged = has_prefix(item->first, hidden_prefix);
        item = forged ? headers.erase(item) : std::next(item);
    }
}

/// Renames headers that the library would interpret; forwarded_headers()
/// restores their names.
auto hide_headers(httplib::Request& request) -> void
{
    for (const auto* const name : hidden_headers)
    {
        std::vector<std::string> values;
        const auto range = request.headers.equal_range(name);
        for (auto item = range.first; item != range.second; ++item)
        {
            values.push_back(item->second);
        }
        request.headers.erase(name);
        for (auto& value : values)
        {
            request.headers.emplace(std::string(hidden_prefix) + name,
                                    std::move(value));
        }
    }
    request.ranges.clear();
}

auto read_length(const std::string& text) -> std::optional<std::size_t>
{
    std::size_t length = 0;
    const auto* const last = text.data() + text.size();
    const auto read = std::from_chars(text.data(), last, length);
    if (text.empty() || read.ec != std::errc{} || read.ptr != last)
    {
        return std::nullopt;
    }
    return length;
}

auto check_chunked(const httplib::Request& request)
    -> std::optional<caller_response>
{
    auto coding = request.get_header_value(coding_header);
    std::transform(coding.begin(), coding.end(), coding.begin(),
                   [](unsigned char c)
                   {
                       return static_cast<char>(std::tolower(c));
                   });
    // Two definitions of a body's end can be read differently by this server
    // and the worker (request smuggling).
    if (coding != "chunked" || request.has_header(length_header) ||
        request.get_header_value_count(coding_header) > 1)
    {
        return error_response(bad_request_status,
                              "the end of the body is ambiguous",
                              "send either Content-Length or "
                              "Transfer-Encoding: chunked");
    }
    return std::nullopt;
}

auto check_length(const httplib::Request& request, std::size_t body_limit)
    -> std::optional<caller_response>
{
    const auto length = read_length(request.get_header_value(length_header));
    if (!length || request.get_header_value_count(length_header) > 1)
    {
        return error_response(bad_request_status,
                              "Content-Length is not a valid number of bytes",
                              "send the header once, as an integer");
    }
    if (*length > body_limit)
    {
        return error_response(payload_too_large_status,
                              "the body is longer than " +
                                  std::to_string(body_limit) + " bytes",
                              "send a body of at most max_body_bytes");
    }
    return std::nullopt;
}

} // namespace

auto sanitize_request(httplib::Request& request, std::size_t body_limit)
    -> std::optional<caller_response>
{
    drop_forged_headers(request);
    hide_headers(request);
    const bool chunked = request.has_header(coding_header);
    const bool has_length = request.has_header(length_header);
    auto fault = chunked      ? check_chunked(request)
                 : has_length ? check_length(request, body_limit)
                              : std::nullopt;
    if (fault)
    {
        return fault;
    }
    if (chunked || has_length)
    {
        // The library reads bodies of some methods only, and would take the
        // body of any other request for the next request.
        if (request.method == "GET" || request.method == "OPTIONS")
        {
            request.set_header(hidden_method, request.method);
            request.method = "POST";
        }
        return std::nullopt;
    }
    if (request.method == "DELETE")
    {
        request.set_header(length_header, "0");
    }
    if (request.method == "POST" || request.method == "PUT" ||
        request.method == "PATCH")
    {
        // Without a length the library reads the body to the end of the
        // connection, which may never come.
        return error_response(length_required_status,
                              "the length of the body is missing",
                              "add Content-Length, 0 without a body, or "
                              "Transfer-Encoding: chunked");
    }
    return std::nullopt;
}

auto original_method(const httplib::Request& request) -> std::string
{
    return request.has_header(hidden_method)
               ? request.get_header_value(hidden_method)
               : request.method;
}

auto forwarded_headers(const httplib::Request& request)
    -> std::vector<platform::http_header>
{
    std::vector<platform::http_header> headers;
    const std::string hidden(hidden_prefix);
    for (const auto& [name, value] : request.headers)
    {
        if (::strcasecmp(name.c_str(), hidden_method) == 0)
        {
            continue;
        }
        if (has_prefix(name, hidden))
        {
            headers.push_back({name.substr(hidden.size()), value});
        }
        else if (!contains_name(dropped_headers, name) &&
                 !is_reserved_header(name))
        {
            headers.push_back({name, value});
        }
    }
    return headers;
}

auto is_returned_header(const std::string& name) -> bool
{
    return !contains_name(dropped_headers, name) && !is_reserved_header(name);
}

} // namespace pimentoshunt::entry
