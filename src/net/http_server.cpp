/// @file
/// HTTP server on Boost.Beast: one session object for each connection.
#include <pimentoshunt/net/http_server.hpp>

#include <pimentoshunt/logging.hpp>
#include <pimentoshunt/net/address.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm> // max, max_element
#include <atomic>    // atomic
#include <charconv>  // from_chars
#include <optional>  // optional
#include <set>       // set
#include <sstream>   // ostringstream
#include <utility>   // move

namespace pimentoshunt::net
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr int address_in_use = 110;
/// Sending a response fails when the peer does not read for this time.
constexpr milliseconds write_timeout{5'000};
/// Answers that wait for the traffic thread may take this part of what
/// connections hold, and take it in addition.
constexpr std::size_t queued_share = 4;
/// The read buffer is larger than the largest header, so that the parser
/// notices an excess before the buffer is full.
constexpr std::size_t buffer_slack = 4'096;
/// After a refusal, input is read and dropped for this time and up to this size.
/// Closing a connection with unread input resets it, and the peer may lose the
/// refusal.
constexpr milliseconds linger_time{1'000};
constexpr std::size_t linger_bytes = 1u << 20;
constexpr std::size_t linger_block = 4'096;

/// Assigning an empty string would keep the memory.
auto release(std::string& text) -> void
{
    std::string().swap(text);
}

auto read_deadline(boost::string_view text) -> milliseconds
{
    long value = 0;
    const auto* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    return read.ec == std::errc() ? milliseconds(value) : milliseconds(0);
}

auto authorization_of(const http::request<http::string_body>& message)
    -> std::vector<std::string>
{
    constexpr std::size_t most = 2;
    std::vector<std::string> out;
    const auto found = message.equal_range(http::field::authorization);
    for (auto i = found.first; i != found.second && out.size() < most; ++i)
    {
        out.emplace_back(i->value());
    }
    return out;
}

} // namespace

/// The server's state; used only by the traffic thread, except for the atomic
/// members.
class http_server::state : public std::enable_shared_from_this<state>
{
  public:
    state(asio::io_context& traffic, asio::any_io_executor control,
          server_limits limits, handler serve)
        : m_traffic(traffic), m_control(std::move(control)), m_limits(limits),
          m_serve(std::move(serve)), m_acceptor(traffic),
          m_queue_limit(limits.held_bytes / queued_share)
    {
    }

    auto listen(const std::string& address) -> result<void>;
    auto accept() -> void;

    auto set_limits(const server_limits& limits) -> void
    {
        m_limits = limits;
        m_queue_limit = limits.held_bytes / queued_share;
    }

    auto close_after_responses() -> void
    {
        m_close_after_responses = true;
    }

    auto close() -> void;
    /// Counts an answer that waits for the traffic thread; called on the control
    /// executor.
    /// @return false if too many wait and the answer must be dropped
    auto try_queue(std::size_t bytes) -> bool
    {
        const auto queued = m_queued_bytes += bytes;
        return queued <= m_queue_limit || queued == bytes;
    }

    /// Gives up sessions until the others hold no more than the limit.
    auto shed_holders() -> void;

    [[nodiscard]] auto context() -> asio::io_context&
    {
        return m_traffic;
    }

    [[nodiscard]] auto in_flight() const -> std::size_t
    {
        return m_in_flight;
    }

  private:
    class session;
    friend class session;

    asio::io_context& m_traffic;
    asio::any_io_executor m_control;
    server_limits m_limits;
    handler m_serve;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_close_after_responses{false};
    std::atomic<std::size_t> m_in_flight{0};
    /// Answers that wait for the traffic thread.
    std::atomic<std::size_t> m_queued_bytes{0};
    std::atomic<std::size_t> m_queue_limit;
    /// Sessions that wait for input.
    std::set<session*> m_idle_sessions;
    /// Sessions that wait for the rest of a request or send an answer.
    std::set<session*> m_holders;
    std::size_t m_open_sessions = 0;
    /// Bytes that all sessions hold.
    std::size_t m_held_bytes = 0;
};

/// One connection, kept alive by its pending asynchronous operation.
class http_server::state::session : public std::enable_shared_from_this<session>
{
  public:
    session(std::shared_ptr<state> owner, tcp::socket socket)
        : m_owner(std::move(owner)), m_stream(std::move(socket))
    {
        ++m_owner->m_open_sessions;
    }

    ~session()
    {
        m_owner->m_idle_sessions.erase(this);
        --m_owner->m_open_sessions;
    }

    session(const session&) = delete;
    auto operator=(const session&) -> session& = delete;

    auto receive() -> void
    {
        if (m_buffer.size() == 0)
        {
            m_buffer.shrink_to_fit();
        }
        m_parser.emplace();
        m_parser->body_limit(m_owner->m_limits.body_bytes);
        m_parser->header_limit(
            static_cast<std::uint32_t>(m_owner->m_limits.header_bytes));
        // Pipelined input may exceed a limit that was lowered since.
        m_buffer.max_size(std::max(
            m_owner->m_limits.header_bytes + buffer_slack, m_buffer.size()));
        m_stream.expires_after(m_first_request
                                   ? m_owner->m_limits.header_timeout
                                   : m_owner->m_limits.idle_timeout);
        m_parser->eager(true);
        m_owner->m_idle_sessions.insert(this);
        receive_some();
    }

    auto cancel() -> void
    {
        m_stream.cancel();
    }

    [[nodiscard]] auto held_bytes() const -> std::size_t
    {
        return m_held_bytes;
    }

    /// Ends the pending read or write, whose handler then frees the memory.
    auto give_up() -> void
    {
        logging::info("connections hold too much; giving up the largest")
            .with("bytes", m_held_bytes)
            .with("peer", peer());
        m_given_up = true;
        hold(0);
        m_owner->m_holders.erase(this);
        cancel_until_noticed();
    }

  private:
    [[nodiscard]] auto peer() const -> std::string
    {
        beast::error_code ignored;
        std::ostringstream out;
        out << m_stream.socket().remote_endpoint(ignored);
        return out.str();
    }

    /// A single cancellation has no effect between two steps of a read or write.
    auto cancel_until_noticed() -> void
    {
        m_stream.cancel();
        asio::post(m_owner->m_traffic,
                   [self = shared_from_this()]
                   {
                       if (self->m_given_up)
                       {
                           self->cancel_until_noticed();
                       }
                   });
    }

    /// Updates what this session holds.
    auto hold(std::size_t bytes) -> void
    {
        m_owner->m_held_bytes += bytes;
        m_owner->m_held_bytes -= m_held_bytes;
        m_held_bytes = bytes;
    }

    /// Updates what this session holds while it reads or writes; it is given up
    /// if that is too much.
    auto hold_closable(std::size_t bytes) -> void
    {
        hold(bytes);
        m_owner->m_holders.insert(this);
        m_owner->shed_holders();
    }

    auto receive_some() -> void
    {
        http::async_read_some(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](beast::error_code fault, std::size_t)
            {
                self->on_received_some(fault);
            });
    }

    auto on_received_some(beast::error_code fault) -> void
    {
        const bool incomplete = !fault && !m_parser->is_done();
        if (incomplete && !m_given_up)
        {
            hold_closable(m_buffer.capacity() +
                          m_parser->get().body().capacity());
        }
        if (incomplete && !m_given_up)
        {
            receive_some();
            return;
        }
        m_owner->m_idle_sessions.erase(this);
        m_owner->m_holders.erase(this);
        on_received(fault);
    }

    auto on_received(beast::error_code fault) -> void
    {
        if (m_given_up)
        {
            constexpr std::chrono::seconds pause{1};
            refuse({503, R"({"error":"too many requests are being received"})",
                    "application/json", pause});
            return;
        }
        if (fault == http::error::body_limit)
        {
            refuse({413, R"({"error":"the body is too large"})"});
            return;
        }
        if (fault == http::error::header_limit)
        {
            refuse({431, R"({"error":"the header is too large"})"});
            return;
        }
        if (fault == http::error::buffer_overflow)
        {
            refuse({431, R"({"error":"the trailers or a chunk extension )"
                         R"(are too large"})"});
            return;
        }
        if (fault)
        {
            // The peer closed the connection, timed out, or sent a malformed
            // request.
            hold(0);
            shut_down();
            return;
        }
        m_first_request = false;
        auto message = m_parser->release();
        const bool keep = message.keep_alive();
        server_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.host = std::string(message[http::field::host]);
        request.authorization = authorization_of(message);
        request.deadline = read_deadline(message["Deadline-Ms"]);
        request.body = std::move(message.body());
        m_parser.reset();
        hold(m_buffer.capacity() + request.body.capacity());
        m_stream.expires_never();
        ++m_owner->m_in_flight;
        asio::post(m_owner->m_control,
                   [self = shared_from_this(), keep,
                    request = std::move(request)]() mutable
                   {
                       self->dispatch(std::move(request), keep);
                   });
    }

    /// Runs on the control executor.
    auto dispatch(server_request request, bool keep) -> void
    {
        m_owner->m_serve(
            std::move(request),
            [self = shared_from_this(), keep](server_response out)
            {
                const auto bytes = out.body.size();
                const bool dropped = !self->m_owner->try_queue(bytes);
                if (dropped)
                {
                    release(out.body);
                }
                asio::post(
                    self->m_owner->m_traffic,
                    [self, keep, dropped, bytes, out = std::move(out)]() mutable
                    {
                        self->m_owner->m_queued_bytes -= bytes;
                        --self->m_owner->m_in_flight;
                        if (dropped)
                        {
                            self->drop_answer();
                            return;
                        }
                        self->send_response(std::move(out), keep);
                    });
            });
    }

    auto drop_answer() -> void
    {
        logging::info("too many answers wait to be sent; dropping one")
            .with("peer", peer());
        hold(0);
        shut_down();
    }

    /// Answers a request that was not read to its end, and closes the
    /// connection.
    auto refuse(server_response out) -> void
    {
        logging::info("refused a request that exceeds a limit")
            .with("status", out.status)
            .with("peer", peer());
        m_refused = true;
        m_given_up = false;
        m_parser.reset();
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        send_response(std::move(out), false);
    }

    auto send_response(server_response out, bool keep) -> void
    {
        m_response = {};
        m_response.version(11);
        m_response.result(static_cast<unsigned>(out.status));
        m_response.set(http::field::content_type, out.content_type);
        constexpr int unauthorized = 401;
        if (out.status == unauthorized)
        {
            m_response.set(http::field::www_authenticate, "Bearer");
        }
        if (out.retry_after.count() > 0)
        {
            m_response.set(http::field::retry_after,
                           std::to_string(out.retry_after.count()));
        }
        m_response.body() = std::move(out.body);
        m_response.keep_alive(keep && !m_owner->m_close_after_responses);
        m_response.prepare_payload();
        hold_closable(m_buffer.capacity() + m_response.body().capacity());
        if (m_given_up)
        {
            m_given_up = false;
            shut_down();
            return;
        }
        m_stream.expires_after(write_timeout);
        http::async_write(
            m_stream, m_response,
            [self = shared_from_this()](beast::error_code fault, std::size_t)
            {
                self->m_owner->m_holders.erase(self.get());
                self->hold(0);
                self->m_given_up = false;
                const bool keep = self->m_response.keep_alive();
                release(self->m_response.body());
                if (fault || !keep)
                {
                    self->shut_down();
                    if (!fault && self->m_refused)
                    {
                        self->m_owner->m_idle_sessions.insert(self.get());
                        self->m_stream.expires_after(linger_time);
                        self->drop_input();
                    }
                    return;
                }
                self->receive();
            });
    }

    /// Reads until the peer closes the connection or a bound is reached.
    auto drop_input() -> void
    {
        m_stream.async_read_some(
            m_buffer.prepare(linger_block),
            [self = shared_from_this()](beast::error_code fault,
                                        std::size_t count)
            {
                self->m_dropped_bytes += count;
                if (!fault && self->m_dropped_bytes < linger_bytes)
                {
                    self->drop_input();
                }
            });
    }

    auto shut_down() -> void
    {
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    std::shared_ptr<state> m_owner;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    bool m_first_request = true;
    bool m_refused = false;
    /// Whether the pending read or write was ended to free memory.
    bool m_given_up = false;
    std::size_t m_held_bytes = 0;
    std::size_t m_dropped_bytes = 0;
};

