/// @file
/// Connection pool on top of httplib; URL parsing and encoding.
#include <pimentoshunt/platform/http_pool.hpp>

#include <httplib.h> // Client

#include <algorithm>   // equal, max
#include <cctype>      // isalnum, tolower
#include <charconv>    // from_chars
#include <string_view> // string_view
#include <utility>     // move

namespace pimentoshunt::platform
{
namespace
{

constexpr int max_port = 65'535;
/// Lower bound on timeouts passed to httplib, which takes zero as no timeout.
constexpr milliseconds min_library_timeout{1};

auto encode(const std::string& text, std::string_view kept) -> std::string
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    out.reserve(text.size());
    for (const char c : text)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x80 &&
            (std::isalnum(byte) != 0 || kept.find(c) != std::string_view::npos))
        {
            out += c;
            continue;
        }
        out += '%';
        out += digits[byte >> 4];
        out += digits[byte & 0x0f];
    }
    return out;
}

auto equals_ignoring_case(const std::string& left, const std::string& right)
    -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b)
                      {
                          return std::tolower(a) == std::tolower(b);
                      });
}

auto remaining(time_point until) -> milliseconds
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - boot_clock::now());
    return std::max(left, min_library_timeout);
}

auto state_of(httplib::Error fault) -> exchange_state
{
    switch (fault)
    {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return exchange_state::never_sent;
    default:
        return exchange_state::unknown;
    }
}

} // namespace

auto parse_endpoint(const std::string& base_url) -> std::optional<http_endpoint>
{
    constexpr std::string_view scheme = "http://";
    const std::string_view url = base_url;
    if (url.substr(0, scheme.size()) != scheme)
    {
        return std::nullopt;
    }
    const auto rest = url.substr(scheme.size());
    const auto authority = rest.substr(0, rest.find('/'));
    const auto colon = authority.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
    {
        return std::nullopt;
    }
    const auto port_text = authority.substr(colon + 1);
    http_endpoint out;
    const auto* const end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, out.port);
    if (parsed.ec != std::errc() || parsed.ptr != end || out.port < 1 ||
        out.port > max_port)
    {
        return std::nullopt;
    }
    out.host = authority.substr(0, colon);
    out.prefix = rest.substr(authority.size());
    while (!out.prefix.empty() && out.prefix.back() == '/')
    {
        out.prefix.pop_back();
    }
    return out;
}

auto encode_path(const std::string& text) -> std::string
{
    return encode(text, "-._~/");
}

auto encode_query(const std::string& text) -> std::string
{
    return encode(text, "-._~");
}

auto http_exchange::header(const std::string& name) const -> std::string
{
    for (const auto& item : headers)
    {
        if (equals_ignoring_case(item.name, name))
        {
            return item.value;
        }
    }
    return {};
}

struct http_pool::connection
{
    std::unique_ptr<httplib::Client> client;
    time_point last_used;
    /// Whether an exchange was completed on this connection.
    bool used = false;
};

http_pool::http_pool(http_endpoint peer, pool_limits limits)
    : m_peer(std::move(peer)), m_limits(limits)
{
}

http_pool::~http_pool() = default;

auto http_pool::open() const -> std::unique_ptr<connection>
{
    auto item = std::make_unique<connection>();
    item->client = std::make_unique<httplib::Client>(m_peer.host, m_peer.port);
    item->client->set_keep_alive(true);
    item->client->set_tcp_nodelay(true);
    // Paths are encoded by the caller; encoding them again would change them.
    item->client->set_url_encode(false);
    // Bodies are passed on unchanged, compressed or not.
    item->client->set_decompress(false);
    return item;
}

auto http_pool::acquire(time_point until) -> std::unique_ptr<connection>
{
    std::unique_lock lock(m_mutex);
    while (m_in_use >= m_limits.connections)
    {
        const auto left = until - boot_clock::now();
        if (left <= boot_clock::duration::zero())
        {
            return nullptr;
        }
        m_connection_released.wait_for(lock, left);
    }
    ++m_in_use;
    const auto oldest = boot_clock::now() - m_limits.max_idle;
    while (!m_idle.empty())
    {
        auto item = std::move(m_idle.back());
        m_idle.pop_back();
        if (item->last_used >= oldest)
        {
            return item;
        }
        // The remaining connections were idle even longer.
        m_idle.clear();
    }
    lock.unlock();
    return open();
}

auto http_pool::release(std::unique_ptr<connection> item, bool usable) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        --m_in_use;
        if (usable)
        {
            item->last_used = boot_clock::now();
            item->used = true;
            m_idle.push_back(std::move(item));
        }
    }
    m_connection_released.notify_one();
}

auto http_pool::send(connection& via, const http_call& request,
                     time_point until) const -> http_exchange
{
    const auto left = remaining(until);
    via.client->set_connection_timeout(
        std::min(left, m_limits.connect_timeout));
    via.client->set_read_timeout(left);
    via.client->set_write_timeout(left);
    httplib::Request message;
    message.method = request.method;
    message.path = m_peer.prefix + request.path;
    message.body = request.body;
    if (!request.body.empty() && !request.content_type.empty())
    {
        message.set_header("Content-Type", request.content_type);
    }
    for (const auto& item : request.headers)
    {
        message.headers.emplace(item.name, item.value);
    }
    // httplib's timeouts apply to each read; this check bounds the total time
    // of a slowly sent body.
    message.progress = [until](std::uint64_t, std::uint64_t)
    {
        return boot_clock::now() < until;
    };
    const auto answer = via.client->send(message);
    http_exchange out;
    if (!answer)
    {
        out.state = state_of(answer.error());
        out.detail = httplib::to_string(answer.error());
        return out;
    }
    out.state = exchange_state::answered;
    out.status = answer->status;
    out.body = answer->body;
    for (const auto& [name, value] : answer->headers)
    {
        out.headers.push_back({name, value});
    }
    return out;
}

auto http_pool::call(const http_call& request) -> http_exchange
{
    const auto until = boot_clock::now() + request.timeout;
    auto item = acquire(until);
    if (item == nullptr)
    {
        http_exchange out;
        out.state = exchange_state::never_sent;
        out.detail = "no free connection in time";
        return out;
    }
    auto out = send(*item, request, until);
    const bool retry = out.state == exchange_state::unknown && item->used &&
                       request.repeatable && boot_clock::now() < until;
    if (retry)
    {
        item = open();
        out = send(*item, request, until);
    }
    release(std::move(item), out.state == exchange_state::answered);
    return out;
}

} // namespace pimentoshunt::platform
