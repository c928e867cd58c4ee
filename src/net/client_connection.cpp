#include <pimentoshunt/net/detail/client_connection.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>  // EAGAIN, EWOULDBLOCK
#include <utility> // move

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

auto build_request(const platform::http_call& call, const std::string& host)
    -> http::request<http::string_body>
{
    http::request<http::string_body> out;
    out.version(11);
    out.method_string(call.method);
    out.target(call.path);
    out.set(http::field::host, host);
    for (const auto& header : call.headers)
    {
        out.set(header.name, header.value);
    }
    if (!call.body.empty())
    {
        out.set(http::field::content_type, call.content_type);
        out.body() = call.body;
    }
    out.prepare_payload();
    return out;
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
