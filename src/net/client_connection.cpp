#include <pimentoshunt/net/detail/client_connection.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>   // none_of
#include <cerrno>      // EAGAIN, EWOULDBLOCK
#include <string_view> // string_view
#include <utility>     // move

namespace pimentoshunt::net::detail
{
namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// The kernel closes a connection whose sent data is unacknowledged for this
/// time (TCP_USER_TIMEOUT).
constexpr milliseconds unacknowledged_limit{2'000};

} // namespace

auto set_options(connection& conn) -> void
{
    boost::system::error_code ignored;
    auto& socket = conn.stream.socket();
    socket.set_option(tcp::no_delay(true), ignored);
    const int limit = static_cast<int>(unacknowledged_limit.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                 sizeof limit);
}

auto is_open(connection& conn) -> bool
{
    char next = 0;
    const auto count = ::recv(conn.stream.socket().native_handle(), &next, 1,
                              MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto request_text(const platform::http_call& call, const std::string& host)
    -> std::optional<std::string>
{
    constexpr std::size_t usual_head = 256;
    std::string out;
    out.reserve(usual_head + call.body.size());
    bool is_valid = true;
    // A line break in a value would begin another field.
    const auto add = [&](std::string_view text)
    {
        is_valid = is_valid && std::none_of(text.begin(), text.end(),
                                            [](unsigned char letter)
                                            {
                                                return letter < ' ';
                                            });
        out += text;
    };
    const auto add_field = [&](std::string_view name, std::string_view value)
    {
        add(name);
        out += ": ";
        add(value);
        out += "\r\n";
    };
    add(call.method);
    out += ' ';
    add(call.path);
    out += " HTTP/1.1\r\n";
    add_field("Host", host);
    for (const auto& header : call.headers)
    {
        add_field(header.name, header.value);
    }
    if (!call.body.empty() && !call.content_type.empty())
    {
        add_field("Content-Type", call.content_type);
    }
    if (!call.body.empty() || call.method != "GET")
    {
        add_field("Content-Length", std::to_string(call.body.size()));
    }
    out += "\r\n";
    out += call.body;
    return is_valid ? std::optional(std::move(out)) : std::nullopt;
}

auto to_exchange(http::response<http::string_body>& source)
    -> platform::http_exchange
{
    platform::http_exchange out;
    out.state = platform::exchange_state::answered;
    out.status = static_cast<int>(source.result_int());
    out.body = std::move(source.body());
    for (const auto& field : source)
    {
        out.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    return out;
}

auto is_too_large(boost::beast::error_code fault) -> bool
{
    return fault == http::error::body_limit ||
           fault == http::error::header_limit ||
           fault == http::error::buffer_overflow;
}

} // namespace pimentoshunt::net::detail
