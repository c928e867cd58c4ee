/// @file
/// idempotency_log against a fake platform and fake workers: claims, retries,
/// takeover from dead holders, an unavailable table and lost replies.
#include <pimentoshunt/entry/idempotency_log.hpp>

#include "fakes/fake_platform.hpp"
#include "fakes/fake_worker.hpp"

#include <criterion/criterion.h>

#include <atomic> // atomic
#include <random> // mt19937
#include <string> // string
#include <thread> // thread
#include <vector> // vector

using pimentoshunt::attempt_id;
using pimentoshunt::boot_clock;
using pimentoshunt::error;
using pimentoshunt::handle;
using pimentoshunt::result;
using pimentoshunt::workspace_name;
using pimentoshunt::tests::fake_platform;
using pimentoshunt::tests::fake_worker;
using namespace pimentoshunt::entry;
using namespace std::chrono_literals;

namespace
{

using fake_log = idempotency_log<fake_platform>;

const idempotency_key wash_key{workspace_name("wash"), "lot 7/ä"};
const std::string worker_url = "http://127.0.0.1:1/w/1";

auto claim_of(const std::string& attempt, const std::string& print = "f")
    -> idempotency_claim
{
    return {wash_key, print, attempt_id(attempt), worker_url};
}

auto quick_limits() -> idempotency_limits
{
    idempotency_limits limits;
    limits.initial_poll = 1ms;
    limits.max_poll = 2ms;
    limits.holder_grace = 5ms;
    return limits;
}

/// Claims the key and returns the decision. A failure is returned as an unknown
/// outcome with the error's id in `earlier`.
auto begin(fake_log& at, const idempotency_claim& claim, fake_worker& workers,
           bool dead = false) -> idempotency_decision
{
    return handle(
        [&]
        {
            return at.begin(
                claim, boot_clock::now() + 30ms,
                [dead](const std::string&)
                {
                    return dead;
                },
                workers);
        },
        [](const error& e)
        {
            idempotency_decision out;
            out.earlier = attempt_id("error " + std::to_string(e.id));
            return out;
        });
}

auto record(fake_log& at, const idempotency_permit& permit,
            const std::string& body) -> bool
{
    return handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(at.record_response(
                permit, {201, {{"Lot", "7"}}, body}, boot_clock::now() + 1s));
            return true;
        },
        [](const error&)
        {
            return false;
        });
}

} // namespace

Test(idempotency, response_is_replayed_by_any_instance)
{
    fake_platform table;
    fake_worker workers;
    fake_log first(table, "i1#1");
    fake_log second(table, "i2#1");
    const auto mine = begin(first, claim_of("a1"), workers);
    cr_assert(mine.verdict == idempotency_verdict::run);
    const std::string body{'a', '\xff', '\0', '\x80', '"', '\n'};
    cr_assert(record(first, *mine.permit, body));
    const auto again = begin(second, claim_of("a2"), workers);
    cr_assert(again.verdict == idempotency_verdict::replay);
    cr_assert(again.response->status == 201);
    cr_assert(again.response->body == body);
    cr_assert(again.response->headers.at(0).value == "7");
    cr_assert(begin(second, claim_of("a3", "other"), workers).verdict ==
              idempotency_verdict::mismatch);
}

Test(idempotency, long_response_body_is_kept_in_the_object_store)
{
    fake_platform table;
    fake_worker workers;
    fake_log log(table, "i1#1");
    const std::string body(max_inline_body_bytes + 1, 'p');
    const auto mine = begin(log, claim_of("a1"), workers);
    cr_assert(record(log, *mine.permit, body));
    cr_assert(begin(log, claim_of("a2"), workers).response->body == body);
    cr_assert(table.read(wash_key.row_key()).value()->value.size() < 1'000);
}

Test(idempotency, dead_holder_that_never_sent_is_taken_over_by_one)
{
    fake_platform table;
    fake_worker workers;
    fake_log dead(table, "i1#1");
    const auto lost = begin(dead, claim_of("a1"), workers);
    std::atomic<int> runs{0};
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        callers.emplace_back(
            [&, i]
            {
                const auto name = "i" + std::to_string(i + 2);
                fake_log mine(table, name + "#1", quick_limits());
                const auto got = handle(
                    [&]
                    {
                        return mine.begin(
                            claim_of(name), boot_clock::now() + 30ms,
                            [](const std::string& holder)
                            {
                                return holder == "i1#1";
                            },
                            workers);
                    },
                    [](const error&)
                    {
                        return idempotency_decision{};
                    });
                runs += got.verdict == idempotency_verdict::run ? 1 : 0;
            });
    }
    for (auto& each : callers)
    {
        each.join();
    }
    // A live holder's attempt may have been revoked by the next one, but each
    // of them had one attempt only.
    cr_assert(runs >= 1);
    // The first holder, paused until now, is refused by both the worker and the
    // table.
    cr_assert(workers.revoke(worker_url, attempt_id("a1")).value().state ==
              pimentoshunt::worker::attempt_state::revoked);
    cr_assert(!record(dead, *lost.permit, "late"));
}

