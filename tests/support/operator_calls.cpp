#include "operator_calls.hpp"

#include "wait_until.hpp"

#include <httplib.h>

namespace pimentoshunt::testing
{
namespace
{

namespace json = boost::json;

constexpr milliseconds configuration_bound{12'000};

auto parsed(const std::optional<std::string>& text) -> json::object
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
                 std::uint64_t based_on) -> submission_answer
{
    constexpr std::chrono::seconds longest{10};
    httplib::Client client("127.0.0.1", operator_port);
    client.set_read_timeout(longest);
    const auto answer = client.Put("/plan?revision=" + std::to_string(based_on),
                                   text, "application/json");
    return answer ? submission_answer{answer->status, answer->body}
                  : submission_answer{};
}

auto plan_at(int operator_port) -> told_plan
{
    const auto body = parsed(http_get(operator_port, "/plan"));
    if (body.empty())
    {
        return {};
    }
    return {
        body.at("revision").to_number<std::uint64_t>(),
        body.at("text").as_string().c_str(),
        milliseconds(body.at("confirmed_ms_ago").to_number<std::int64_t>())};
}

auto everywhere(cell& whole, std::uint64_t revision, const std::string& text)
    -> bool
{
    for (auto& instance : whole.instances())
    {
        if (!instance.program.is_running())
        {
            continue;
        }
        const auto told = plan_at(instance.operator_port);
        if (told.revision != revision || told.text != text)
        {
            return false;
        }
    }
    return true;
}

auto status_of(const cell_instance& instance) -> json::object
{
    return parsed(http_get(instance.operator_port, "/status"));
}

auto held_by(const cell_instance& instance) -> std::int64_t
{
    const auto status = status_of(instance);
    if (status.empty())
    {
        return -1;
    }
    std::int64_t held = 0;
    for (const auto& item : status.at("workers").as_array())
    {
        held += item.at("owner").as_string().empty() ? 0 : 1;
    }
    return held;
}

auto all_held(cell& whole, std::int64_t count) -> bool
{
    std::int64_t held = 0;
    for (auto& instance : whole.instances())
    {
        held += instance.program.is_running() ? held_by(instance) : 0;
    }
    return held == count;
}

auto waiting_at(const cell_instance& instance) -> std::int64_t
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

auto start_with_plan(cell& whole, const std::string& text, std::int64_t workers)
    -> std::string
{
    auto trouble = whole.start();
    if (!trouble.empty())
    {
        return trouble;
    }
    const auto port = whole.instances().front().operator_port;
    const auto answer = submit_plan(port, text, 0);
    if (answer.status != 200)
    {
        return "the plan was answered " + std::to_string(answer.status) + " " +
               answer.body;
    }
    const bool settled = wait_until(
        [&]
        {
            return everywhere(whole, 1, text) && all_held(whole, workers);
        },
        configuration_bound);
    return settled ? "" : "the cell does not settle";
}

} // namespace pimentoshunt::testing
