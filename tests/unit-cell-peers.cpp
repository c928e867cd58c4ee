/// @file
/// Addresses of instances that heartbeats carry from one owner to the next.
#include "support/port_allocator.hpp"

#include <pimentoshunt/cell/peers.hpp>

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <set>    // set
#include <string> // string, to_string

using namespace pimentoshunt;

namespace
{

struct peers_fixture
{
    boost::asio::io_context control;
    std::string address = "127.0.0.1:" + std::to_string(testing::free_port());
    cell::peers others{control, instance_id("a"), address,
                       [](const std::string&, const wire::cell_message&) {}};
    time_point now = boot_clock::now();
};

auto hello_from(const std::string& address) -> wire::cell_hello
{
    wire::cell_hello out;
    out.set_peer_address(address);
    return out;
}

auto beat_with(const std::set<std::string>& addresses) -> wire::cell_beat
{
    wire::cell_beat out;
    for (const auto& address : addresses)
    {
        out.add_peer_addresses(address);
    }
    return out;
}

} // namespace

// An instance that is cut off from the store refused its callers for as long, as it
// never learned of an owner that took over meanwhile: that owner had heard only of
// instances that read the lease row.
Test(cell_peers, a_new_owner_reaches_the_peers_of_the_one_before)
{
    peers_fixture fixture;
    fixture.others.heard("b", hello_from("10.0.0.2:7000"), fixture.now);
    fixture.others.learn_addresses(
        beat_with({"10.0.0.2:7000", "10.0.0.3:7000", fixture.address}),
        fixture.now);
    const std::set<std::string> expected{"10.0.0.2:7000", "10.0.0.3:7000"};
    cr_assert(fixture.others.heartbeat_addresses(fixture.now) == expected);
}

// Guards against messages to an address that something else uses by now.
Test(cell_peers, addresses_of_instances_that_left_are_forgotten)
{
    peers_fixture fixture;
    fixture.others.learn_addresses(beat_with({"10.0.0.3:7000"}), fixture.now);
    cr_assert(
        fixture.others.heartbeat_addresses(fixture.now + milliseconds(16'000))
            .empty());
    fixture.others.heard("b", hello_from("10.0.0.2:7000"), fixture.now);
    wire::cell_beat late;
    late.set_sent_ms(4'000);
    fixture.others.write_addresses(late, fixture.now + milliseconds(4'000));
    cr_assert(late.peer_addresses().empty());
}

// Guards against heartbeats that carry all addresses each time: an owner sends
// several a second to each instance.
Test(cell_peers, few_heartbeats_carry_addresses)
{
    peers_fixture fixture;
    fixture.others.heard("b", hello_from("10.0.0.2:7000"), fixture.now);
    int carried = 0;
    for (std::int64_t sent_ms = 0; sent_ms < 12'000; sent_ms += 150)
    {
        wire::cell_beat beat;
        beat.set_sent_ms(sent_ms);
        fixture.others.write_addresses(beat, fixture.now);
        carried += beat.peer_addresses_size();
    }
    cr_assert_eq(carried, 3);
}