Test(idempotency, request_that_may_have_run_is_unknown_and_never_runs_again)
{
    fake_platform table;
    fake_worker workers;
    fake_log dead(table, "i1#1");
    fake_log alive(table, "i2#1", quick_limits());
    const auto lost = begin(dead, claim_of("a1"), workers);
    workers.finish(worker_url, attempt_id("a1"), 0);
    cr_assert(begin(alive, claim_of("a2"), workers, true).verdict ==
              idempotency_verdict::unknown);
    // A live holder may still record the response.
    cr_assert(begin(alive, claim_of("a2"), workers, false).verdict ==
              idempotency_verdict::in_progress);
    workers.set_unreachable(worker_url, true);
    cr_assert(begin(alive, claim_of("a3"), workers, true).verdict ==
              idempotency_verdict::unknown);
    cr_assert(lost.verdict == idempotency_verdict::run);
}

Test(idempotency, lost_outcome_is_reported_without_a_wait)
{
    fake_platform table;
    fake_worker workers;
    fake_log log(table, "i1#1", quick_limits());
    const auto mine = begin(log, claim_of("a1"), workers);
    cr_assert(!!log.record_lost(*mine.permit, boot_clock::now() + 1s));
    cr_assert(begin(log, claim_of("a2"), workers, false).verdict ==
              idempotency_verdict::unknown);
}

Test(idempotency, not_run_is_taken_over_and_rebinding_keeps_the_claim)
{
    fake_platform table;
    fake_worker workers;
    fake_log log(table, "i1#1", quick_limits());
    const auto mine = begin(log, claim_of("a1"), workers);
    const auto until = boot_clock::now() + 1s;
    const auto moved =
        log.rebind(*mine.permit, attempt_id("a2"), worker_url, until);
    cr_assert(moved.value().version == 2);
    cr_assert(!log.record_not_run(*mine.permit, until));
    cr_assert(!!log.record_not_run(moved.value(), until));
    cr_assert(begin(log, claim_of("a3"), workers).verdict ==
              idempotency_verdict::run);
}

Test(idempotency, while_the_table_is_down_nothing_runs_and_responses_are_kept)
{
    fake_platform table;
    fake_worker workers;
    fake_log log(table, "i1#1", quick_limits());
    const auto mine = begin(log, claim_of("a1"), workers);
    table.set_down(true);
    cr_assert(!record(log, *mine.permit, "x"));
    cr_assert(begin(log, claim_of("a2"), workers).earlier ==
              attempt_id("error 304"));
    cr_assert(log.flush(boot_clock::now() + 1s) == 1);
    table.set_down(false);
    cr_assert(log.flush(boot_clock::now() + 1s) == 0);
    cr_assert(begin(log, claim_of("a2"), workers).response->body == "x");
}

Test(idempotency, lost_replies_never_lead_to_two_runs)
{
    for (unsigned seed = 1; seed <= 40; ++seed)
    {
        std::mt19937 random(seed);
        fake_platform table;
        fake_worker workers;
        int runs = 0;
        for (int attempt = 0; attempt < 12; ++attempt)
        {
            const auto name = std::to_string(attempt);
            fake_log log(table, "i" + name + "#1", quick_limits());
            table.lose_replies(random() % 3 == 0 ? 1 : 0);
            table.lose_requests(random() % 3 == 0 ? 1 : 0);
            const auto got =
                begin(log, claim_of("a" + name), workers, random() % 2 == 0);
            if (got.verdict != idempotency_verdict::run || random() % 2 == 0)
            {
                // The attempt must not be sent, or the instance died before
                // sending it.
                continue;
            }
            ++runs;
            workers.finish(worker_url, attempt_id("a" + name), 0);
        }
        cr_assert(runs <= 1, "seed %u: %d runs", seed, runs);
    }
}

Test(idempotency, sweep_removes_old_rows_in_bounded_steps)
{
    fake_platform table;
    fake_worker workers;
    fake_log log(table, "i1#1");
    for (int i = 0; i < 5; ++i)
    {
        auto claim = claim_of("a" + std::to_string(i));
        claim.key.text = std::to_string(i);
        cr_assert(begin(log, claim, workers).permit.has_value());
    }
    const auto now = std::chrono::system_clock::now();
    cr_assert(log.sweep(now, 10).value().removed == 0);
    cr_assert(log.sweep(now + 25h, 3).value().removed == 3);
    const auto last = log.sweep(now + 25h, 3).value();
    cr_assert(last.removed == 2);
    cr_assert(last.complete);
}

Test(idempotency, keys_of_many_threads_share_commits)
{
    fake_platform table;
    pimentoshunt::platform::group_committer writes(table, "i1#1");
    std::atomic<int> committed{0};
    std::vector<std::thread> threads;
    threads.reserve(16);
    for (int i = 0; i < 16; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                for (int j = 0; j < 50; ++j)
                {
                    // Two threads compete for every second key.
                    const auto key =
                        j % 2 == 0
                            ? std::to_string(i) + "/" + std::to_string(j)
                            : std::to_string(i / 2) + "|" + std::to_string(j);
                    const auto done = writes.commit(
                        {key, pimentoshunt::platform::expect_absent, "v"},
                        boot_clock::now() + 10s);
                    committed += done && done.value().committed ? 1 : 0;
                }
            });
    }
    for (auto& each : threads)
    {
        each.join();
    }
    cr_assert(committed == 16 * 25 + 8 * 25);
}
