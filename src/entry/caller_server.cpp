/// @file
/// Translates between the HTTP library's messages and request_handler, and
/// keeps the library from changing them on the way.
#include <pimentoshunt/entry/caller_server.hpp>

#include <pimentoshunt/entry/request_sanitizer.hpp>

#include <atomic>    // atomic
#include <charconv>  // from_chars
#include <cstdint>   // uint64_t
#include <memory>    // make_shared
#include <random>    // random_device
#include <string>    // string
#include <strings.h> // strcasecmp

namespace pimentoshunt::entry
{
namespace
{

constexpr int accepted_status = 202;
constexpr int bad_request_status = 400;
constexpr int not_found_status = 404;
constexpr int payload_too_large_status = 413;
constexpr const char* service_root = "/services/";
constexpr const char* request_id_header = "X-Request-Id";

auto read_deadline(const httplib::Request& request, milliseconds& deadline)
    -> bool
{
    constexpr const char* header = "Pimentoshunt-Deadline-Ms";
    constexpr std::int64_t longest_ms = 24LL * 3600 * 1000;
    if (!request.has_header(header))
    {
        return true;
    }
    const auto text = request.get_header_value(header);
    std::int64_t value = 0;
    const auto* const last = text.data() + text.size();
    const auto read = std::from_chars(text.data(), last, value);
    if (read.ec != std::errc{} || read.ptr != last || value <= 0 ||
        value > longest_ms)
    {
        return false;
    }
    deadline = milliseconds(value);
    return true;
}

auto to_text(execution_status value) -> const char*
{
    switch (value)
    {
    case execution_status::executed:
        return "yes";
    case execution_status::not_executed:
        return "no";
    case execution_status::unknown:
        return "unknown";
    }
    return "unknown";
}

auto write(const caller_response& answer, httplib::Response& response) -> void
{
    std::string content_type = "application/json";
    for (const auto& item : answer.headers)
    {
        if (::strcasecmp(item.name.c_str(), "Content-Type") == 0)
        {
            content_type = item.value;
        }
        else if (is_returned_header(item.name) &&
                 ::strcasecmp(item.name.c_str(), request_id_header) != 0)
        {
            response.headers.emplace(item.name, item.value);
        }
    }
    response.status = answer.status;
    response.set_header("Pimentoshunt-Ran", to_text(answer.execution));
    if (answer.retry_after > milliseconds::zero())
    {
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(answer.retry_after);
        response.set_header("Retry-After", std::to_string(seconds.count()));
    }
    response.set_content(answer.body, content_type);
}

/// Writes a response and closes the connection afterwards, since the bytes that
/// follow on it cannot be distinguished from a next request.
auto write_and_close(const caller_response& answer, httplib::Response& response)
    -> void
{
    write(answer, response);
    response.body.clear();
    response.set_content_provider(
        answer.body.size(), "application/json",
        [body = answer.body](std::size_t, std::size_t, httplib::DataSink& out)
        {
            out.write(body.data(), body.size());
            // A failing content provider is the only way to make the library
            // close the connection.
            return false;
        });
}

/// Generates request ids that are unique over all instances and incarnations.
class request_id_generator
{
  public:
    auto next() -> std::string
    {
        return m_prefix + std::to_string(++m_count);
    }

  private:
    static auto make_prefix() -> std::string
    {
        std::random_device random;
        return std::to_string(random()) + "-" + std::to_string(random()) + "-";
    }

    const std::string m_prefix = make_prefix();
    std::atomic<std::uint64_t> m_count{0};
};

/// Sets the caller's own request id, or a generated one, in both the request
/// and the response.
auto assign_request_id(request_id_generator& ids, httplib::Request& request,
                       httplib::Response& response) -> void
{
    auto id = request.get_header_value(request_id_header);
    request.headers.erase(request_id_header);
    if (id.empty())
    {
        id = ids.next();
    }
    request.set_header(request_id_header, id);
    response.set_header(request_id_header, id);
}

auto write_error(httplib::Response& response, int status,
                 const std::string& what, const std::string& remedy) -> void
{
    write(error_response(status, what, remedy), response);
}

/// Splits "/services/<name>/<rest>?<query>" into the workload's name and the
/// path to forward.
/// @return false when the target names no service
auto split_target(const std::string& target, caller_request& request) -> bool
{
    const std::string root(service_root);
    if (target.compare(0, root.size(), root) != 0)
    {
        return false;
    }
    const auto end = target.find_first_of("/?", root.size());
    request.workload =
        workload_name(target.substr(root.size(), end - root.size()));
    request.forward.path =
        end == std::string::npos ? std::string() : target.substr(end);
    return !request.workload.empty();
}

/// Admits a request at the listener for the lifetime of the object.
class admission_slot
{
  public:
    explicit admission_slot(http_listener& listener)
        : m_listener(listener), m_admitted(listener.try_admit())
    {
    }
    ~admission_slot()
    {
        if (m_admitted)
        {
            m_listener.end_request();
        }
    }
    admission_slot(const admission_slot&) = delete;
    auto operator=(const admission_slot&) -> admission_slot& = delete;

