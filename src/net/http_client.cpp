/// @file
/// HTTP client on Boost.Beast: a connection pool and a timeout estimate for
/// each peer, and one retry over a new connection for repeatable calls.
#include <pimentoshunt/net/http_client.hpp>

#include <pimentoshunt/logging.hpp>
#include <pimentoshunt/net/address.hpp>
#include <pimentoshunt/net/detail/client_connection.hpp>
#include <pimentoshunt/net/timeout_estimator.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>     // max, min
#include <deque>         // deque, erase
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
using detail::connection;
using detail::connection_ptr;

/// The read buffer is larger than the largest header, so that the parser
/// notices an excess before the buffer is full.
constexpr std::size_t buffer_slack = 4'096;

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
        /// The request as it is sent.
        std::string request;
        std::optional<http::response_parser<http::string_body>> parser;
        /// When the header of the answer was complete.
        std::optional<time_point> answer_began;
        bool answer_too_large = false;
        bool retried = false;
        /// Ends the call if no connection becomes free in time; set while it
        /// waits for one.
        std::optional<asio::steady_timer> queue_timer;
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
        auto text = detail::request_text(item->call, address);
        if (!text)
        {
            deliver_unsent(item, "the request has control characters");
            return;
        }
        item->request = std::move(*text);
        auto& target_peer = m_peers[address];
        if (target_peer.busy >= m_limits.connections)
        {
            target_peer.waiting.push_back(item);
            limit_waiting(item);
            return;
        }
        ++target_peer.busy;
        run(item);
    }

    /// Transfers may occupy all connections for far longer than the time limit
    /// of a call that waits for one.
    auto limit_waiting(const exchange_ptr& item) -> void
    {
        item->queue_timer.emplace(m_traffic);
        item->queue_timer->expires_after(remaining_time(item));
        item->queue_timer->async_wait(
            [self = shared_from_this(), item](beast::error_code fault)
            {
                if (fault || !item->queue_timer)
                {
                    return;
                }
                item->queue_timer.reset();
                std::erase(self->m_peers[item->address].waiting, item);
                self->deliver_unsent(item);
            });
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
            if (now - found->used_at <= m_limits.max_idle &&
                detail::is_open(*found))
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
                detail::set_options(*item->conn);
                self->send(item);
            });
    }

    auto send(const exchange_ptr& item) -> void
    {
        item->conn->stream.expires_after(remaining_time(item));
        asio::async_write(item->conn->stream, asio::buffer(item->request),
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
        item->parser->eager(true);
        item->answer_began.reset();
        receive_some(item);
    }

    /// Reads until the answer is complete. The connection's time limit is that
    /// for the first byte until the header has arrived, then that for a
    /// silence.
    auto receive_some(const exchange_ptr& item) -> void
    {
        http::async_read_some(item->conn->stream, item->conn->buffer,
                              *item->parser,
                              [self = shared_from_this(),
                               item](beast::error_code fault, std::size_t)
                              {
                                  if (fault)
                                  {
                                      self->on_io_error(item, fault);
                                      return;
                                  }
                                  if (item->parser->is_done())
                                  {
                                      self->finish(item);
                                      return;
                                  }
                                  if (self->extend(item))
                                  {
                                      self->receive_some(item);
                                  }
                              });
    }

    /// Extends the time limit of an answer that has just made progress.
    /// @return false if the call has ended because it takes too long
    auto extend(const exchange_ptr& item) -> bool
    {
        const auto& call = item->call;
        if (call.stall_timeout.count() == 0)
        {
            return true;
        }
        const auto now = boot_clock::now();
        const auto end = item->began + call.max_duration;
        item->answer_began = item->answer_began.value_or(now);
        if (now >= end)
        {
            on_io_error(item, beast::error::timeout);
            return false;
        }
        item->until = std::min(now + call.stall_timeout, end);
        item->conn->stream.expires_after(remaining_time(item));
        return true;
    }

    auto finish(const exchange_ptr& item) -> void
    {
        const bool keep = item->parser->keep_alive();
        auto message = item->parser->release();
        auto out = detail::to_exchange(message);
        auto conn = std::move(item->conn);
        const bool is_sample = item->call.min_call_timeout.count() > 0 &&
                               item->call.requested_wait.count() == 0;
        if (is_sample)
        {
            // The time of a transfer depends on its size.
            const auto came_at = item->answer_began.value_or(boot_clock::now());
            m_peers[item->address].timeouts.record_response(
                std::chrono::duration_cast<milliseconds>(came_at -
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
        if (detail::is_too_large(fault))
        {
            logging::info("dropped an answer that exceeds a limit")
                .with("peer", item->address)
                .with("path", item->call.path)
                .with("fault", fault.message());
            item->answer_too_large = true;
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
            auto& target_peer = m_peers[item->address];
            const auto now = boot_clock::now();
            target_peer.idle.clear();
            if (!item->answer_began)
            {
                target_peer.timeouts.record_timeout(item->began, now);
            }
            item->answer_too_large =
                item->answer_began &&
                now >= item->began + item->call.max_duration;
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
        out.answer_too_large = item->answer_too_large;
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
            next->queue_timer.reset();
            ++target_peer.busy;
            if (boot_clock::now() < next->until)
            {
                run(next);
                return;
            }
            --target_peer.busy;
            deliver_unsent(next);
        }
    }

    auto deliver_unsent(const exchange_ptr& item,
                        const std::string& why =
                            "no connection became free before the deadline")
        -> void
    {
        http_exchange out;
        out.state = exchange_state::never_sent;
        out.detail = why;
        deliver(item, std::move(out));
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
