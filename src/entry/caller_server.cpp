#include <pimentoshunt/entry/caller_server.hpp>

#include <algorithm> // any_of
#include <array>     // array
#include <charconv>  // from_chars
#include <string>    // string
#include <strings.h> // strcasecmp

namespace pimentoshunt::entry
{
namespace
{

constexpr int bad_request_status = 400;
constexpr int payload_too_large_status = 413;
constexpr const char* hidden_prefix = "Pimentoshunt-Hidden-";
constexpr const char* service_root = "/services/";

/// Headers on which the library would act by itself; a body is opaque here.
constexpr std::array hidden_headers{"Content-Type", "Content-Encoding",
                                    "Accept-Encoding", "Range"};

/// Headers that belong to one connection, or that the library makes.
constexpr std::array dropped_headers{
    "Host",       "Connection",      "Keep-Alive",  "Transfer-Encoding",
    "TE",         "Trailer",         "Upgrade",     "Content-Length",
    "Expect",     "REMOTE_ADDR",     "REMOTE_PORT", "LOCAL_ADDR",
    "LOCAL_PORT", "Proxy-Connection"};

template<class Names>
auto listed(const Names& names, const std::string& name) -> bool
{
    return std::any_of(names.begin(), names.end(),
                       [&](const char* item)
                       {
                           return ::strcasecmp(item, name.c_str()) == 0;
                       });
}

auto is_ours(const std::string& name) -> bool
{
    constexpr const char* prefix = "Pimentoshunt-";
    const std::string start(prefix);
    return ::strncasecmp(name.c_str(), prefix, start.size()) == 0;
}

/// Renames what the library would interpret; undone when it is passed on.
auto hide_headers(httplib::Request& request) -> void
{
    for (const auto* const name : hidden_headers)
    {
        const auto found = request.headers.find(name);
        if (found == request.headers.end())
        {
            continue;
        }
        const auto value = found->second;
        request.headers.erase(name);
        request.headers.emplace(std::string(hidden_prefix) + name, value);
    }
    request.ranges.clear();
}

auto forwarded_headers(const httplib::Request& request)
    -> std::vector<platform::http_header>
{
    std::vector<platform::http_header> headers;
    const std::string hidden(hidden_prefix);
    for (const auto& [name, value] : request.headers)
    {
        if (name.compare(0, hidden.size(), hidden) == 0)
        {
            headers.push_back({name.substr(hidden.size()), value});
        }
        else if (!listed(dropped_headers, name) && !is_ours(name))
        {
            headers.push_back({name, value});
        }
    }
    return headers;
}

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

auto to_text(ran value) -> const char*
{
    switch (value)
    {
    case ran::yes:
        return "yes";
    case ran::no:
        return "no";
    case ran::unknown:
        return "unknown";
    }
    return "unknown";
}

auto write(const caller_answer& answer, httplib::Response& response) -> void
{
    std::string content_type = "application/json";
    for (const auto& item : answer.headers)
    {
        if (::strcasecmp(item.name.c_str(), "Content-Type") == 0)
        {
            content_type = item.value;
        }
        else if (!listed(dropped_headers, item.name) && !is_ours(item.name))
        {
            response.headers.emplace(item.name, item.value);
        }
    }
    response.status = answer.status;
    response.set_header("Pimentoshunt-Ran", to_text(answer.did_run));
    if (answer.retry_after > milliseconds::zero())
    {
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(answer.retry_after);
        response.set_header("Retry-After", std::to_string(seconds.count()));
    }
    response.set_content(answer.body, content_type);
}

auto write_fault(httplib::Response& response, int status,
                 const std::string& what, const std::string& remedy) -> void
{
    write(faulty_answer(status, what, remedy), response);
}

/// The name and the rest of "/services/<name>/<rest>?<query>".
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

/// A request counted in, out again when it ends.
class admission_slot
{
  public:
    explicit admission_slot(http_listener& listener)
        : m_listener(listener), m_admitted(listener.enter())
    {
    }
    ~admission_slot()
    {
        if (m_admitted)
        {
            m_listener.leave();
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

auto serve_request(http_listener& listener, request_handler& handler,
                   const httplib::Request& request, std::string body,
                   httplib::Response& response) -> void
{
    const admission_slot slot(listener);
    if (!slot.admitted())
    {
        write(refused_answer({refusal_reason::queue_full, milliseconds(1'000)}),
              response);
        return;
    }
    caller_request parsed;
    if (!split_target(request.target, parsed))
    {
        write_fault(response, bad_request_status, "the path names no service",
                    "ask for /services/NAME/PATH");
        return;
    }
    if (!read_deadline(request, parsed.deadline))
    {
        write_fault(response, bad_request_status,
                    "Pimentoshunt-Deadline-Ms is no number of milliseconds",
                    "give a whole number from 1 to 86400000, or leave it out");
        return;
    }
    parsed.idempotency_key = request.get_header_value("Idempotency-Key");
    parsed.request_id = request.get_header_value("X-Request-Id");
    parsed.forward.method = request.method;
    parsed.forward.body = std::move(body);
    parsed.forward.headers = forwarded_headers(request);
    write(handler.serve(parsed), response);
}

} // namespace

auto add_caller_routes(http_listener& listener, request_handler& handler)
    -> void
{
    auto& server = listener.server();
    server.set_pre_routing_handler(
        [](const httplib::Request& request, httplib::Response&)
        {
            // The request object is the library's own and not const; it offers
            // no other way to keep a body and its headers untouched.
            hide_headers(const_cast<httplib::Request&>(request));
            return httplib::Server::HandlerResponse::Unhandled;
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
            // The library has set 413 where the body is over the limit.
            const bool too_large = response.status == payload_too_large_status;
            write_fault(response,
                        too_large ? payload_too_large_status
                                  : bad_request_status,
                        "the body is too large or was cut off",
                        "send a whole body within max_body_bytes");
            return;
        }
        serve_request(listener, handler, request, std::move(body), response);
    };
    const std::string pattern = R"(/services/.*)";
    server.Get(pattern, without_body);
    server.Options(pattern, without_body);
    server.Post(pattern, with_body);
    server.Put(pattern, with_body);
    server.Patch(pattern, with_body);
    server.Delete(pattern, with_body);
}

} // namespace pimentoshunt::entry
