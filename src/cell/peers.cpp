#include <pimentoshunt/cell/peers.hpp>

#include <boost/asio/post.hpp>

#include <utility> // move

namespace pimentoshunt::cell
{
namespace
{

/// An instance that has been silent for this long has left for good.
constexpr milliseconds forget_after{60'000};

/// How often they are looked for: an owner hears some hundred hellos a second.
constexpr milliseconds removal_interval{1'000};

/// A new owner's first approval requests must arrive, so messages wait until
/// the connection is established. Heartbeats and hellos are sent several times
/// a second: data that stays unacknowledged for a second indicates a dead
/// connection.
constexpr transport::link_options cell_links{true, 200,
                                             std::chrono::milliseconds(1'000)};

} // namespace

peers::peers(boost::asio::io_context& control, instance_id self,
             std::string address, message_handler on_message)
    : m_control(control), m_self(std::move(self)),
      m_address(std::move(address)), m_on_message(std::move(on_message)),
      m_sender(m_context, cell_links)
{
    m_receiver = std::make_unique<transport::peer_receiver>(
        m_context, m_address,
        [this](wire::envelope message)
        {
            if (message.body_case() != wire::envelope::kCell)
            {
                return;
            }
            boost::asio::post(m_control,
                              [this, message = std::move(message)]() mutable
                              {
                                  m_on_message(
                                      message.from(),
                                      std::move(*message.mutable_cell()));
                              });
        });
}

auto peers::serialize(wire::cell_message message) const -> std::string
{
    wire::envelope out;
    out.set_from(m_self.str());
    *out.mutable_cell() = std::move(message);
    return out.SerializeAsString();
}

auto peers::send(const std::string& address, wire::cell_message message) -> void
{
    m_sender.send_bytes(address, serialize(std::move(message)),
                        boot_clock::now());
}

auto peers::send_to_all(wire::cell_message message) -> void
{
    const auto envelope = serialize(std::move(message));
    const auto now = boot_clock::now();
    for (const auto& [name, entry] : m_known)
    {
        m_sender.send_bytes(entry.address, envelope, now);
    }
}

auto peers::heard(const std::string& name, const wire::cell_hello& hello,
                  time_point now) -> void
{
    auto& entry = m_known[name];
    entry.address = hello.peer_address();
    entry.data_centre = data_centre_name(hello.data_centre());
    entry.millicpus = hello.millicpus();
    entry.lag = milliseconds(hello.lag_ms());
    entry.serving = hello.serving();
    const milliseconds age(hello.store_answer_age_ms());
    entry.store_answered_at =
        age.count() < 0 ? time_point{} : time_point(now - age);
    entry.heard_at = now;
    if (now - m_silent_removed_at < removal_interval)
    {
        return;
    }
    m_silent_removed_at = now;
    std::erase_if(m_known,
                  [&](const auto& item)
                  {
                      return now - item.second.heard_at > forget_after;
                  });
}

auto peers::heard_within(time_point now, milliseconds limit) const
    -> std::vector<std::pair<std::string, peer_entry>>
{
    std::vector<std::pair<std::string, peer_entry>> out;
    for (const auto& [name, entry] : m_known)
    {
        if (now - entry.heard_at <= limit)
        {
            out.emplace_back(name, entry);
        }
    }
    return out;
}

} // namespace pimentoshunt::cell
