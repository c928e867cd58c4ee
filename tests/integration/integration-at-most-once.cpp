#include "cell_run.hpp"

#include <future>  // future
#include <string>  // string
#include <utility> // move
#include <vector>  // vector

using namespace pimentoshunt;
using namespace pimentoshunt::testing;

namespace
{

auto keyed(const std::string& id, const std::string& key) -> call_spec
{
    call_spec spec;
    spec.request_id = id;
    spec.idempotency_key = key;
    // The body belongs to the key: another one would be another request.
    spec.body = make_body(key, 2'000, 5);
    return spec;
}

/// Rows of keys that the table holds.
auto claimed_keys(cell_run& run) -> bool
{
    const auto rows =
        http_get(run.parts().platform_port(), "/table?prefix=idem/&limit=10");
    return rows && rows->find("idem/") != std::string::npos;
}

auto total_starts(const cell_run& run, const std::string& key) -> std::size_t
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

/// Repeats one key at an instance until its outcome is final.
auto repeat_to_end(cell_run& run, int port, const std::string& key,
                   const std::string& prefix) -> call_record
{
    call_record last;
    for (int i = 0; i < 20; ++i)
    {
        last = call(port, keyed(prefix + std::to_string(i), key));
        run.note(last);
        if (last.answered && last.ran != ran_header::no && last.status != 409)
        {
            break;
        }
    }
    return last;
}

/// Requests of a workload that wait at an instance.
auto queued(const cell_instance& instance, const std::string& workload)
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

auto set_store(cell_run& run, const boost::json::object& faults) -> void
{
    cr_assert(run.parts().set_platform_faults(faults));
}

} // namespace

Test(at_most_once, one_key_at_all_instances_at_the_same_time)
{
    cell_run run(small_cell());
    std::vector<std::future<call_record>> waiting;
    for (int key = 0; key < 25; ++key)
    {
        int copy = 0;
        for (const auto port : run.parts().entry_ports())
        {
            const auto name = "same-" + std::to_string(key);
            auto spec = keyed(name + "-" + std::to_string(copy++), name);
            spec.subpath = "x?run_ms=60";
            waiting.push_back(run.begin_call(port, std::move(spec)));
        }
    }
    for (auto& one : waiting)
    {
        run.note(one.get());
    }
    run.judge(75);
}

Test(at_most_once, key_repeated_after_its_instance_died_with_the_request)
{
    cell_run run(small_cell());
    const auto ports = run.parts().entry_ports();
    auto spec = keyed("first", "orphan");
    spec.subpath = "x?run_ms=800";
    auto first = run.begin_call(ports[0], spec);
    cr_assert(wait_until(
        [&]
        {
            return run.starts_of("first") == 1;
        },
        settle_bound));
    run.parts().instances().front().program.kill();
    run.note(first.get());
    // The same request again, through both others.
    for (const auto port : {ports[1], ports[2]})
    {
        spec.request_id = "again-" + std::to_string(port);
        const auto again = call(port, spec);
        run.note(again);
        cr_assert(again.answered);
        cr_assert(again.ran == ran_header::unknown, "status %d", again.status);
    }
    run.judge(0);
    cr_assert(total_starts(run, "orphan") == 1);
}

Test(at_most_once, answer_given_again_after_its_instance_died)
{
    cell_run run(small_cell());
    const auto ports = run.parts().entry_ports();
    const auto first = call(ports[0], keyed("first", "given"));
    cr_assert(first.status == 200);
    run.note(first);
    run.parts().instances().front().program.kill();
    for (const auto port : {ports[1], ports[2]})
    {
        const auto again = repeat_to_end(run, port, "given",
                                         "again-" + std::to_string(port) + "-");
        cr_assert(again.status == 200 && again.received == first.received);
    }
    run.judge(3);
    cr_assert(total_starts(run, "given") == 1);
}

Test(at_most_once, request_that_arrives_after_its_instance_died)
{
    auto options = small_cell();
    options.proxy_workers = true;
    cell_run run(options);
    const auto ports = run.parts().entry_ports();
    for (const auto& link : run.parts().links())
    {
        link.proxy->set_faults({.freeze = true});
    }
    auto first = run.begin_call(ports[0], keyed("first", "late"));
    cr_assert(wait_until(
        [&]
        {
            return claimed_keys(run);
        },
        settle_bound));
    run.parts().instances().front().program.kill();
    run.note(first.get());
    auto second = run.begin_call(ports[1], keyed("second", "late"));
    auto third = run.begin_call(ports[2], keyed("third", "late"));
    for (const auto& link : run.parts().links())
    {
        // What the dead instance sent passes now.
        link.proxy->clear_faults();
    }
    run.note(second.get());
    run.note(third.get());
    const auto last = repeat_to_end(run, ports[1], "late", "again-");
    cr_assert(last.ran != ran_header::no);
    run.judge(0);
    cr_assert(total_starts(run, "late") <= 1);
}

Test(at_most_once, key_while_the_table_is_down)
{
    for (const auto* const mode : {"refuse", "hang"})
    {
        cell_run run(small_cell());
        const auto ports = run.parts().entry_ports();
        set_store(run, {{"outage", mode}});
        std::vector<std::future<call_record>> waiting;
        for (std::size_t i = 0; i < ports.size(); ++i)
        {
            waiting.push_back(run.begin_call(
                ports[i], keyed("down-" + std::to_string(i), "down")));
        }
        for (auto& one : waiting)
        {
            const auto told = one.get();
            run.note(told);
            cr_assert(told.status == 503 && told.ran == ran_header::no &&
                          told.has_retry_after,
                      "%s: status %d", mode, told.status);
        }
        // Without a key the table is not needed.
        call_spec plain;
        plain.request_id = "plain";
        const auto served = call(ports[0], plain);
        run.note(served);
        cr_assert(served.status == 200);
        set_store(run, {{"outage", "none"}});
        const auto last = repeat_to_end(run, ports[2], "down", "up-");
        cr_assert(last.status == 200);
        run.judge(2);
        cr_assert(total_starts(run, "down") == 1);
    }
}

Test(at_most_once, table_goes_down_in_the_middle)
{
    cell_run run(small_cell());
    const auto ports = run.parts().entry_ports();
    auto spec = keyed("first", "middle");
    spec.subpath = "x?run_ms=300";
    auto first = run.begin_call(ports[0], spec);
    cr_assert(wait_until(
        [&]
        {
            return run.starts_of("first") == 1;
        },
        settle_bound));
    set_store(run, {{"outage", "hang"}});
    const auto told = first.get();
    run.note(told);
    cr_assert(told.status == 200);
    spec.request_id = "second";
    const auto refused = call(ports[1], spec);
    run.note(refused);
    cr_assert(refused.ran == ran_header::no && refused.status == 503);
    set_store(run, {{"outage", "none"}});
    cr_assert(wait_until(
        [&]
        {
            spec.request_id += "x";
            const auto again = call(ports[1], spec);
            run.note(again);
            return again.status == 200;
        },
        settle_bound));
    run.judge(2);
    cr_assert(total_starts(run, "middle") == 1);
}

Test(at_most_once, replies_of_the_table_are_lost)
{
    auto options = small_cell();
    options.proxy_platform = true;
    cell_run run(options);
    for (const auto& link : run.parts().links())
    {
        link.proxy->add({exchange_fault::drop_reply, 12, 0, "idem/"});
        link.proxy->add({exchange_fault::close_reply_after, 6, 20, "idem/"});
    }
    auto load = run.load("lost");
    load.callers = 12;
    load.requests_per_caller = 12;
    load.with_keys = true;
    run.begin(load);
    run.join();
    // Each key again, at whatever instance.
    const auto before = run.calls();
    const auto ports = run.parts().entry_ports();
    std::size_t number = 0;
    for (const auto& record : before)
    {
        auto spec = keyed("again-" + record.request_id, record.idempotency_key);
        const auto again = call(ports[number++ % ports.size()], spec);
        // Its body is not the first one's: told apart, and never run.
        cr_assert(record.ran != ran_header::yes || again.status == 422,
                  "status %d", again.status);
        run.note(again);
    }
    cr_assert(run.triggered_count() >= 20, "the table lost no reply");
    run.judge(120);
}

Test(at_most_once, worker_replies_lost_with_keys_and_without)
{
    auto options = small_cell();
    options.proxy_workers = true;
    cell_run run(options);
    for (const auto& link : run.parts().links())
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
        settle_bound));
    run.judge(400);
}