    [[nodiscard]] auto admitted() const noexcept -> bool
    {
        return m_admitted;
    }

  private:
    http_listener& m_listener;
    bool m_admitted;
};

/// Copies the worker's Content-Length: the response to HEAD states the length
/// of a body that is not sent.
auto copy_content_length(const caller_response& answer,
                         httplib::Response& response) -> void
{
    for (const auto& item : answer.headers)
    {
        if (::strcasecmp(item.name.c_str(), "Content-Length") == 0)
        {
            response.set_header("Content-Length", item.value);
            return;
        }
    }
}

auto serve_request(http_listener& listener, request_handler& handler,
                   const httplib::Request& request, std::string body,
                   httplib::Response& response) -> void
{
    const admission_slot slot(listener);
    if (!slot.admitted())
    {
        write(handler.refuse({refusal_reason::queue_full, milliseconds(1'000)}),
              response);
        return;
    }
    caller_request parsed;
    if (!split_target(request.target, parsed))
    {
        write_error(response, bad_request_status, "the path names no service",
                    "request /services/NAME/PATH");
        return;
    }
    if (!read_deadline(request, parsed.deadline))
    {
        write_error(response, bad_request_status,
                    "Pimentoshunt-Deadline-Ms is not a valid number of "
                    "milliseconds",
                    "send an integer from 1 to 86400000, or omit the header");
        return;
    }
    parsed.idempotency_key = request.get_header_value("Idempotency-Key");
    parsed.request_id = request.get_header_value(request_id_header);
    parsed.forward.method = original_method(request);
    parsed.forward.body = std::move(body);
    parsed.forward.headers = forwarded_headers(request);
    const auto answer = handler.serve(parsed);
    write(answer, response);
    if (request.method == "HEAD")
    {
        copy_content_length(answer, response);
    }
}

/// DELETE /requests/ID
auto cancel_request(request_handler& handler, const httplib::Request& request,
                    httplib::Response& response) -> void
{
    const auto cancelled = handler.cancel(request.matches[1]);
    if (cancelled == 0)
    {
        write_error(response, not_found_status,
                    "no open request at this instance has this id",
                    "the request may already be answered, or be open at "
                    "another instance");
        return;
    }
    response.status = accepted_status;
    response.set_header("Pimentoshunt-Ran",
                        to_text(execution_status::not_executed));
    response.set_content("{\"cancelled\":" + std::to_string(cancelled) + "}",
                         "application/json");
}

} // namespace

auto add_caller_routes(http_listener& listener, request_handler& handler)
    -> void
{
    auto& server = listener.server();
    const auto ids = std::make_shared<request_id_generator>();
    server.set_pre_routing_handler(
        [&listener, ids](const httplib::Request& request,
                         httplib::Response& response)
        {
            // The request object belongs to the library and is not const
            // itself; the library offers no other way to keep a body and its
            // headers unchanged.
            auto& mutable_request = const_cast<httplib::Request&>(request);
            assign_request_id(*ids, mutable_request, response);
            const auto fault =
                sanitize_request(mutable_request, listener.body_limit());
            if (fault)
            {
                write_and_close(*fault, response);
                return httplib::Server::HandlerResponse::Handled;
            }
            return httplib::Server::HandlerResponse::Unhandled;
        });
    server.set_error_handler(
        [ids](const httplib::Request&, httplib::Response& response)
        {
            if (!response.has_header(request_id_header))
            {
                response.set_header(request_id_header, ids->next());
            }
            // A response without this header comes from the library itself,
            // which has rejected the message.
            if (!response.has_header("Pimentoshunt-Ran"))
            {
                write_error(
                    response, response.status,
                    "the request is not a valid HTTP/1.1 request to a "
                    "service",
                    "request /services/NAME/PATH, with header lines of at "
                    "most 8 KiB");
            }
        });
    const auto without_body =
        [&listener, &handler](const httplib::Request& request,
                              httplib::Response& response)
    {
        serve_request(listener, handler, request, request.body, response);
    };
    const auto with_body =
        [&listener, &handler](const httplib::Request& request,
                              httplib::Response& response,
                              const httplib::ContentReader& reader)
    {
        std::string body;
        const bool whole = reader(
            [&](const char* data, std::size_t size)
            {
                body.append(data, size);
                return true;
            });
        if (!whole)
        {
            // The library has set 413 when the body exceeds the limit.
            const bool too_large = response.status == payload_too_large_status;
            write_error(response,
                        too_large ? payload_too_large_status
                                  : bad_request_status,
                        "the body is too large or was truncated",
                        "send a complete body of at most max_body_bytes");
            return;
        }
        serve_request(listener, handler, request, std::move(body), response);
    };
    server.Delete(
        R"(/requests/(.+))",
        [&handler](const httplib::Request& request, httplib::Response& response)
        {
            cancel_request(handler, request, response);
        });
    const std::string pattern = R"(/services/.*)";
    server.Get(pattern, without_body);
    server.Options(pattern, without_body);
    server.Post(pattern, with_body);
    server.Put(pattern, with_body);
    server.Patch(pattern, with_body);
    server.Delete(pattern, with_body);
}

} // namespace pimentoshunt::entry
