#include <pimentoshunt/transport/wire_codec.hpp>

namespace pimentoshunt::transport
{
namespace
{

template<class Duration>
auto to_us(Duration length) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(length)
        .count();
}

} // namespace

auto to_wire(const resources& amount) -> wire::amounts
{
    wire::amounts message;
    message.set_slots(amount.slots);
    message.set_millicpus(amount.millicpus);
    message.set_memory_mb(amount.memory_mb);
    message.set_accelerators(amount.accelerators);
    return message;
}

auto from_wire(const wire::amounts& message) -> resources
{
    return {message.slots(), message.millicpus(), message.memory_mb(),
            message.accelerators()};
}

auto to_wire(const membership::member& item, time_point now) -> wire::member
{
    wire::member message;
    message.set_id(item.id.str());
    message.set_incarnation(item.incarnation);
    message.set_address(item.address);
    message.set_http_address(item.http_address);
    message.set_data_centre(item.data_centre.str());
    message.set_state(static_cast<std::uint32_t>(item.state));
    message.set_plan_revision(item.plan_revision);
    message.set_sequence(item.sequence);
    message.set_age_us(to_us(now - item.last_alive));
    message.set_workers_held(item.workers_held);
    message.mutable_free()->set_slots(item.free_slots);
    return message;
}

auto from_wire(const wire::member& message) -> membership::member
{
    constexpr std::uint32_t last_state = 3;
    membership::member item;
    item.id = instance_id(message.id());
    item.incarnation = message.incarnation();
    item.address = message.address();
    item.http_address = message.http_address();
    item.data_centre = data_centre_name(message.data_centre());
    item.state = message.state() <= last_state
                     ? static_cast<membership::member_state>(message.state())
                     : membership::member_state::joining;
    item.plan_revision = message.plan_revision();
    item.sequence = message.sequence();
    item.workers_held = message.workers_held();
    item.free_slots = message.free().slots();
    return item;
}

auto to_wire(const entry::workload_demand& line, time_point now)
    -> wire::demand_line
{
    wire::demand_line message;
    message.set_workload(line.workload.str());
    message.set_count(line.count);
    message.set_slack_us(to_us(line.deadline - now));
    message.set_waited_us(to_us(now - line.waiting_since));
    return message;
}

auto from_wire(const wire::demand_line& message, time_point now)
    -> entry::workload_demand
{
    entry::workload_demand line;
    line.workload = workload_name(message.workload());
    line.count = message.count();
    line.deadline = now + std::chrono::microseconds(message.slack_us());
    line.waiting_since = now - std::chrono::microseconds(message.waited_us());
    return line;
}

auto to_wire(const entry::grant& item) -> wire::grant
{
    wire::grant message;
    message.set_attempt(item.attempt.str());
    message.set_workload(item.workload.str());
    message.set_worker(item.worker.str());
    message.set_base_url(item.base_url);
    message.set_epoch(item.epoch);
    return message;
}

auto from_wire(const wire::grant& message) -> entry::grant
{
    entry::grant item;
    item.attempt = attempt_id(message.attempt());
    item.workload = workload_name(message.workload());
    item.worker = worker_id(message.worker());
    item.base_url = message.base_url();
    item.epoch = message.epoch();
    return item;
}

auto to_wire(const worker::description& item) -> wire::worker_entry
{
    wire::worker_entry message;
    message.set_id(item.id.str());
    message.set_base_url(item.base_url);
    message.set_data_centre(item.data_centre.str());
    message.set_rack(item.rack);
    *message.mutable_capacity() = to_wire(item.capacity);
    message.set_connections(item.connections);
    message.set_leaving(item.leaving);
    return message;
}

auto from_wire(const wire::worker_entry& message) -> worker::description
{
    worker::description item;
    item.id = worker_id(message.id());
    item.base_url = message.base_url();
    item.data_centre = data_centre_name(message.data_centre());
    item.rack = message.rack();
    item.capacity = from_wire(message.capacity());
    item.connections = message.connections();
    item.leaving = message.leaving();
    return item;
}

} // namespace pimentoshunt::transport
