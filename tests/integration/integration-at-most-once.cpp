/// @file
/// Checks that a request with an idempotency key starts at most once when
/// instances are killed or paused, the table is down, or replies are lost.
#include "cell_run.hpp"

#include <algorithm> // count_if
#include <cstddef>   // size_t
#include <future>    // future
#include <string>    // string
#include <utility>   // move
#include <vector>    // vector

using namespace pimentoshunt;
using namespace pimentoshunt::testing;

namespace
{

auto make_keyed_call(const std::string& id, const std::string& key) -> call_spec
{
    call_spec spec;
    spec.request_id = id;
    spec.idempotency_key = key;
    // The body depends only on the key: a key that is repeated with another
    // body is refused with status 422.
    spec.body = make_body(key, 2'000, 5);
    return spec;
}

/// Whether the table holds the row of any key.
auto has_claimed_keys(cell_run& run) -> bool
{
    const auto rows = http_get(run.test_cell().platform_port(),
                               "/table?prefix=idem/&limit=10");
    return rows && rows->find("idem/") != std::string::npos;
}

auto count_starts_of_key(const cell_run& run, const std::string& key)
    -> std::size_t
{
    std::size_t found = 0;
    for (const auto& event : run.events())
    {
        found +=
            event.kind == observed_kind::start && event.idempotency_key == key
                ? 1
                : 0;
    }
    return found;
}

/// Repeats a request with its key at one instance until the outcome is final,
/// at most 20 times.
auto repeat_until_final(cell_run& run, int port, const std::string& key,
                        const std::string& prefix) -> call_record
{
    call_record last;
    for (int i = 0; i < 20; ++i)
    {
        last = call(port, make_keyed_call(prefix + std::to_string(i), key));
        run.add_call_record(last);
        if (last.answered && last.ran != ran_header::no && last.status != 409)
        {
            break;
        }
    }
    return last;
}

/// Number of requests of a workload that wait at an instance.
auto queue_length(const cell_instance& instance, const std::string& workload)
    -> std::int64_t
{
    const auto page = http_get(instance.operator_port, "/status");
    if (!page)
    {
        return 0;
    }
    const auto status = boost::json::parse(*page);
    for (const auto& queue : status.at("queues").as_array())
    {
        if (queue.at("workload").as_string() == workload)
        {
            return queue.at("length").to_number<std::int64_t>();
        }
    }
    return 0;
}

auto set_table_faults(cell_run& run, const boost::json::object& faults) -> void
{
    cr_assert(run.test_cell().set_platform_faults(faults));
}

} // namespace

Test(at_most_once, one_key_at_all_instances_at_the_same_time)
{
    cell_run run(small_cell_options());
    std::vector<std::future<call_record>> pending_calls;
    for (int key = 0; key < 25; ++key)
    {
        int copy = 0;
        for (const auto port : run.test_cell().entry_ports())
        {
            const auto name = "same-" + std::to_string(key);
            auto spec =
                make_keyed_call(name + "-" + std::to_string(copy++), name);
            spec.subpath = "x?run_ms=60";
            pending_calls.push_back(run.start_call(port, std::move(spec)));
        }
    }
    for (auto& pending_call : pending_calls)
    {
        run.add_call_record(pending_call.get());
    }
    run.verify_history(75);
}

Test(at_most_once, key_repeated_after_its_instance_died_with_the_request)
{
    cell_run run(small_cell_options());
    const auto ports = run.test_cell().entry_ports();
    auto spec = make_keyed_call("first", "orphan");
    spec.subpath = "x?run_ms=800";
    auto first = run.start_call(ports[0], spec);
    cr_assert(wait_until(
        [&]
        {
            return run.count_starts("first") == 1;
        },
        settle_timeout));
    run.test_cell().instances().front().program.kill();
    run.add_call_record(first.get());
    // Repeats the request at both other instances.
    for (const auto port : {ports[1], ports[2]})
    {
        spec.request_id = "again-" + std::to_string(port);
        const auto again = call(port, spec);
        run.add_call_record(again);
        cr_assert(again.answered);
        cr_assert(again.ran == ran_header::unknown, "status %d", again.status);
    }
    run.verify_history(0);
    cr_assert(count_starts_of_key(run, "orphan") == 1);
}

Test(at_most_once, answer_replayed_after_its_instance_died)
{
    cell_run run(small_cell_options());
    const auto ports = run.test_cell().entry_ports();
    const auto first = call(ports[0], make_keyed_call("first", "given"));
    cr_assert(first.status == 200);
    run.add_call_record(first);
    run.test_cell().instances().front().program.kill();
    for (const auto port : {ports[1], ports[2]})
    {
        const auto again = repeat_until_final(
            run, port, "given", "again-" + std::to_string(port) + "-");
        cr_assert(again.status == 200 && again.received == first.received);
    }
    run.verify_history(3);
    cr_assert(count_starts_of_key(run, "given") == 1);
}

Test(at_most_once, request_that_arrives_after_its_instance_died)
{
    auto options = small_cell_options();
    options.proxy_workers = true;
    cell_run run(options);
    const auto ports = run.test_cell().entry_ports();
    for (const auto& link : run.test_cell().links())
    {
        link.proxy->set_faults({.freeze = true});
    }
    auto first = run.start_call(ports[0], make_keyed_call("first", "late"));
    cr_assert(wait_until(
        [&]
        {
            return has_claimed_keys(run);
        },
        settle_timeout));
    run.test_cell().instances().front().program.kill();
    run.add_call_record(first.get());
    auto second = run.start_call(ports[1], make_keyed_call("second", "late"));
    auto third = run.start_call(ports[2], make_keyed_call("third", "late"));
    for (const auto& link : run.test_cell().links())
    {
        // Delivers the requests that the killed instance had sent.
        link.proxy->clear_faults();
    }
    run.add_call_record(second.get());
    run.add_call_record(third.get());
    const auto last = repeat_until_final(run, ports[1], "late", "again-");
    cr_assert(last.ran != ran_header::no);
    run.verify_history(0);
    cr_assert(count_starts_of_key(run, "late") <= 1);
}

Test(at_most_once, key_while_the_table_is_down)
{
    for (const auto* const mode : {"refuse", "hang"})
    {
        cell_run run(small_cell_options());
        const auto ports = run.test_cell().entry_ports();
        set_table_faults(run, {{"outage", mode}});
        std::vector<std::future<call_record>> pending_calls;
        for (std::size_t i = 0; i < ports.size(); ++i)
        {
            pending_calls.push_back(run.start_call(
                ports[i],
                make_keyed_call("down-" + std::to_string(i), "down")));
        }
        for (auto& pending_call : pending_calls)
        {
            const auto result = pending_call.get();
            run.add_call_record(result);
            cr_assert(result.status == 503 && result.ran == ran_header::no &&
                          result.has_retry_after,
                      "%s: status %d", mode, result.status);
        }
        // Requests without a key don't need the table.
        call_spec plain;
        plain.request_id = "plain";
        const auto served = call(ports[0], plain);
        run.add_call_record(served);
        cr_assert(served.status == 200);
        set_table_faults(run, {{"outage", "none"}});
        const auto last = repeat_until_final(run, ports[2], "down", "up-");
        cr_assert(last.status == 200);
        run.verify_history(2);
        cr_assert(count_starts_of_key(run, "down") == 1);
    }
}

Test(at_most_once, table_outage_during_a_request)
{
    cell_run run(small_cell_options());
    const auto ports = run.test_cell().entry_ports();
    auto spec = make_keyed_call("first", "middle");
    spec.subpath = "x?run_ms=300";
    auto first = run.start_call(ports[0], spec);
    cr_assert(wait_until(
        [&]
        {
            return run.count_starts("first") == 1;
        },
        settle_timeout));
    set_table_faults(run, {{"outage", "hang"}});
    const auto result = first.get();
    run.add_call_record(result);
    cr_assert(result.status == 200);
    spec.request_id = "second";
    const auto refused = call(ports[1], spec);
    run.add_call_record(refused);
    cr_assert(refused.ran == ran_header::no && refused.status == 503);
    set_table_faults(run, {{"outage", "none"}});
    cr_assert(wait_until(
        [&]
        {
            spec.request_id += "x";
            const auto again = call(ports[1], spec);
            run.add_call_record(again);
            return again.status == 200;
        },
        settle_timeout));
    run.verify_history(2);
    cr_assert(count_starts_of_key(run, "middle") == 1);
}

Test(at_most_once, replies_of_the_table_are_lost)
{
    auto options = small_cell_options();
    options.proxy_platform = true;
    cell_run run(options);
    for (const auto& link : run.test_cell().links())
    {
        link.proxy->add({exchange_fault::drop_reply, 12, 0, "idem/"});
        link.proxy->add({exchange_fault::close_reply_after, 6, 20, "idem/"});
    }
    auto load = run.load("lost");
    load.callers = 12;
    load.requests_per_caller = 12;
    load.with_keys = true;
    run.begin(load);
    run.join_callers();
    // Repeats each key, at the instances in turn.
    const auto before = run.calls();
    const auto ports = run.test_cell().entry_ports();
    std::size_t number = 0;
    for (const auto& record : before)
    {
        auto spec = make_keyed_call("again-" + record.request_id,
                                    record.idempotency_key);
        const auto again = call(ports[number++ % ports.size()], spec);
        // The body differs from that of the first request with this key, so
        // the repeat is refused and never runs.
        cr_assert(record.ran != ran_header::yes || again.status == 422,
                  "status %d", again.status);
        run.add_call_record(again);
    }
    cr_assert(run.triggered_count() >= 20,
              "too few replies of the table were lost");
    run.verify_history(120);
}

Test(at_most_once, worker_replies_lost_with_keys_and_without)
{
    auto options = small_cell_options();
    options.proxy_workers = true;
    cell_run run(options);
    for (const auto& link : run.test_cell().links())
    {
        link.proxy->add({exchange_fault::drop_reply, 20, 0, "/run/"});
        link.proxy->add(
            {exchange_fault::close_request_after, 20, 200, "/run/"});
        link.proxy->add({exchange_fault::drop_reply, 10, 0, "/revoke"});
    }
    auto load = run.load("plain");
    load.callers = 20;
    load.requests_per_caller = 15;
    run.begin(load);
    load.id_prefix = "keyed";
    load.with_keys = true;
    run.begin(load);
    cr_assert(wait_until(
        [&]
        {
            return run.triggered_count() >= 40;
        },
        settle_timeout));
    run.verify_history(400);
}

Test(at_most_once, instance_killed_under_load_with_keys)
{
    cell_run run(small_cell_options());
    auto load = run.load("kill");
    load.callers = 24;
    load.requests_per_caller = 10;
    load.with_keys = true;
    load.min_run_time = milliseconds(50);
    load.max_run_time = milliseconds(300);
    run.begin(load);
    cr_assert(run.wait_for_running_attempts(10));
    run.test_cell().instances()[1].program.kill();
    run.verify_history(60);
}

Test(at_most_once, holder_of_a_key_paused_and_resumed)
{
    cell_run run(small_cell_options());
    const auto ports = run.test_cell().entry_ports();
    auto spec = make_keyed_call("first", "paused");
    spec.subpath = "x?run_ms=2500";
    auto first = run.start_call(ports[0], spec);
    cr_assert(wait_until(
        [&]
        {
            return run.count_starts("first") == 1;
        },
        settle_timeout));
    auto& holder = run.test_cell().instances().front().program;
    holder.pause();
    cr_assert(run.wait_for_ownership("i0", false),
              "no other instance took over its workers");
    spec.request_id = "second";
    const auto second = call(ports[1], spec);
    run.add_call_record(second);
    cr_assert(second.answered && second.ran != ran_header::no);
    holder.resume();
    run.add_call_record(first.get());
    spec.request_id = "third";
    const auto third = call(ports[2], spec);
    run.add_call_record(third);
    cr_assert(third.status == 200);
    run.verify_history(2);
    cr_assert(count_starts_of_key(run, "paused") == 1);
}

Test(at_most_once, key_with_a_lost_answer_is_reported_without_delay)
{
    auto options = small_cell_options();
    options.proxy_workers = true;
    cell_run run(options);
    // The lost reply must be that of a run and not that of a refusal.
    cr_assert(run.wait_for_expected_owners());
    for (const auto& link : run.test_cell().links())
    {
        link.proxy->add({exchange_fault::drop_reply, 1, 0, "/run/"});
    }
    const auto ports = run.test_cell().entry_ports();
    const auto first = call(ports[0], make_keyed_call("first", "unanswered"));
    run.add_call_record(first);
    cr_assert(first.status == 502 && first.ran == ran_header::unknown,
              "status %d, %zu starts, refusals: %s", first.status,
              run.count_starts("first"), run.describe_refusals().c_str());
    for (const auto port : ports)
    {
        auto spec =
            make_keyed_call("again-" + std::to_string(port), "unanswered");
        // The answer is lost for good, so the repeat must not wait for it.
        spec.timeout = milliseconds(5'000);
        const auto again = call(port, spec);
        run.add_call_record(again);
        cr_assert(again.answered, "the repeat got no answer in time");
        cr_assert(again.status == 502 && again.ran == ran_header::unknown,
                  "status %d", again.status);
    }
    run.verify_history(0);
    cr_assert(count_starts_of_key(run, "unanswered") == 1);
}

Test(at_most_once, claim_whose_reply_was_lost_frees_the_key)
{
    auto options = small_cell_options();
    options.proxy_platform = true;
    cell_run run(options);
    auto busy = run.load("busy");
    busy.workload = "prompt";
    busy.callers = 45;
    busy.requests_per_caller = 1;
    busy.min_run_time = milliseconds(700);
    busy.max_run_time = milliseconds(700);
    run.begin(busy);
    const auto& claiming_instance = run.test_cell().instances().front();
    // Requests leave the queues all the time: only the number of those that were
    // queued or have started never falls.
    const auto has_arrived = [&](std::size_t requests)
    {
        const auto events = run.events();
        auto arrived = static_cast<std::size_t>(
            std::count_if(events.begin(), events.end(),
                          [](const auto& event)
                          {
                              return event.kind == observed_kind::start;
                          }));
        for (const auto& instance : run.test_cell().instances())
        {
            arrived +=
                static_cast<std::size_t>(queue_length(instance, "prompt"));
        }
        return arrived >= requests;
    };
    const auto busy_requests = static_cast<std::size_t>(busy.callers);
    cr_assert(wait_until(
        [&]
        {
            return has_arrived(busy_requests) &&
                   queue_length(claiming_instance, "prompt") >= 1;
        },
        settle_timeout));
    // The request claims its key only after it has left the queue.
    auto spec = make_keyed_call("first", "unsent");
    spec.workload = "prompt";
    auto& link = *claiming_instance.to_platform;
    const auto ports = run.test_cell().entry_ports();
    auto first = run.start_call(ports[0], spec);
    cr_assert(wait_until(
        [&]
        {
            return has_arrived(busy_requests + 1);
        },
        settle_timeout));
    cr_assert(run.count_starts("first") == 0, "it has left the queue");
    link.add({exchange_fault::drop_reply, 200, 0, "idem/"});
    const auto result = first.get();
    run.add_call_record(result);
    cr_assert(result.status == 503 && result.ran == ran_header::no, "status %d",
              result.status);
    cr_assert(has_claimed_keys(run), "the table holds no claim");
    // The claiming instance is alive and sent nothing to a worker, so the key
    // can be used again.
    for (int i = 0; i < 3; ++i)
    {
        spec.request_id = "again-" + std::to_string(i);
        const auto again = call(ports[1], spec);
        run.add_call_record(again);
        cr_assert(again.status == 200, "status %d", again.status);
    }
    run.verify_history(3);
    cr_assert(count_starts_of_key(run, "unsent") == 1);
}
