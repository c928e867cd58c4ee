#include "operator_calls.hpp"

#include "wait_until.hpp"

#include <httplib.h>

namespace pimentoshunt::testing
{
namespace
{

namespace json = boost::json;

constexpr milliseconds configuration_timeout{12'000};

auto parse_object(const std::optional<std::string>& text) -> json::object
{
    return text ? json::parse(*text).as_object() : json::object{};
}

} // namespace

auto plan_text(const plan_service& service) -> std::string
{
    const json::object quota{{"slots", 100'000}};
    const json::object workspace{{"name", "dock"}, {"quota", quota}};
    const json::object entry{{"name", service.name},
                             {"workspace", "dock"},
                             {"idempotent", service.idempotent},
                             {"deadline_ms", service.deadline.count()},
                             {"run_time_ms", 20}};
    return json::serialize(json::object{{"workspaces", json::array{workspace}},
                                        {"services", json::array{entry}}});
}

auto submit_plan(int operator_port, const std::string& text,
                 std::uint64_t based_on) -> submission_result
{
    constexpr std::chrono::seconds read_timeout{10};
    httplib::Client client("127.0.0.1", operator_port);
    client.set_read_timeout(read_timeout);
    const auto answer = client.Put("/plan?revision=" + std::to_string(based_on),
                                   text, "application/json");
    return answer ? submission_result{answer->status, answer->body}
                  : submission_result{};
}

auto get_plan(int operator_port) -> reported_plan
{
    const auto body = parse_object(http_get(operator_port, "/plan"));
    if (body.empty())
    {
        return {};
    }
    return {
        body.at("revision").to_number<std::uint64_t>(),
        body.at("text").as_string().c_str(),
        milliseconds(body.at("confirmed_ms_ago").to_number<std::int64_t>())};
}

auto is_plan_in_force(cell& test_cell, std::uint64_t revision,
                      const std::string& text) -> bool
{
    for (auto& instance : test_cell.instances())
    {
        if (!instance.program.is_running())
        {
            continue;
        }
        const auto reported = get_plan(instance.operator_port);
        if (reported.revision != revision || reported.text != text)
        {
            return false;
        }
    }
    return true;
}

auto status_of(const cell_instance& instance) -> json::object
{
    return parse_object(http_get(instance.operator_port, "/status"));
}

auto count_owned_workers(const cell_instance& instance) -> std::int64_t
{
    const auto status = status_of(instance);
    if (status.empty())
    {
        return -1;
    }
    std::int64_t owned = 0;
    for (const auto& item : status.at("workers").as_array())
    {
        owned += item.at("owner").as_string().empty() ? 0 : 1;
    }
    return owned;
}

auto are_workers_owned(cell& test_cell, std::int64_t count) -> bool
{
    std::int64_t owned = 0;
    for (auto& instance : test_cell.instances())
    {
        owned +=
            instance.program.is_running() ? count_owned_workers(instance) : 0;
    }
    return owned == count;
}

auto count_waiting_requests(const cell_instance& instance) -> std::int64_t
{
    const auto status = status_of(instance);
    if (status.empty())
    {
        return -1;
    }
    std::int64_t waiting = 0;
    for (const auto& item : status.at("queues").as_array())
    {
        waiting += item.at("length").to_number<std::int64_t>();
    }
    return waiting;
}

auto start_with_plan(cell& test_cell, const std::string& text,
                     std::int64_t workers) -> std::string
{
    auto start_error = test_cell.start();
    if (!start_error.empty())
    {
        return start_error;
    }
    const auto port = test_cell.instances().front().operator_port;
    const auto answer = submit_plan(port, text, 0);
    if (answer.status != 200)
    {
        return "the plan was not accepted: status " +
               std::to_string(answer.status) + " " + answer.body;
    }
    const bool is_settled = wait_until(
        [&]
        {
            return is_plan_in_force(test_cell, 1, text) &&
                   are_workers_owned(test_cell, workers);
        },
        configuration_timeout);
    return is_settled ? ""
                      : "the plan is not in force on each instance, or workers "
                        "have no owner";
}

} // namespace pimentoshunt::testing
