#include "worker_record.hpp"

#include "standins/json_access.hpp"

#include <map>     // map
#include <sstream> // istringstream

namespace pimentoshunt::testing
{
namespace
{

namespace json = boost::json;
using standins::number_of;
using standins::resources_in;
using standins::text_of;

auto kind_of(const std::string& name) -> observed_kind
{
    static const std::map<std::string, observed_kind> kinds{
        {"up", observed_kind::worker_started},
        {"start", observed_kind::start},
        {"end", observed_kind::end},
        {"lapse", observed_kind::lease_expired},
        {"stop", observed_kind::stop},
        {"checkpoint", observed_kind::checkpoint},
        {"refused", observed_kind::refused},
        {"leaving", observed_kind::leaving}};
    const auto found = kinds.find(name);
    return found == kinds.end() ? observed_kind::other : found->second;
}

auto parse_event(const std::string& line) -> observed_event
{
    const auto value = json::parse(line);
    const auto& object = value.as_object();
    observed_event event;
    event.at_us = number_of(object, "at_us");
    event.kind_name = text_of(object, "kind");
    event.kind = kind_of(event.kind_name);
    event.worker = text_of(object, "worker");
    event.attempt = text_of(object, "attempt");
    event.workload = text_of(object, "workload");
    event.job = text_of(object, "job");
    event.task = number_of(object, "task");
    event.event_resources = resources_in(object, "resources");
    event.connections = number_of(object, "connections");
    event.reason = text_of(object, "reason");
    event.request_id = text_of(object, "request_id");
    event.idempotency_key = text_of(object, "idempotency_key");
    return event;
}

} // namespace

auto ends_attempt(observed_kind kind) -> bool
{
    return kind == observed_kind::end || kind == observed_kind::lease_expired ||
           kind == observed_kind::stop || kind == observed_kind::checkpoint;
}

auto parse_record(const std::string& lines) -> std::vector<observed_event>
{
    std::vector<observed_event> events;
    std::istringstream in(lines);
    std::string line;
    // getline sets eof only if it reads a last line without a line feed, which
    // is incomplete.
    while (std::getline(in, line) && !in.eof())
    {
        events.push_back(parse_event(line));
    }
    return events;
}

} // namespace pimentoshunt::testing
