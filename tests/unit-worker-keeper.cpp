#include <pimentoshunt/ownership/worker_keeper.hpp>

#include <criterion/criterion.h>

using namespace pimentoshunt;
using ownership::attempt_outcome;
using ownership::fence_answer;

namespace
{

const instance_id own_id("i1");
const worker_id w1("w1");
constexpr std::uint64_t own_life = 7;
constexpr worker::epoch_number first_epoch = 1;

/// A keeper with one listed worker, driven by hand.
struct keeper_case
{
    membership::member_table members{membership::liveness_limits{}};
    ownership::claim_view view{&members, {own_id}, true};
    ownership::worker_keeper keeper{ownership::holder{own_id, own_life},
                                    ownership::keeper_limits{}};
    ownership::keeper_calls calls;
    time_point now{std::chrono::seconds(100)};

    keeper_case()
    {
        worker::description item;
        item.id = w1;
        item.base_url = "http://127.0.0.1:1";
        item.capacity = {2, 1'000, 1'000, 0};
        keeper.listed({item});
        keeper.assign(view);
    }

    auto tick() -> void
    {
        keeper.tick(view, now, calls);
    }

    auto claim(const worker::state_report& report = {}) -> void
    {
        tick();
        keeper.fenced(w1, calls.fences.back().epoch, fence_answer::accepted,
                      report, now);
    }