Test(at_most_once, instance_killed_under_load_with_keys)
{
    cell_run run(small_cell());
    auto load = run.load("kill");
    load.callers = 24;
    load.requests_per_caller = 10;
    load.with_keys = true;
    load.min_run_time = milliseconds(50);
    load.max_run_time = milliseconds(300);
    run.begin(load);
    cr_assert(run.wait_running(10));
    run.parts().instances()[1].program.kill();
    run.judge(60);
}

Test(at_most_once, holder_of_a_key_paused_and_resumed)
{
    cell_run run(small_cell());
    const auto ports = run.parts().entry_ports();
    auto spec = keyed("first", "paused");
    spec.subpath = "x?run_ms=2500";
    auto first = run.begin_call(ports[0], spec);
    cr_assert(wait_until(
        [&]
        {
            return run.starts_of("first") == 1;
        },
        settle_bound));
    auto& holder = run.parts().instances().front().program;
    holder.pause();
    cr_assert(run.wait_held("i0", false), "nobody takes over");
    spec.request_id = "second";
    const auto second = call(ports[1], spec);
    run.note(second);
    cr_assert(second.answered && second.ran != ran_header::no);
    holder.resume();
    run.note(first.get());
    spec.request_id = "third";
    const auto third = call(ports[2], spec);
    run.note(third);
    cr_assert(third.status == 200);
    run.judge(2);
    cr_assert(total_starts(run, "paused") == 1);
}

