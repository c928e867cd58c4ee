/// @file
/// Messages between the instances of a cell, over ZeroMQ.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/transport/peer_link.hpp>

#include <cell.pb.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>    // int64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <string>     // string
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief State of another instance, from its last hello.
struct peer_entry
{
    std::string address;
    data_centre_name data_centre;
    /// Its processors in thousandths; 0 if not known.
    std::int64_t millicpus = 0;
    /// Its event-loop lag.
    milliseconds lag{0};
    /// When the store last answered it; a default time_point if its last call
    /// failed.
    time_point store_answered_at;
    bool serving = false;
    time_point heard_at;
};

/// @brief Sends and receives messages of other instances; used by the control
/// thread.
///
/// A message that can't be delivered is lost: messages are either repeated, or
/// their sender has a time limit.
class peers
{
  public:
    using message_handler =
        std::function<void(const std::string& from, wire::cell_message)>;

    /// @param address  "host:port" to listen on, by which other instances reach
    ///                 this one
    /// @throw zmq::error_t when the address can't be bound
    peers(boost::asio::io_context& control, instance_id self,
          std::string address, message_handler on_message);

    /// @brief Sends one message to an address.
    auto send(const std::string& address, wire::cell_message message) -> void;

    /// @brief Sends one message to all known peers.
    auto send_to_all(wire::cell_message message) -> void;

    /// @brief Updates the state of a peer from its hello.
    auto heard(const std::string& name, const wire::cell_hello& hello,
               time_point now) -> void;

    /// @brief Peers whose last hello is no older than @p limit.
    [[nodiscard]] auto heard_within(time_point now, milliseconds limit) const
        -> std::vector<std::pair<std::string, peer_entry>>;

    /// @brief All peers heard within the last minute.
    [[nodiscard]] auto known() const -> const std::map<std::string, peer_entry>&
    {
        return m_known;
    }

    [[nodiscard]] auto address() const noexcept -> const std::string&
    {
        return m_address;
    }

  private:
    /// The message as it is sent, with the name of this instance.
    [[nodiscard]] auto serialize(wire::cell_message message) const
        -> std::string;

    boost::asio::io_context& m_control;
    instance_id m_self;
    std::string m_address;
    message_handler m_on_message;
    zmq::context_t m_context{1};
    transport::peer_sender m_sender;
    std::map<std::string, peer_entry> m_known;
    time_point m_silent_removed_at;
    std::unique_ptr<transport::peer_receiver> m_receiver;
};

} // namespace pimentoshunt::cell