    auto inspect(const worker::state_report& report) -> void
    {
        now += milliseconds(1'001);
        tick();
        keeper.inspected(w1, calls.inspections.back().number, report, now,
                         calls);
    }

    auto take(const std::string& name) -> bool
    {
        ledger::holding item;
        item.attempt = attempt_id(name);
        item.each = {1, 100, 100, 0};
        item.granted_at = now;
        return keeper.ledger().take(w1, item);
    }

    [[nodiscard]] auto free_slots() const -> std::int64_t
    {
        return keeper.ledger().find(w1)->free.slots;
    }
};

auto running(const std::string& name) -> worker::running_attempt
{
    return {attempt_id(name), workload_name("w"), {1, 100, 100, 0}, job_id()};
}

auto report(worker::epoch_number epoch,
            std::vector<worker::running_attempt> attempts)
    -> worker::state_report
{
    return {epoch, "i1#7", false, std::move(attempts)};
}

} // namespace

Test(worker_keeper, accounts_for_what_runs_at_takeover)
{
    keeper_case c;
    c.claim(report(first_epoch, {running("a"), running("b")}));
    cr_assert(c.free_slots() == 0);
    cr_assert(!c.take("c"));
}

Test(worker_keeper, learns_the_epoch_from_a_refusal_and_claims_above_it)
{
    keeper_case c;
    c.tick();
    worker::state_report held;
    held.epoch = 9;
    held.holder = "i2#1";
    c.keeper.fenced(w1, first_epoch, fence_answer::refused, held, c.now);
    c.tick();
    cr_assert(c.calls.fences.size() == 2);
    cr_assert(c.calls.fences.back().epoch == 10);
}

Test(worker_keeper, repeats_the_same_epoch_when_the_reply_was_lost)
{
    keeper_case c;
    c.tick();
    c.keeper.fenced(w1, first_epoch, fence_answer::unknown, {}, c.now);
    c.now += std::chrono::seconds(1);
    c.tick();
    cr_assert(c.calls.fences.back().epoch == first_epoch);
}

Test(worker_keeper, claims_nothing_while_cut_off_from_most_instances)
{
    keeper_case c;
    c.view.quorate = false;
    c.tick();
    cr_assert(c.calls.fences.empty());
}

Test(worker_keeper, grants_nothing_once_a_higher_epoch_is_seen)
{
    keeper_case c;
    c.claim();
    auto taken_over = report(first_epoch + 1, {});
    taken_over.holder = "i2#1";
    c.inspect(taken_over);
    cr_assert(c.keeper.ledger().find(w1) == nullptr);
}

Test(worker_keeper, grants_nothing_after_a_fenced_start_until_inspected)
{
    keeper_case c;
    c.claim();
    cr_assert(c.take("a"));
    c.keeper.released(w1, attempt_id("a"), attempt_outcome::fenced, c.calls);
    cr_assert(!c.take("b"));
    c.inspect(report(first_epoch, {}));
    cr_assert(c.take("b"));
}

Test(worker_keeper, keeps_the_slot_of_an_attempt_of_unknown_outcome)
{
    keeper_case c;
    c.claim();
    c.take("a");
    c.keeper.released(w1, attempt_id("a"), attempt_outcome::unknown, c.calls);
    cr_assert(c.free_slots() == 1);
    cr_assert(c.calls.revocations.size() == 1);
    c.keeper.revoked(w1, attempt_id("a"), worker::attempt_state::running);
    cr_assert(c.free_slots() == 1);
    c.keeper.revoked(w1, attempt_id("a"), worker::attempt_state::finished);
    cr_assert(c.free_slots() == 2);
}

Test(worker_keeper, revokes_a_grant_that_never_started_before_reusing_it)
{
    keeper_case c;
    c.claim();
    c.take("a");
    c.now += std::chrono::seconds(5);
    c.inspect(report(first_epoch, {}));
    cr_assert(c.free_slots() == 1);
    cr_assert(c.calls.revocations.back().attempt == attempt_id("a"));
    c.keeper.revoked(w1, attempt_id("a"), worker::attempt_state::revoked);
    cr_assert(c.free_slots() == 2);
}

Test(worker_keeper, frees_an_attempt_that_ran_and_is_gone)
{
    keeper_case c;
    c.claim();
    c.take("a");
    c.inspect(report(first_epoch, {running("a")}));
    c.inspect(report(first_epoch, {}));
    cr_assert(c.free_slots() == 2);
}

Test(worker_keeper, an_old_report_frees_nothing)
{
    keeper_case c;
    c.claim();
    c.now += milliseconds(1'001);
    c.tick();
    const auto old_number = c.calls.inspections.back().number;
    c.keeper.inspected(w1, old_number, std::nullopt, c.now, c.calls);
    c.take("a");
    c.inspect(report(first_epoch, {running("a")}));
    c.keeper.inspected(w1, old_number, report(first_epoch, {}), c.now, c.calls);
    cr_assert(c.free_slots() == 1);
}

Test(worker_keeper, a_report_that_a_release_overtook_adds_nothing)
{
    keeper_case c;
    c.claim();
    c.take("a");
    c.now += milliseconds(1'001);
    c.tick();
    c.keeper.released(w1, attempt_id("a"), attempt_outcome::finished, c.calls);
    c.keeper.inspected(w1, c.calls.inspections.back().number,
                       report(first_epoch, {running("a")}), c.now, c.calls);
    cr_assert(c.free_slots() == 2);
}

Test(worker_keeper, a_restarted_worker_is_claimed_anew)
{
    keeper_case c;
    c.claim();
    c.inspect(report(0, {}));
    cr_assert(c.keeper.ledger().find(w1) == nullptr);
    c.tick();
    cr_assert(c.calls.fences.back().epoch == first_epoch + 1);
}

Test(worker_keeper, a_leaving_worker_gets_no_grants_whoever_says_so)
{
    keeper_case by_itself;
    by_itself.claim();
    auto leaving = report(first_epoch, {});
    leaving.leaving = true;
    by_itself.inspect(leaving);
    cr_assert(!by_itself.take("a"));

    keeper_case by_list;
    by_list.claim();
    auto item = by_list.keeper.workers().front();
    item.leaving = true;
    by_list.keeper.listed({item});
    cr_assert(!by_list.take("a"));
}

Test(worker_keeper, a_silent_worker_gets_no_grants_until_it_answers)
{
    keeper_case c;
    c.claim();
    for (int i = 0; i < 3; ++i)
    {
        c.now += milliseconds(1'001);
        c.tick();
        c.keeper.inspected(w1, c.calls.inspections.back().number, std::nullopt,
                           c.now, c.calls);
    }
    cr_assert(!c.take("a"));
    c.inspect(report(first_epoch, {}));
    cr_assert(c.take("a"));
}
