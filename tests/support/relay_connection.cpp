#include "relay_connection.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm> // max, min
#include <array>     // array
#include <cerrno>    // errno
#include <utility>   // exchange, move

namespace pimentoshunt::testing::detail
{
namespace
{

constexpr std::size_t read_size = 64u << 10;
constexpr std::size_t max_queued_bytes = 1u << 20;
constexpr std::size_t max_head_size = 4096;

enum class read_outcome
{
    bytes,
    nothing,
    ended,
    failed
};

auto read_some(int source, std::string& bytes) -> read_outcome
{
    std::array<char, read_size> buffer;
    const auto count = ::recv(source, buffer.data(), buffer.size(), 0);
    if (count > 0)
    {
        bytes.assign(buffer.data(), static_cast<std::size_t>(count));
        return read_outcome::bytes;
    }
    if (count == 0)
    {
        return read_outcome::ended;
    }
    return errno == EAGAIN || errno == EINTR ? read_outcome::nothing
                                             : read_outcome::failed;
}

auto due_time(const relay_direction& direction, relay_rules& rules,
              time_point now) -> time_point
{
    auto due = now + rules.faults.delay;
    if (rules.faults.jitter.count() > 0)
    {
        std::uniform_int_distribution<std::int64_t> extra(
            0, rules.faults.jitter.count());
        due += milliseconds(extra(rules.random));
    }
    // Not before bytes that were read earlier, because TCP keeps the order.
    return direction.queued_chunks.empty()
               ? due
               : std::max(due, direction.queued_chunks.back().due);
}

auto enqueue(relay_direction& direction, std::string bytes, relay_rules& rules,
             time_point now) -> void
{
    if (bytes.empty())
    {
        return;
    }
    const auto due = due_time(direction, rules, now);
    direction.queued_bytes += bytes.size();
    direction.queued_chunks.push_back({due, std::move(bytes)});
}

auto wanted_events(const relay_direction& read_from,
                   const relay_direction& write_to, bool closing,
                   time_point now) -> short
{
    short events = 0;
    if (!closing && !read_from.source_ended &&
        read_from.queued_bytes < max_queued_bytes)
    {
        events = POLLIN;
    }
    if (!write_to.queued_chunks.empty() &&
        write_to.queued_chunks.front().due <= now)
    {
        events = static_cast<short>(events | POLLOUT);
    }
    return events;
}

/// Shuts down the target's direction once the source has ended and all its
/// bytes are written.
auto forward_end(relay_direction& direction, int target) -> void
{
    if (direction.source_ended && direction.queued_chunks.empty() &&
        !direction.end_forwarded)
    {
        ::shutdown(target, SHUT_WR);
        direction.end_forwarded = true;
    }
}

} // namespace

descriptor::descriptor(int fd) : m_fd(fd)
{
}

descriptor::descriptor(descriptor&& other) noexcept
    : m_fd(std::exchange(other.m_fd, -1))
{
}

auto descriptor::operator=(descriptor&& other) noexcept -> descriptor&
{
    if (this != &other)
    {
        close();
        m_fd = std::exchange(other.m_fd, -1);
    }
    return *this;
}

descriptor::~descriptor()
{
    close();
}

auto descriptor::get() const -> int
{
    return m_fd;
}

auto descriptor::close() -> void
{
    if (m_fd >= 0)
    {
        ::close(std::exchange(m_fd, -1));
    }
}

auto descriptor::reset() -> void
{
    const linger at_once{1, 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
}

relay_connection::relay_connection(descriptor client, descriptor server)
    : m_client(std::move(client)), m_server(std::move(server))
{
}

auto relay_connection::client_events(const relay_rules& rules,
                                     time_point now) const -> short
{
    return rules.faults.freeze
               ? short{0}
               : wanted_events(m_requests, m_replies, m_closing, now);
}

auto relay_connection::server_events(const relay_rules& rules,
                                     time_point now) const -> short
{
    return rules.faults.freeze
               ? short{0}
               : wanted_events(m_replies, m_requests, m_closing, now);
}

auto relay_connection::client_descriptor() const -> int
{
    return m_client.get();
}

auto relay_connection::server_descriptor() const -> int
{
    return m_server.get();
}

auto relay_connection::next_due() const -> std::optional<time_point>
{
    std::optional<time_point> due;
    for (const auto* direction : {&m_requests, &m_replies})
    {
        if (!direction->queued_chunks.empty())
        {
            const auto at = direction->queued_chunks.front().due;
            due = due.has_value() ? std::min(*due, at) : at;
        }
    }
    return due;
}

auto relay_connection::step(short client_ready, short server_ready,
                            relay_rules& rules, time_point now) -> bool
{
    if (rules.faults.freeze)
    {
        return true;
    }
    constexpr int readable = POLLIN | POLLHUP | POLLERR;
    if (!m_closing && (client_ready & readable) != 0 &&
        !read_request(rules, now))
    {
        return false;
    }
    if (!m_closing && (server_ready & readable) != 0 && !read_reply(rules, now))
    {
        return false;
    }
    if (!flush(m_requests, m_server.get(), now) ||
        !flush(m_replies, m_client.get(), now))
    {
        return false;
    }
    if (m_closing)
    {
        return !m_requests.queued_chunks.empty() ||
               !m_replies.queued_chunks.empty();
    }
    forward_end(m_requests, m_server.get());
    forward_end(m_replies, m_client.get());
    return !(m_requests.end_forwarded && m_replies.end_forwarded);
}

auto relay_connection::reset() -> void
{
    m_client.reset();
    m_server.reset();
}

auto relay_connection::read_request(relay_rules& rules, time_point now) -> bool
{
    if (m_requests.source_ended || m_requests.queued_bytes >= max_queued_bytes)
    {
        return true;
    }
    std::string bytes;
    const auto outcome = read_some(m_client.get(), bytes);
    if (outcome == read_outcome::ended)
    {
        m_requests.source_ended = true;
        return true;
    }
    if (outcome != read_outcome::bytes)
    {
        return outcome == read_outcome::nothing;
    }
    if (m_reply_bytes > 0)
    {
        begin_exchange();
    }
    if (rules.faults.drop_requests)
    {
        return true;
    }
    apply_request_rule(rules, bytes);
    enqueue(m_requests, std::move(bytes), rules, now);
    return true;
}

auto relay_connection::read_reply(relay_rules& rules, time_point now) -> bool
{
    if (m_replies.source_ended || m_replies.queued_bytes >= max_queued_bytes)
    {
        return true;
    }
    std::string bytes;
    const auto outcome = read_some(m_server.get(), bytes);
    if (outcome == read_outcome::ended)
    {
        m_replies.source_ended = true;
        return true;
    }
    if (outcome != read_outcome::bytes)
    {
        return outcome == read_outcome::nothing;
    }
    if (rules.faults.drop_replies)
    {
        m_reply_bytes += bytes.size();
        return true;
    }
    apply_reply_rule(rules, bytes);
    enqueue(m_replies, std::move(bytes), rules, now);
    return true;
}

auto relay_connection::begin_exchange() -> void
{
    m_request_head.clear();
    m_request_bytes = 0;
    m_reply_bytes = 0;
    m_rule.reset();
}

auto relay_connection::apply_request_rule(relay_rules& rules,
                                          std::string& bytes) -> void
{
    const auto room =
        max_head_size - std::min(max_head_size, m_request_head.size());
    m_request_head.append(bytes, 0, room);
    if (!m_rule.has_value())
    {
        m_rule = take_matching_rule(rules, true);
    }
    if (m_rule.has_value() &&
        m_rule->fault == exchange_fault::close_request_after &&
        m_request_bytes + bytes.size() > m_rule->after_bytes)
    {
        const auto passed = std::min(m_request_bytes, m_rule->after_bytes);
        bytes.resize(m_rule->after_bytes - passed);
        m_closing = true;
    }
    m_request_bytes += bytes.size();
}

auto relay_connection::apply_reply_rule(relay_rules& rules, std::string& bytes)
    -> void
{
    if (!m_rule.has_value() && m_reply_bytes == 0)
    {
        m_rule = take_matching_rule(rules, false);
    }
    const auto before = m_reply_bytes;
    m_reply_bytes += bytes.size();
    if (!m_rule.has_value())
    {
        return;
    }
    const auto allowed = m_rule->fault == exchange_fault::close_reply_after
                             ? m_rule->after_bytes
                             : 0;
    if (m_reply_bytes > allowed)
    {
        bytes.resize(allowed - std::min(allowed, before));
        m_closing = true;
    }
}

auto relay_connection::take_matching_rule(relay_rules& rules, bool is_request)
    -> std::optional<exchange_rule>
{
    for (auto rule = rules.exchanges.begin(); rule != rules.exchanges.end();
         ++rule)
    {
        const auto is_request_fault =
            rule->fault == exchange_fault::close_request_after;
        if (is_request_fault != is_request ||
            m_request_head.find(rule->request_text) == std::string::npos)
        {
            continue;
        }
        const auto taken = *rule;
        ++rules.triggered_count;
        if (--rule->times <= 0)
        {
            rules.exchanges.erase(rule);
        }
        return taken;
    }
    return std::nullopt;
}

auto relay_connection::flush(relay_direction& direction, int target,
                             time_point now) -> bool
{
    while (!direction.queued_chunks.empty() &&
           direction.queued_chunks.front().due <= now)
    {
        auto& bytes = direction.queued_chunks.front().bytes;
        const auto sent =
            ::send(target, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        const auto count = static_cast<std::size_t>(sent);
        direction.queued_bytes -= count;
        if (count < bytes.size())
        {
            bytes.erase(0, count);
            return true;
        }
        direction.queued_chunks.pop_front();
    }
    return true;
}

} // namespace pimentoshunt::testing::detail
