/// @file
/// The platform's store behind a slow link: sends its answers at 10 Mbit/s, and
/// resets all connections or stops within an answer as the test demands. Runs on
/// the context that the test runs.
#pragma once

#include "soak/platform_wire.hpp"
#include "soak/table_store.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm> // min
#include <memory>    // shared_ptr, weak_ptr
#include <optional>  // optional
#include <string>    // string, to_string
#include <utility>   // move
#include <vector>    // vector

namespace pimentoshunt::soak
{

/// @brief One server on the loopback address; used by one thread.
class slow_store
{
  public:
    explicit slow_store(boost::asio::io_context& context)
        : m_context(context), m_acceptor(context, {address(), 0})
    {
        accept();
    }

    table_store rows;
    /// Bytes of each answer after which the server sends nothing more.
    std::optional<std::size_t> stops_after;
    /// Number of calls received, and when an answer was cut off last.
    std::size_t calls = 0;
    time_point stopped_at;

    [[nodiscard]] auto target() const -> std::string
    {
        return "127.0.0.1:" +
               std::to_string(m_acceptor.local_endpoint().port());
    }

    /// @brief Resets all connections and, until @ref serve, each new one.
    auto reset() -> void
    {
        m_resets = true;
        for (const auto& item : m_sessions)
        {
            if (const auto open = item.lock())
            {
                close(open->socket);
            }
        }
        m_sessions.clear();
    }

    auto serve() -> void
    {
        m_resets = false;
    }

  private:
    using tcp = boost::asio::ip::tcp;
    using fault_code = boost::system::error_code;
    /// 10 Mbit/s.
    static constexpr std::size_t piece_bytes = 12'500;
    static constexpr milliseconds piece_interval{10};

    struct session
    {
        explicit session(tcp::socket from)
            : socket(std::move(from)), timer(socket.get_executor())
        {
        }

        tcp::socket socket;
        boost::asio::steady_timer timer;
        boost::beast::flat_buffer buffer;
        boost::beast::http::request<boost::beast::http::string_body> request;
        std::string out;
        std::size_t sent = 0;
    };
    using session_ptr = std::shared_ptr<session>;

    static auto address() -> boost::asio::ip::address
    {
        return boost::asio::ip::address_v4::loopback();
    }

    /// Closes with a reset instead of an orderly end.
    static auto close(tcp::socket& socket) -> void
    {
        fault_code ignored;
        socket.set_option(tcp::socket::linger(true, 0), ignored);
        socket.close(ignored);
    }

    auto accept() -> void
    {
        m_acceptor.async_accept(
            [this](fault_code fault, tcp::socket from)
            {
                if (fault)
                {
                    return;
                }
                if (m_resets)
                {
                    close(from);
                }
                else
                {
                    auto opened = std::make_shared<session>(std::move(from));
                    m_sessions.push_back(opened);
                    receive(opened);
                }
                accept();
            });
    }

    auto receive(const session_ptr& from) -> void
    {
        from->request = {};
        boost::beast::http::async_read(
            from->socket, from->buffer, from->request,
            [this, from](fault_code fault, std::size_t)
            {
                if (!fault)
                {
                    ++calls;
                    answer(from);
                }
            });
    }

    auto answer(const session_ptr& to) -> void
    {
        net::server_request request;
        request.method = std::string(to->request.method_string());
        request.target = std::string(to->request.target());
        request.body = to->request.body();
        const auto call = read_store_call(request);
        if (const auto* const change =
                std::get_if<cell::row_transaction>(&*call))
        {
            const auto done = rows.apply(*change);
            send(to, write_rows(done.committed ? 200 : 412, done.current,
                                rows.version(), false));
        }
        else if (const auto* const range = std::get_if<read_call>(&*call))
        {
            const auto page = rows.read(range->range, range->limit);
            send(to, write_rows(200, page.rows, rows.version(), page.more));
        }
        else
        {
            follow(to, std::get<follow_call>(*call));
        }
    }

    /// Looks for changes every 10 ms until there are some or the wait ends.
    auto follow(const session_ptr& to, const follow_call& call) -> void
    {
        const auto found = rows.changes(call.table, call.after);
        if (!found || !found->empty() || call.wait.count() <= 0)
        {
            send(to, write_rows(found ? 200 : 410,
                                found.value_or(std::vector<cell::stored_row>{}),
                                rows.version(), false));
            return;
        }
        to->timer.expires_after(piece_interval);
        to->timer.async_wait(
            [this, to,
             rest = follow_call{call.table, call.after,
                                call.wait - piece_interval}](fault_code fault)
            {
                if (!fault)
                {
                    follow(to, rest);
                }
            });
    }

    auto send(const session_ptr& to, const net::server_response& answer) -> void
    {
        to->out =
            "HTTP/1.1 " + std::to_string(answer.status) +
            " X\r\nContent-Length: " + std::to_string(answer.body.size()) +
            "\r\n\r\n" + answer.body;
        to->sent = 0;
        send_piece(to);
    }

    auto send_piece(const session_ptr& to) -> void
    {
        const auto end = stops_after.value_or(to->out.size());
        const auto size =
            std::min(piece_bytes, std::min(end, to->out.size()) - to->sent);
        if (size == 0)
        {
            stopped_at = boot_clock::now();
            m_silent.push_back(to);
            return;
        }
        boost::asio::async_write(
            to->socket, boost::asio::buffer(to->out.data() + to->sent, size),
            [this, to, size](fault_code fault, std::size_t)
            {
                to->sent += size;
                if (fault)
                {
                    return;
                }
                if (to->sent == to->out.size())
                {
                    receive(to);
                    return;
                }
                to->timer.expires_after(piece_interval);
                to->timer.async_wait(
                    [this, to](fault_code stopped)
                    {
                        if (!stopped)
                        {
                            send_piece(to);
                        }
                    });
            });
    }

    boost::asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<session>> m_sessions;
    /// Connections that stay open after an answer that was cut off.
    std::vector<session_ptr> m_silent;
    bool m_resets = false;
};

} // namespace pimentoshunt::soak
