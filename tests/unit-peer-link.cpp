/// @file
/// Links between instances.
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

// nokf-trykk and wischwerk-zh alone-instances-killed: each first question of a
// new owner was lost, its askers rested, and one instance asked for all for
// two seconds after each takeover.
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

// An instance that starts a moment later than the sender.
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