Test(at_most_once, key_whose_answer_was_lost_is_told_at_once)
{
    auto options = small_cell();
    options.proxy_workers = true;
    cell_run run(options);
    // The reply that gets lost must be that of a run, not of a refusal.
    cr_assert(run.wait_settled());
    for (const auto& link : run.parts().links())
    {
        link.proxy->add({exchange_fault::drop_reply, 1, 0, "/run/"});
    }
    const auto ports = run.parts().entry_ports();
    const auto first = call(ports[0], keyed("first", "unanswered"));
    run.note(first);
    cr_assert(first.status == 502 && first.ran == ran_header::unknown,
              "status %d, %zu starts, refusals: %s", first.status,
              run.starts_of("first"), run.refusals().c_str());
    for (const auto port : ports)
    {
        auto spec = keyed("again-" + std::to_string(port), "unanswered");
        // No answer will ever come, so no wait for one is worth while.
        spec.timeout = milliseconds(5'000);
        const auto again = call(port, spec);
        run.note(again);
        cr_assert(again.answered, "the repeat is held back");
        cr_assert(again.status == 502 && again.ran == ran_header::unknown,
                  "status %d", again.status);
    }
    run.judge(0);
    cr_assert(total_starts(run, "unanswered") == 1);
}

Test(at_most_once, claim_whose_reply_was_lost_frees_the_key)
{
    auto options = small_cell();
    options.proxy_platform = true;
    cell_run run(options);
    auto busy = run.load("busy");
    busy.workload = "prompt";
    busy.callers = 45;
    busy.requests_per_caller = 1;
    busy.min_run_time = milliseconds(700);
    busy.max_run_time = milliseconds(700);
    run.begin(busy);
    const auto& claimant = run.parts().instances().front();
    cr_assert(wait_until(
        [&]
        {
            return queued(claimant, "prompt") >= 1;
        },
        settle_bound));
    const auto ahead = queued(claimant, "prompt");
    // It waits for a place; its claim comes after that.
    auto spec = keyed("first", "unsent");
    spec.workload = "prompt";
    auto& link = *claimant.to_platform;
    const auto ports = run.parts().entry_ports();
    auto first = run.begin_call(ports[0], spec);
    cr_assert(wait_until(
        [&]
        {
            return queued(claimant, "prompt") > ahead;
        },
        settle_bound));
    link.add({exchange_fault::drop_reply, 200, 0, "idem/"});
    const auto told = first.get();
    run.note(told);
    cr_assert(told.status == 503 && told.ran == ran_header::no, "status %d",
              told.status);
    cr_assert(claimed_keys(run), "the claim took no effect");
    // Its instance lives, but nothing was sent: the key is free.
    for (int i = 0; i < 3; ++i)
    {
        spec.request_id = "again-" + std::to_string(i);
        const auto again = call(ports[1], spec);
        run.note(again);
        cr_assert(again.status == 200, "status %d", again.status);
    }
    run.judge(3);
    cr_assert(total_starts(run, "unsent") == 1);
}
