/// @file
/// The subcommands status and drain.
#include <pimentoshunt/cli/command.hpp>

#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <map>     // map
#include <ostream> // ostream

namespace pimentoshunt::cli::detail
{
namespace
{

namespace fields = platform::detail;

constexpr int ambiguous_drain_target = 816;
constexpr int first_error_status = 300;

/// @brief Number and summed resources of the workers in one state.
struct worker_totals
{
    std::int64_t count = 0;
    resources free;
    resources capacity;
};

/// @brief Calls @p body for each JSON object in the array member @p key.
template<class Body>
auto for_each_object(const boost::json::object& from, const char* key,
                     Body&& body) -> void
{
    const auto* const list = fields::array_of(from, key);
    if (list == nullptr)
    {
        return;
    }
    for (const auto& item : *list)
    {
        if (const auto* const one = item.if_object())
        {
            body(*one);
        }
    }
}

auto format_amounts(const resources& free, const resources& capacity)
    -> std::string
{
    const auto part = [](std::int64_t left, std::int64_t all, const char* unit)
    {
        return std::to_string(left) + " of " + std::to_string(all) + " " + unit;
    };
    auto text = part(free.slots, capacity.slots, "slots") + ", " +
                part(free.millicpus, capacity.millicpus, "millicpus") + ", " +
                part(free.memory_mb, capacity.memory_mb, "MB");
    if (capacity.accelerators > 0)
    {
        text += ", " +
                part(free.accelerators, capacity.accelerators, "accelerators");
    }
    return text + " free";
}

/// @brief Formats a worker's free resources. For a worker that another instance
/// owns, only its slots are given, since only the owner knows what is free.
auto format_amounts_in_state(const std::string& state, const resources& free,
                             const resources& capacity) -> std::string
{
    if (state != "elsewhere")
    {
        return format_amounts(free, capacity);
    }
    return std::to_string(capacity.slots) +
           " slots; only their owners know what "
           "is free";
}

auto print_summary(std::ostream& out, const boost::json::object& status) -> void
{
    out << "instance " << fields::text_of(status, "instance");
    const auto state = fields::text_of(status, "state");
    out << (state.empty() ? "" : ", " + state);
    if (const auto* const plan = fields::object_of(status, "plan"))
    {
        out << ", plan revision " << fields::number_of(*plan, "revision");
        const auto confirmed = fields::number_of(*plan, "confirmed_ms_ago", -1);
        out << (confirmed < 0
                    ? ", never confirmed to be the newest"
                    : ", confirmed " + std::to_string(confirmed) + " ms ago");
    }
    out << "\n";
}

auto print_instances(std::ostream& out, const boost::json::object& status)
    -> void
{
    out << "instances:\n";
    for_each_object(status, "instances",
                    [&](const boost::json::object& one)
                    {
                        // Other instances take over the workers of a dead one,
                        // so the number is that of its last heartbeat.
                        const bool dead =
                            fields::text_of(one, "state") == "dead";
                        out << "  " << fields::text_of(one, "id") << " in "
                            << fields::text_of(one, "data_centre") << ": "
                            << fields::text_of(one, "state") << ", heard "
                            << fields::number_of(one, "age_ms") << " ms ago, "
                            << (dead ? "held " : "holds ")
                            << fields::number_of(one, "workers_held")
                            << " workers" << (dead ? " then" : "") << "\n";
                    });
}

auto print_worker_totals(std::ostream& out, const boost::json::object& status)
    -> void
{
    std::map<std::string, worker_totals> totals;
    for_each_object(status, "workers",
                    [&](const boost::json::object& one)
                    {
                        auto& total = totals[fields::text_of(one, "state")];
                        ++total.count;
                        total.free += fields::resources_of(one, "free");
                        total.capacity += fields::resources_of(one, "capacity");
                    });
    out << "workers:\n";
    for (const auto& [state, total] : totals)
    {
        out << "  " << total.count << " " << state << ": "
            << format_amounts_in_state(state, total.free, total.capacity)
            << "\n";
    }
}

auto print_workers(std::ostream& out, const boost::json::object& status) -> void
{
    for_each_object(status, "workers",
                    [&](const boost::json::object& one)
                    {
                        const auto owner = fields::text_of(one, "owner");
                        const auto state = fields::text_of(one, "state");
                        out << "  " << fields::text_of(one, "id") << " "
                            << state
                            << (owner.empty() ? "" : ", owner " + owner) << ": "
                            << format_amounts_in_state(
                                   state, fields::resources_of(one, "free"),
                                   fields::resources_of(one, "capacity"))
                            << "\n";
                    });
}

auto print_queues(std::ostream& out, const boost::json::object& status) -> void
{
    out << "queues:\n";
    for_each_object(
        status, "queues",
        [&](const boost::json::object& one)
        {
            const auto workload = fields::text_of(one, "workload");
            out << "  " << fields::text_of(one, "class") << " of workspace "
                << fields::text_of(one, "workspace")
                << (workload.empty() ? "" : ", " + workload) << ": "
                << fields::number_of(one, "length") << " wait";
            const auto p50 = fields::number_of(one, "wait_p50_ms", -1);
            const auto p99 = fields::number_of(one, "wait_p99_ms", -1);
            if (p50 >= 0 && p99 >= 0)
            {
                out << "; half waited up to " << p50 << " ms, 99 of 100 up to "
                    << p99 << " ms";
            }
            out << "\n";
        });
}

auto drain_path(const flag_values& flags) -> result<std::string>
{
    if (flags.worker.empty() == flags.instance.empty())
    {
        return leaf::new_error(
            error{error_kind::usage, ambiguous_drain_target, "",
                  "drain needs either a worker or an instance",
                  "add --worker=ID, or --instance=ID with its --server"});
    }
    BOOST_LEAF_CHECK(expect_name(flags.worker + flags.instance));
    return flags.worker.empty() ? "/drain?instance=" + flags.instance
                                : "/drain?worker=" + flags.worker;
}

} // namespace

auto run_status(const invocation& call) -> result<exit_code>
{
    BOOST_LEAF_CHECK(expect_operands(call, 0, 0));
    BOOST_LEAF_AUTO(answer, call.client().get("/status"));
    if (answer.status >= first_error_status)
    {
        return report_error_answer(call, answer);
    }
    auto& out = call.output.out;
    if (call.wants_json())
    {
        out << boost::json::serialize(answer.body) << "\n";
        return exit_code::ok;
    }
    print_summary(out, answer.body);
    print_instances(out, answer.body);
    print_worker_totals(out, answer.body);
    if (call.flags.all)
    {
        print_workers(out, answer.body);
    }
    print_queues(out, answer.body);
    return exit_code::ok;
}

auto run_drain(const invocation& call) -> result<exit_code>
{
    BOOST_LEAF_CHECK(expect_operands(call, 0, 0));
    BOOST_LEAF_AUTO(path, drain_path(call.flags));
    // Draining is idempotent: after a lost answer the operator can repeat it.
    BOOST_LEAF_AUTO(answer, call.client().post(path, ""));
    if (answer.status >= first_error_status)
    {
        return report_error_answer(call, answer);
    }
    if (call.wants_json())
    {
        call.output.out << boost::json::serialize(answer.body) << "\n";
        return exit_code::ok;
    }
    call.output.out << "draining "
                    << (call.flags.worker.empty()
                            ? "instance " + call.flags.instance
                            : "worker " + call.flags.worker)
                    << "; check status until it has no work left\n";
    return exit_code::ok;
}

} // namespace pimentoshunt::cli::detail
