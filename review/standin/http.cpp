#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <random>

namespace review
{
namespace
{

auto loopback(int port) -> sockaddr_in
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

auto decode_percent(const std::string& text) -> std::string
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        }
        else
        {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

auto parse_target(const std::string& target, http_request& out) -> void
{
    const auto mark = target.find('?');
    out.path = target.substr(0, mark);
    auto at = mark == std::string::npos ? target.size() : mark + 1;
    while (at < target.size())
    {
        const auto end = std::min(target.find('&', at), target.size());
        const auto item = target.substr(at, end - at);
        const auto equal = item.find('=');
        out.query[item.substr(0, equal)] =
            equal == std::string::npos ? ""
                                       : decode_percent(item.substr(equal + 1));
        at = end + 1;
    }
}

auto lower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   {
                       return static_cast<char>(std::tolower(c));
                   });
    return text;
}

auto parse_headers(const std::string& head,
                   std::map<std::string, std::string>& out) -> void
{
    auto at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size())
    {
        const auto end = std::min(head.find("\r\n", at + 2), head.size());
        const auto line = head.substr(at + 2, end - at - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos)
        {
            const auto first = line.find_first_not_of(' ', colon + 1);
            out[lower(line.substr(0, colon))] =
                first == std::string::npos ? "" : line.substr(first);
        }
        at = end == head.size() ? std::string::npos : end;
    }
}

/// Reads a message; its first line is left in @p first.
auto read_message(int socket, std::string& buffer, std::string& first,
                  std::map<std::string, std::string>& headers,
                  std::string& body) -> bool
{
    const auto fill = [&]
    {
        char bytes[16'384];
        const auto count = ::recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0)
        {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    auto end = buffer.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!fill())
        {
            return false;
        }
        end = buffer.find("\r\n\r\n");
    }
    const auto head = buffer.substr(0, end);
    first = head.substr(0, head.find("\r\n"));
    headers.clear();
    parse_headers(head, headers);
    const auto length = headers.count("content-length") > 0
                            ? std::stoul(headers["content-length"])
                            : 0;
    buffer.erase(0, end + 4);
    while (buffer.size() < length)
    {
        if (!fill())
        {
            return false;
        }
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

auto send_all(int socket, const std::string& bytes) -> bool
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto count = ::send(socket, bytes.data() + sent,
                                  bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

auto http_server::start(int port) -> bool
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = loopback(port);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(listener, 256) != 0)
    {
        ::close(listener);
        return false;
    }
    socklen_t size = sizeof at;
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size);
    m_port = ntohs(at.sin_port);
    m_listener = listener;
    m_running = true;
    m_acceptor = std::thread(
        [this, listener]
        {
            accept_connections(listener);
        });
    return true;
}

auto http_server::stop() -> void
{
    m_running = false;
    const int listener = m_listener.exchange(-1);
    if (listener >= 0)
    {
        ::shutdown(listener, SHUT_RDWR);
        if (m_acceptor.joinable())
        {
            m_acceptor.join();
        }
        ::close(listener);
    }
    {
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_sockets)
        {
            // As when a process is killed: the connection is reset.
            const linger none{1, 0};
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    while (m_threads > 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

auto http_server::accept_connections(int listener) -> void
{
    while (m_running)
    {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
        {
            if (!m_running)
            {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard lock(m_mutex);
            m_sockets.insert(socket);
        }
        ++m_threads;
        std::thread(
            [this, socket]
            {
                serve_connection(socket);
                {
                    const std::lock_guard lock(m_mutex);
                    m_sockets.erase(socket);
                }
                ::close(socket);
                --m_threads;
            })
            .detach();
    }
}

auto http_server::serve_connection(int socket) -> void
{
    std::string buffer;
    std::string first;
    http_request request;
    const auto connected = [&]
    {
        char byte = 0;
        const auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return m_running && (count > 0 || (count < 0 && errno == EAGAIN));
    };
    while (m_running &&
           read_message(socket, buffer, first, request.headers, request.body))
    {
        const auto space = first.find(' ');
        request.method = first.substr(0, space);
        request.query.clear();
        parse_target(first.substr(space + 1, first.rfind(' ') - space - 1),
                     request);
        const auto out = m_serve(request, connected);
        if (!out)
        {
            while (connected())
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
            return;
        }
        const auto text = "HTTP/1.1 " + std::to_string(out->status) +
                          " S\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(out->body.size()) + "\r\n\r\n" +
                          out->body;
        if (!m_running || !send_all(socket, text))
        {
            return;
        }
    }
}

auto free_port() -> int
{
    // Below the ports that the kernel gives to outgoing connections.
    constexpr int first = 12'000;
    constexpr int count = 18'000;
    static std::mt19937 random{std::random_device{}()};
    while (true)
    {
        const int port = first + static_cast<int>(random() % count);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto at = loopback(port);
        const bool free =
            ::bind(socket, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
        ::close(socket);
        if (free)
        {
            return port;
        }
    }
}

auto http_call(const std::string& address, const std::string& method,
               const std::string& path, const std::string& host,
               const std::string& body, std::chrono::milliseconds timeout)
    -> std::optional<http_response>
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const auto at =
        loopback(std::atoi(address.c_str() + address.find(':') + 1));
    std::optional<http_response> out;
    const auto request = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                         "\r\nContent-Type: application/json\r\nDeadline-Ms: " +
                         std::to_string(timeout.count()) +
                         "\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\nConnection: close\r\n\r\n" + body;
    std::string buffer;
    std::string first;
    std::map<std::string, std::string> headers;
    http_response answer;
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&at), sizeof at) ==
            0 &&
        send_all(socket, request) &&
        read_message(socket, buffer, first, headers, answer.body))
    {
        answer.status = std::atoi(first.c_str() + first.find(' ') + 1);
        out = std::move(answer);
    }
    ::close(socket);
    return out;
}

} // namespace review
