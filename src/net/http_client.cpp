#include <pimentoshunt/net/http_client.hpp>

#include <pimentoshunt/net/address.hpp>
#include <pimentoshunt/net/response_time.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

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

/// The kernel gives a connection up when sent data stays unacknowledged.
constexpr milliseconds unacknowledged_limit{2'000};

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

auto convert(http::response<http::string_body>& answer) -> http_exchange
{
    http_exchange out;
    out.state = exchange_state::answered;
    out.status = static_cast<int>(answer.result_int());
    out.body = std::move(answer.body());
    for (const auto& field : answer)
    {
        out.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    return out;
}

} // namespace

/// All members are used by the traffic thread only.
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
    struct exchange
    {
        std::string address;
        http_call call;
        handler done;
        time_point began;
        time_point until;
        connection_ptr over;
        http::request<http::string_body> request;
        std::optional<http::response_parser<http::string_body>> answer;
        bool retried = false;
    };
    using exchange_ptr = std::shared_ptr<exchange>;

    struct peer
    {
        std::vector<connection_ptr> idle;
        std::size_t busy = 0;
        std::deque<exchange_ptr> waiting;
        response_time times;
    };

    auto begin(const std::string& address, http_call request, handler done)
        -> void
    {
        auto item = std::make_shared<exchange>();
        item->address = address;
        item->began = boot_clock::now();
        item->until = item->began + limit_of(m_peers[address], request);
        item->call = std::move(request);
        item->done = std::move(done);
        item->request = build(item->call, address);
        auto& to = m_peers[address];
        if (to.busy >= m_limits.connections)
        {
            to.waiting.push_back(std::move(item));
            return;
        }
        ++to.busy;
        run(item);
    }

    static auto limit_of(const peer& to, const http_call& call) -> milliseconds
    {
        if (call.min_call_timeout.count() == 0)
        {
            return call.timeout;
        }
        return call.requested_wait +
               to.times.limit(call.min_call_timeout,
                              call.timeout - call.requested_wait);
    }

    auto run(const exchange_ptr& item) -> void
    {
        auto& to = m_peers[item->address];
        const auto now = boot_clock::now();
        while (!to.idle.empty() && !item->retried)
        {
            auto found = std::move(to.idle.back());
            to.idle.pop_back();
            if (now - found->used_at <= m_limits.max_idle)
            {
                item->over = std::move(found);
                send(item);
                return;
            }
        }
        connect(item);
    }

    [[nodiscard]] static auto left(const exchange_ptr& item)
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
            fail(item, exchange_state::never_sent, "not an address");
            return;
        }
        item->over = std::make_unique<connection>(m_traffic);
        item->over->stream.expires_after(std::min<boot_clock::duration>(
            left(item), m_limits.connect_timeout));
        item->over->stream.async_connect(
            *endpoint,
            [self = shared_from_this(), item](beast::error_code fault)
            {
                if (fault)
                {
                    self->fail(item, exchange_state::never_sent,
                               fault.message());
                    return;
                }
                self->set_options(*item->over);
                self->send(item);
            });
    }

    auto set_options(connection& over) -> void
    {
        boost::system::error_code ignored;
        auto& socket = over.stream.socket();
        socket.set_option(tcp::no_delay(true), ignored);
        const int limit = static_cast<int>(unacknowledged_limit.count());
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &limit, sizeof limit);
    }

    auto send(const exchange_ptr& item) -> void
    {
        item->over->stream.expires_after(left(item));
        http::async_write(item->over->stream, item->request,
                          [self = shared_from_this(),
                           item](beast::error_code fault, std::size_t)
                          {
                              if (fault)
                              {
                                  self->broken(item, fault);
                                  return;
                              }
                              self->receive(item);
                          });
    }

    auto receive(const exchange_ptr& item) -> void
    {
        item->answer.emplace();
        item->answer->body_limit(m_limits.answer_bytes);
        http::async_read(item->over->stream, item->over->buffer, *item->answer,
                         [self = shared_from_this(),
                          item](beast::error_code fault, std::size_t)
                         {
                             if (fault)
                             {
                                 self->broken(item, fault);
                                 return;
                             }
                             self->finish(item);
                         });
    }

    auto finish(const exchange_ptr& item) -> void
    {
        const bool keep = item->answer->keep_alive();
        auto message = item->answer->release();
        auto out = convert(message);
        auto over = std::move(item->over);
        const bool tells = item->call.min_call_timeout.count() > 0 &&
                           item->call.requested_wait.count() == 0;
        if (tells)
        {
            m_peers[item->address].times.answered(
                std::chrono::duration_cast<milliseconds>(boot_clock::now() -
                                                         item->began));
        }
        if (keep)
        {
            over->used_at = boot_clock::now();
            over->used = true;
            over->stream.expires_never();
            m_peers[item->address].idle.push_back(std::move(over));
        }
        release(item->address);
        deliver(item, std::move(out));
    }

    auto broken(const exchange_ptr& item, beast::error_code fault) -> void
    {
        const bool stale = item->over->used && item->call.repeatable &&
                           fault != beast::error::timeout && !item->retried;
        if (stale && boot_clock::now() < item->until)
        {
            item->retried = true;
            connect(item);
            return;
        }
        if (fault == beast::error::timeout)
        {
            // The peer may have gone silent: the others may be as dead.
            m_peers[item->address].idle.clear();
            m_peers[item->address].times.unanswered(item->began,
                                                    boot_clock::now());
        }
        fail(item, exchange_state::unknown, fault.message());
    }

    auto fail(const exchange_ptr& item, exchange_state how, std::string detail)
        -> void
    {
        item->over.reset();
        release(item->address);
        http_exchange out;
        out.state = how;
        out.detail = std::move(detail);
        deliver(item, std::move(out));
    }

    auto release(const std::string& address) -> void
    {
        auto& to = m_peers[address];
        --to.busy;
        while (!to.waiting.empty())
        {
            auto next = std::move(to.waiting.front());
            to.waiting.pop_front();
            ++to.busy;
            if (boot_clock::now() < next->until)
            {
                run(next);
                return;
            }
            --to.busy;
            http_exchange out;
            out.state = exchange_state::never_sent;
            out.detail = "no free connection in time";
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