auto http_server::state::listen(const std::string& address) -> result<void>
{
    const auto fail = [&](const std::string& why) -> result<void>
    {
        return leaf::new_error(
            error{error_kind::settings, address_in_use, address,
                  "cannot listen on this address: " + why,
                  "choose a free address of this machine, such as "
                  "10.0.0.7:8080"});
    };
    const auto endpoint = parse_address(address);
    if (!endpoint)
    {
        return fail("it is not an IP address with a port");
    }
    boost::system::error_code fault;
    m_acceptor.open(endpoint->protocol(), fault);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), fault);
    m_acceptor.bind(*endpoint, fault);
    if (fault)
    {
        return fail(fault.message());
    }
    m_acceptor.listen(asio::socket_base::max_listen_connections, fault);
    if (fault)
    {
        return fail(fault.message());
    }
    accept();
    return {};
}

auto http_server::state::accept() -> void
{
    m_acceptor.async_accept(
        [self = shared_from_this()](beast::error_code fault, tcp::socket socket)
        {
            if (fault == asio::error::operation_aborted)
            {
                return;
            }
            if (!fault && self->m_open_sessions < self->m_limits.connections)
            {
                boost::system::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<session>(self, std::move(socket))->receive();
            }
            self->accept();
        });
}

auto http_server::state::close() -> void
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    const auto idle = m_idle_sessions;
    for (auto* const item : idle)
    {
        item->cancel();
    }
}

