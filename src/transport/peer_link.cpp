#include <pimentoshunt/transport/peer_link.hpp>

#include <utility> // move

namespace pimentoshunt::transport
{
namespace
{

constexpr milliseconds initial_reconnect_interval{20};
constexpr milliseconds max_reconnect_interval{200};
/// Time without use after which a link is closed.
constexpr std::chrono::seconds idle_limit{60};
/// Interval at which the receiver checks whether it has to stop.
constexpr milliseconds stop_check_interval{50};

} // namespace

auto peer_sender::socket_for(const std::string& address, time_point now)
    -> zmq::socket_t&
{
    const auto found = m_links.find(address);
    if (found != m_links.end())
    {
        found->second.used_at = now;
        return found->second.socket;
    }
    close_idle(now);
    zmq::socket_t socket(m_context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, m_options.queue_messages);
    socket.set(zmq::sockopt::immediate, !m_options.wait_for_connection);
    if (m_options.unacknowledged_limit.count() > 0)
    {
        socket.set(zmq::sockopt::tcp_maxrt,
                   static_cast<int>(m_options.unacknowledged_limit.count()));
    }
    socket.set(zmq::sockopt::reconnect_ivl,
               static_cast<int>(initial_reconnect_interval.count()));
    socket.set(zmq::sockopt::reconnect_ivl_max,
               static_cast<int>(max_reconnect_interval.count()));
    socket.connect("tcp://" + address);
    auto& added = m_links[address];
    added.socket = std::move(socket);
    added.used_at = now;
    return added.socket;
}

auto peer_sender::close_idle(time_point now) -> void
{
    for (auto item = m_links.begin(); item != m_links.end();)
    {
        const bool unused = now - item->second.used_at > idle_limit;
        item = unused ? m_links.erase(item) : std::next(item);
    }
}

auto peer_sender::send(const control::outbound& message, time_point now) -> void
{
    send_bytes(message.address, message.envelope.SerializeAsString(), now);
}

auto peer_sender::send_bytes(const std::string& address,
                             const std::string& envelope, time_point now)
    -> void
{
    try
    {
        socket_for(address, now)
            .send(zmq::buffer(envelope), zmq::send_flags::dontwait);
        m_bytes += envelope.size();
    }
    catch (const zmq::error_t&)
    {
        // A failed send, such as to an invalid address, equals a lost message.
        m_links.erase(address);
    }
}

peer_receiver::peer_receiver(zmq::context_t& context,
                             const std::string& address, consumer on_message)
    : m_socket(context, zmq::socket_type::router),
      m_on_message(std::move(on_message))
{
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.set(zmq::sockopt::rcvtimeo,
                 static_cast<int>(stop_check_interval.count()));
    m_socket.bind("tcp://" + address);
    m_thread = std::thread(
        [this]
        {
            receive();
        });
}

peer_receiver::~peer_receiver()
{
    m_stopping = true;
    m_thread.join();
}

auto peer_receiver::receive() -> void
{
    while (!m_stopping)
    {
        zmq::message_t sender;
        if (!m_socket.recv(sender))
        {
            continue;
        }
        if (!sender.more())
        {
            continue;
        }
        zmq::message_t body;
        const auto received = m_socket.recv(body);
        wire::envelope envelope;
        const bool is_complete =
            received && !body.more() &&
            envelope.ParseFromArray(body.data(), static_cast<int>(body.size()));
        if (is_complete && !envelope.from().empty())
        {
            m_on_message(std::move(envelope));
        }
    }
}

} // namespace pimentoshunt::transport
