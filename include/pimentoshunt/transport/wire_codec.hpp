/// @file
/// Converts between internal types and the protobuf messages between instances.
/// Times are sent as ages and remaining times in microseconds, since clocks are
/// not synchronised.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/queued_request.hpp>
#include <pimentoshunt/entry/request_queue.hpp>
#include <pimentoshunt/membership/member_table.hpp>
#include <pimentoshunt/worker/messages.hpp>

#include <pimentoshunt.pb.h>

namespace pimentoshunt::transport
{

/// @brief Encodes a member, with the time since it was last known to be alive
///        at @p now as its age.
[[nodiscard]] auto to_wire(const membership::member& item, time_point now)
    -> wire::member;
[[nodiscard]] auto from_wire(const wire::member& message) -> membership::member;

[[nodiscard]] auto to_wire(const entry::workload_demand& line, time_point now)
    -> wire::demand_line;
[[nodiscard]] auto from_wire(const wire::demand_line& message, time_point now)
    -> entry::workload_demand;

[[nodiscard]] auto to_wire(const entry::grant& item) -> wire::grant;
/// @note Does not set the owner, which is the sender of the message.
[[nodiscard]] auto from_wire(const wire::grant& message) -> entry::grant;

[[nodiscard]] auto to_wire(const resources& amount) -> wire::amounts;
[[nodiscard]] auto from_wire(const wire::amounts& message) -> resources;

[[nodiscard]] auto to_wire(const worker::description& item)
    -> wire::worker_entry;
[[nodiscard]] auto from_wire(const wire::worker_entry& message)
    -> worker::description;

} // namespace pimentoshunt::transport