auto http_server::state::shed_holders() -> void
{
    while (m_held_bytes > m_limits.held_bytes)
    {
        const auto largest = std::max_element(
            m_holders.begin(), m_holders.end(),
            [](const session* left, const session* right)
            {
                return left->held_bytes() < right->held_bytes();
            });
        if (largest == m_holders.end() ||
            (*largest)->held_bytes() == m_held_bytes)
        {
            return;
        }
        (*largest)->give_up();
    }
}

http_server::http_server(asio::io_context& traffic,
                         asio::any_io_executor control, server_limits limits,
                         handler serve)
    : m_state(std::make_shared<state>(traffic, std::move(control), limits,
                                      std::move(serve)))
{
}

http_server::~http_server() = default;

auto http_server::listen(const std::string& address) -> result<void>
{
    return m_state->listen(address);
}

auto http_server::set_limits(const server_limits& limits) -> void
{
    asio::post(m_state->context(),
               [held = m_state, limits]
               {
                   held->set_limits(limits);
               });
}

auto http_server::close_after_responses() -> void
{
    m_state->close_after_responses();
}

auto http_server::close() -> void
{
    asio::post(m_state->context(),
               [held = m_state]
               {
                   held->close();
               });
}

auto http_server::in_flight() const -> std::size_t
{
    return m_state->in_flight();
}

} // namespace pimentoshunt::net
