/// @file
/// HTTP client on Boost.Beast: a connection pool and a timeout estimate for
/// each peer, and one retry over a new connection for repeatable calls.
#include <pimentoshunt/net/http_client.hpp>

#include <pimentoshunt/logging.hpp>
#include <pimentoshunt/net/address.hpp>
#include <pimentoshunt/net/timeout_estimator.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>     // max, min
#include <deque>         // deque
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <utility>       // move
#include <vector>        // vector

namespace pimentoshunt::net
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

/// The kernel closes a connection whose sent data is unacknowledged for this
/// time (TCP_USER_TIMEOUT).
constexpr milliseconds unacknowledged_limit{2'000};
/// The read buffer is larger than the largest header, so that the parser
/// notices an excess before the buffer is full.
constexpr std::size_t buffer_slack = 4'096;

struct connection
{
    explicit connection(asio::io_context& traffic) : stream(traffic)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    time_point used_at;
    bool used = false;
};

using connection_ptr = std::unique_ptr<connection>;

auto build(const http_call& call, const std::string& host)
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

auto exceeds_limit(beast::error_code fault) -> bool
{
    return fault == http::error::body_limit ||
           fault == http::error::header_limit ||
           fault == http::error::buffer_overflow;
}

auto convert(http::response<http::string_body>& source) -> http_exchange
{
    http_exchange out;
    out.state = exchange_state::answered;
    out.status = static_cast<int>(source.result_int());
    out.body = std::move(source.body());
    for (const auto& field : source)
    {
        out.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    return out;
}

} // namespace

/// The client's state; except for post(), used only by the traffic thread.
class http_client::state : public std::enable_shared_from_this<state>
{
  public:
    state(asio::io_context& traffic, asio::any_io_executor control,
          client_limits limits)
        : m_traffic(traffic), m_control(std::move(control)), m_limits(limits)
    {
    }

    auto post(const std::string& address, http_call request, handler done)
        -> void
    {
        auto self = shared_from_this();
        asio::post(m_traffic,
                   [self, address, request = std::move(request),
                    done = std::move(done)]() mutable
                   {
                       self->begin(address, std::move(request),
                                   std::move(done));
                   });
    }

  private:
    /// A call with its connection, from call() to the completion handler.
    struct exchange
    {
        std::string address;
        http_call call;
        handler done;
        time_point began;
        time_point until;
        connection_ptr conn;
        http::request<http::string_body> request;
        std::optional<http::response_parser<http::string_body>> parser;
        bool retried = false;
    };
    using exchange_ptr = std::shared_ptr<exchange>;

    /// The connections and waiting calls of one address.
    struct peer
    {
        std::vector<connection_ptr> idle;
        std::size_t busy = 0;
        std::deque<exchange_ptr> waiting;
        timeout_estimator timeouts;
    };

    auto begin(const std::string& address, http_call request, handler done)
        -> void
    {
        auto item = std::make_shared<exchange>();
        item->address = address;
        item->began = boot_clock::now();
        item->until = item->began + timeout_of(m_peers[address], request);
        item->call = std::move(request);
        item->done = std::move(done);
        item->request = build(item->call, address);
        auto& target_peer = m_peers[address];
        if (target_peer.busy >= m_limits.connections)
        {
            target_peer.waiting.push_back(std::move(item));
            return;
        }
        ++target_peer.busy;
        run(item);
    }

    /// The call's own timeout, or the estimated one where the call allows a
    /// lower bound.
    static auto timeout_of(const peer& target_peer, const http_call& call)
        -> milliseconds
    {
        if (call.min_call_timeout.count() == 0)
        {
            return call.timeout;
        }
        return call.requested_wait +
               target_peer.timeouts.current_timeout(
                   call.min_call_timeout, call.timeout - call.requested_wait);
    }

    auto run(const exchange_ptr& item) -> void
    {
        auto& target_peer = m_peers[item->address];
        const auto now = boot_clock::now();
        while (!target_peer.idle.empty() && !item->retried)
        {
            auto found = std::move(target_peer.idle.back());
            target_peer.idle.pop_back();
            if (now - found->used_at <= m_limits.max_idle)
            {
                item->conn = std::move(found);
                send(item);
                return;
            }
        }
        connect(item);
    }

    [[nodiscard]] static auto remaining_time(const exchange_ptr& item)
        -> boot_clock::duration
    {
        return std::max<boot_clock::duration>(item->until - boot_clock::now(),
                                              milliseconds(1));
    }

    auto connect(const exchange_ptr& item) -> void
    {
        const auto endpoint = parse_address(item->address);
        if (!endpoint)
        {
            fail(item, exchange_state::never_sent,
                 "the peer's address is not an IP address with a port");
            return;
        }
        item->conn = std::make_unique<connection>(m_traffic);
        item->conn->stream.expires_after(std::min<boot_clock::duration>(
            remaining_time(item), m_limits.connect_timeout));
        item->conn->stream.async_connect(
            *endpoint,
            [self = shared_from_this(), item](beast::error_code fault)
            {
                if (fault)
                {
                    self->fail(item, exchange_state::never_sent,
                               fault.message(), fault != beast::error::timeout);
                    return;
                }
                self->set_options(*item->conn);
                self->send(item);
            });
    }

    auto set_options(connection& conn) -> void
    {
        boost::system::error_code ignored;
        auto& socket = conn.stream.socket();
        socket.set_option(tcp::no_delay(true), ignored);
        const int limit = static_cast<int>(unacknowledged_limit.count());
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &limit, sizeof limit);
    }

    auto send(const exchange_ptr& item) -> void
    {
        item->conn->stream.expires_after(remaining_time(item));
        http::async_write(item->conn->stream, item->request,
                          [self = shared_from_this(),
                           item](beast::error_code fault, std::size_t)
                          {
                              if (fault)
                              {
                                  self->on_io_error(item, fault);
                                  return;
                              }
                              self->receive(item);
                          });
    }

    auto receive(const exchange_ptr& item) -> void
    {
        item->parser.emplace();
        item->parser->body_limit(m_limits.max_response_bytes);
        item->parser->header_limit(
            static_cast<std::uint32_t>(m_limits.max_header_bytes));
        item->conn->buffer.max_size(m_limits.max_header_bytes + buffer_slack);
        http::async_read(item->conn->stream, item->conn->buffer, *item->parser,
                         [self = shared_from_this(),
                          item](beast::error_code fault, std::size_t)
                         {
                             if (fault)
                             {
                                 self->on_io_error(item, fault);
                                 return;
                             }
                             self->finish(item);
                         });
    }

    auto finish(const exchange_ptr& item) -> void
    {
        const bool keep = item->parser->keep_alive();
        auto message = item->parser->release();
        auto out = convert(message);
        auto conn = std::move(item->conn);
        const bool is_sample = item->call.min_call_timeout.count() > 0 &&
                               item->call.requested_wait.count() == 0;
        if (is_sample)
        {
            m_peers[item->address].timeouts.record_response(
                std::chrono::duration_cast<milliseconds>(boot_clock::now() -
                                                         item->began));
        }
        if (keep)
        {
            conn->used_at = boot_clock::now();
            conn->used = true;
            conn->stream.expires_never();
            m_peers[item->address].idle.push_back(std::move(conn));
        }
        release(item->address);
        deliver(item, std::move(out));
    }

    /// Retries a call that failed on a reused connection, which the peer may
    /// have closed before; fails any other call with an unknown outcome. A peer
    /// whose answer is too large is not lost.
    auto on_io_error(const exchange_ptr& item, beast::error_code fault) -> void
    {
        if (exceeds_limit(fault))
        {
            logging::info("dropped an answer that exceeds a limit")
                .with("peer", item->address)
                .with("path", item->call.path)
                .with("fault", fault.message());
            fail(item, exchange_state::unknown,
                 "the answer is too large: " + fault.message());
            return;
        }
        const bool stale = item->conn->used && item->call.repeatable &&
                           fault != beast::error::timeout && !item->retried;
        if (stale && boot_clock::now() < item->until)
        {
            item->retried = true;
            connect(item);
            return;
        }
        if (fault == beast::error::timeout)
        {
            // The peer may be down, in which case its idle connections are
            // dead as well.
            m_peers[item->address].idle.clear();
            m_peers[item->address].timeouts.record_timeout(item->began,
                                                           boot_clock::now());
        }
        fail(item, exchange_state::unknown, fault.message(),
             fault != beast::error::timeout);
    }

    auto fail(const exchange_ptr& item, exchange_state how, std::string detail,
              bool connection_lost = false) -> void
    {
        item->conn.reset();
        release(item->address);
        http_exchange out;
        out.state = how;
        out.detail = std::move(detail);
        out.connection_lost = connection_lost;
        deliver(item, std::move(out));
    }

    auto release(const std::string& address) -> void
    {
        auto& target_peer = m_peers[address];
        --target_peer.busy;
        while (!target_peer.waiting.empty())
        {
            auto next = std::move(target_peer.waiting.front());
            target_peer.waiting.pop_front();
            ++target_peer.busy;
            if (boot_clock::now() < next->until)
            {
                run(next);
                return;
            }
            --target_peer.busy;
            http_exchange out;
            out.state = exchange_state::never_sent;
            out.detail = "no connection became free before the deadline";
            deliver(next, std::move(out));
        }
    }

    auto deliver(const exchange_ptr& item, http_exchange out) -> void
    {
        asio::post(
            m_control,
            [done = std::move(item->done), out = std::move(out)]() mutable
            {
                done(std::move(out));
            });
    }

    asio::io_context& m_traffic;
    asio::any_io_executor m_control;
    client_limits m_limits;
    std::unordered_map<std::string, peer> m_peers;
};

http_client::http_client(asio::io_context& traffic,
                         asio::any_io_executor control, client_limits limits)
    : m_state(std::make_shared<state>(traffic, std::move(control), limits))
{
}

http_client::~http_client() = default;

auto http_client::call(const std::string& address, http_call request,
                       handler done) -> void
{
    m_state->post(address, std::move(request), std::move(done));
}

} // namespace pimentoshunt::net
