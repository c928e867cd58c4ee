/// @file
/// Tests of the ZeroMQ connections between instances, over real sockets.
#include "support/port_allocator.hpp"
#include "support/wait_until.hpp"

#include <pimentoshunt/transport/peer_link.hpp>

#include <criterion/criterion.h>

#include <atomic> // atomic

using namespace pimentoshunt;
using testing::free_port;
using testing::wait_until;
using transport::link_options;

namespace
{

auto message_to(const std::string& address) -> control::outbound
{
    control::outbound out;
    out.address = address;
    out.envelope.set_from("i1");
    return out;
}

constexpr milliseconds arrival_bound{3'000};

} // namespace

// Guards against the loss of the first message on a new connection: a new
// owner's first question to each instance was lost, so those instances were
// paused, and one instance asked all questions for two seconds after each
// takeover. Seen in the scenario alone-instances-killed.
Test(peer_link, the_first_message_to_an_address_arrives)
{
    zmq::context_t context(1);
    const auto address = "127.0.0.1:" + std::to_string(free_port());
    std::atomic<int> arrived{0};
    const transport::peer_receiver receiver(context, address,
                                            [&](const wire::envelope&)
                                            {
                                                ++arrived;
                                            });
    link_options options;
    options.wait_for_connection = true;
    transport::peer_sender sender(context, options);
    sender.send(message_to(address), boot_clock::now());
    cr_assert(wait_until(
        [&]
        {
            return arrived == 1;
        },
        arrival_bound));
}

// The receiving instance starts shortly after the sender.
Test(peer_link, a_message_waits_for_a_peer_that_is_not_there_yet)
{
    zmq::context_t context(1);
    const auto address = "127.0.0.1:" + std::to_string(free_port());
    link_options options;
    options.wait_for_connection = true;
    transport::peer_sender sender(context, options);
    sender.send(message_to(address), boot_clock::now());
    std::atomic<int> arrived{0};
    const transport::peer_receiver receiver(context, address,
                                            [&](const wire::envelope&)
                                            {
                                                ++arrived;
                                            });
    cr_assert(wait_until(
        [&]
        {
            return arrived == 1;
        },
        arrival_bound));
}
