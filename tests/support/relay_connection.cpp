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
constexpr std::size_t most_waiting = 1u << 20;
constexpr std::size_t head_size = 4096;

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
    // Never before what came earlier: TCP keeps the order.
    return direction.waiting.empty()
               ? due
               : std::max(due, direction.waiting.back().due);
}

auto enqueue(relay_direction& direction, std::string bytes, relay_rules& rules,
             time_point now) -> void
{
    if (bytes.empty())
    {
        return;
    }
    const auto due = due_time(direction, rules, now);
    direction.waiting_bytes += bytes.size();
    direction.waiting.push_back({due, std::move(bytes)});
}

auto events_of(const relay_direction& from_here, const relay_direction& to_here,
               bool closing, time_point now) -> short
{
    short events = 0;
    if (!closing && !from_here.source_ended &&
        from_here.waiting_bytes < most_waiting)
    {
        events = POLLIN;
    }
    if (!to_here.waiting.empty() && to_here.waiting.front().due <= now)
    {
        events = static_cast<short>(events | POLLOUT);
    }
    return events;
}

/// Hands on the end of one side's bytes once all of them are written.
auto pass_end_on(relay_direction& direction, int target) -> void
{
    if (direction.source_ended && direction.waiting.empty() &&
        !direction.end_passed_on)
    {
        ::shutdown(target, SHUT_WR);
        direction.end_passed_on = true;
    }
}

} // namespace

descriptor::descriptor(int number) : m_number(number)
{
}

descriptor::descriptor(descriptor&& other) noexcept
    : m_number(std::exchange(other.m_number, -1))
{
}

auto descriptor::operator=(descriptor&& other) noexcept -> descriptor&
{
    if (this != &other)
    {
        close();
        m_number = std::exchange(other.m_number, -1);
    }
    return *this;
}

descriptor::~descriptor()
{
    close();
}

auto descriptor::get() const -> int
{
    return m_number;
}

auto descriptor::close() -> void
{
    if (m_number >= 0)
    {
        ::close(std::exchange(m_number, -1));
    }
}

auto descriptor::reset() -> void
{
    const linger at_once{1, 0};
    ::setsockopt(m_number, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
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
               : events_of(m_requests, m_replies, m_closing, now);
}

auto relay_connection::server_events(const relay_rules& rules,
                                     time_point now) const -> short
{
    return rules.faults.freeze
               ? short{0}
               : events_of(m_replies, m_requests, m_closing, now);
}

auto relay_connection::client_number() const -> int
{
    return m_client.get();
}

auto relay_connection::server_number() const -> int
{
    return m_server.get();
}

auto relay_connection::next_due() const -> std::optional<time_point>
{
    std::optional<time_point> due;
    for (const auto* direction : {&m_requests, &m_replies})
    {
        if (!direction->waiting.empty())
        {
            const auto at = direction->waiting.front().due;
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
        return !m_requests.waiting.empty() || !m_replies.waiting.empty();
    }
    pass_end_on(m_requests, m_server.get());
    pass_end_on(m_replies, m_client.get());
    return !(m_requests.end_passed_on && m_replies.end_passed_on);
}

auto relay_connection::reset() -> void
{
    m_client.reset();
    m_server.reset();
}

auto relay_connection::read_request(relay_rules& rules, time_point now) -> bool
{
    if (m_requests.source_ended || m_requests.waiting_bytes >= most_waiting)
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
    if (rules.faults.swallow_requests)
    {
        return true;
    }
    strike_request(rules, bytes);
    enqueue(m_requests, std::move(bytes), rules, now);
    return true;
}

auto relay_connection::read_reply(relay_rules& rules, time_point now) -> bool
{
    if (m_replies.source_ended || m_replies.waiting_bytes >= most_waiting)
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
    if (rules.faults.swallow_replies)
    {
        m_reply_bytes += bytes.size();
        return true;
    }
    strike_reply(rules, bytes);
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

auto relay_connection::strike_request(relay_rules& rules, std::string& bytes)
    -> void
{
    const auto room = head_size - std::min(head_size, m_request_head.size());
    m_request_head.append(bytes, 0, room);
    if (!m_rule.has_value())
    {
        m_rule = take_rule(rules, true);
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

auto relay_connection::strike_reply(relay_rules& rules, std::string& bytes)
    -> void
{
    if (!m_rule.has_value() && m_reply_bytes == 0)
    {
        m_rule = take_rule(rules, false);
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

auto relay_connection::take_rule(relay_rules& rules, bool of_request)
    -> std::optional<exchange_rule>
{
    for (auto rule = rules.exchanges.begin(); rule != rules.exchanges.end();
         ++rule)
    {
        const auto for_request =
            rule->fault == exchange_fault::close_request_after;
        if (for_request != of_request ||
            m_request_head.find(rule->request_text) == std::string::npos)
        {
            continue;
        }
        const auto taken = *rule;
        ++rules.struck;
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
    while (!direction.waiting.empty() && direction.waiting.front().due <= now)
    {
        auto& bytes = direction.waiting.front().bytes;
        const auto sent =
            ::send(target, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        const auto count = static_cast<std::size_t>(sent);
        direction.waiting_bytes -= count;
        if (count < bytes.size())
        {
            bytes.erase(0, count);
            return true;
        }
        direction.waiting.pop_front();
    }
    return true;
}

} // namespace pimentoshunt::testing::detail
