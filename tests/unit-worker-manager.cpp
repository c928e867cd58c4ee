/// @file
/// Tests of claims, inspections and revocations of workers.
#include <pimentoshunt/ownership/worker_manager.hpp>

#include <criterion/criterion.h>

using namespace pimentoshunt;
using ownership::attempt_outcome;
using ownership::fence_answer;

namespace
{

const instance_id own_id("i1");
const worker_id w1("w1");
constexpr std::uint64_t own_incarnation = 7;
constexpr worker::epoch_number first_epoch = 1;

/// A worker manager with one listed worker; the test makes all calls and sets
/// the time.
struct manager_case
{
    membership::member_table members{membership::liveness_limits{}};
    ownership::membership_view view{&members, {own_id}, true};
    ownership::worker_manager manager{
        ownership::holder{own_id, own_incarnation},
        ownership::worker_manager_limits{}};
    ownership::worker_manager_calls calls;
    time_point now{std::chrono::seconds(100)};

    manager_case()
    {
        worker::description item;
        item.id = w1;
        item.base_url = "http://127.0.0.1:1";
        item.capacity = {2, 1'000, 1'000, 0};
        manager.update_list({item});
        manager.assign(view);
    }

    auto tick() -> void
    {
        manager.tick(view, now, calls);
    }

    auto claim(const worker::state_report& report = {}) -> void
    {
        tick();
        manager.fenced(w1, calls.fences.back().epoch, fence_answer::accepted,
                       report, now);
    }

    auto inspect(const worker::state_report& report) -> void
    {
        now += milliseconds(1'001);
        tick();
        manager.inspected(w1, calls.inspections.back().number, report, now,
                          calls);
    }

    auto try_reserve(const std::string& name) -> bool
    {
        ledger::reservation item;
        item.attempt = attempt_id(name);
        item.each = {1, 100, 100, 0};
        item.granted_at = now;
        return manager.ledger().try_reserve(w1, item);
    }

    [[nodiscard]] auto free_slots() const -> std::int64_t
    {
        return manager.ledger().find(w1)->free.slots;
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

Test(worker_manager, accounts_for_what_runs_at_takeover)
{
    manager_case c;
    c.claim(report(first_epoch, {running("a"), running("b")}));
    cr_assert(c.free_slots() == 0);
    cr_assert(!c.try_reserve("c"));
}

Test(worker_manager, learns_the_epoch_from_a_refusal_and_claims_above_it)
{
    manager_case c;
    c.tick();
    worker::state_report held;
    held.epoch = 9;
    held.holder = "i2#1";
    c.manager.fenced(w1, first_epoch, fence_answer::refused, held, c.now);
    c.tick();
    cr_assert(c.calls.fences.size() == 2);
    cr_assert(c.calls.fences.back().epoch == 10);
}

Test(worker_manager, repeats_the_same_epoch_when_the_reply_was_lost)
{
    manager_case c;
    c.tick();
    c.manager.fenced(w1, first_epoch, fence_answer::unknown, {}, c.now);
    c.now += std::chrono::seconds(1);
    c.tick();
    cr_assert(c.calls.fences.back().epoch == first_epoch);
}

Test(worker_manager, claims_nothing_while_cut_off_from_most_instances)
{
    manager_case c;
    c.view.has_quorum = false;
    c.tick();
    cr_assert(c.calls.fences.empty());
}

Test(worker_manager, grants_nothing_once_a_higher_epoch_is_seen)
{
    manager_case c;
    c.claim();
    auto taken_over = report(first_epoch + 1, {});
    taken_over.holder = "i2#1";
    c.inspect(taken_over);
    cr_assert(c.manager.ledger().find(w1) == nullptr);
}

Test(worker_manager, grants_nothing_after_a_fenced_start_until_inspected)
{
    manager_case c;
    c.claim();
    cr_assert(c.try_reserve("a"));
    c.manager.released(w1, attempt_id("a"), attempt_outcome::fenced, c.calls);
    cr_assert(!c.try_reserve("b"));
    c.inspect(report(first_epoch, {}));
    cr_assert(c.try_reserve("b"));
}

Test(worker_manager, keeps_the_slot_of_an_attempt_of_unknown_outcome)
{
    manager_case c;
    c.claim();
    c.try_reserve("a");
    c.manager.released(w1, attempt_id("a"), attempt_outcome::unknown, c.calls);
    cr_assert(c.free_slots() == 1);
    cr_assert(c.calls.revocations.size() == 1);
    c.manager.revoked(w1, attempt_id("a"), worker::attempt_state::running);
    cr_assert(c.free_slots() == 1);
    c.manager.revoked(w1, attempt_id("a"), worker::attempt_state::finished);
    cr_assert(c.free_slots() == 2);
}

Test(worker_manager, revokes_a_grant_that_never_started_before_reusing_it)
{
    manager_case c;
    c.claim();
    c.try_reserve("a");
    c.now += std::chrono::seconds(5);
    c.inspect(report(first_epoch, {}));
    cr_assert(c.free_slots() == 1);
    cr_assert(c.calls.revocations.back().attempt == attempt_id("a"));
    c.manager.revoked(w1, attempt_id("a"), worker::attempt_state::revoked);
    cr_assert(c.free_slots() == 2);
}

Test(worker_manager, frees_an_attempt_that_ran_and_is_gone)
{
    manager_case c;
    c.claim();
    c.try_reserve("a");
    c.inspect(report(first_epoch, {running("a")}));
    c.inspect(report(first_epoch, {}));
    cr_assert(c.free_slots() == 2);
}

Test(worker_manager, an_old_report_frees_nothing)
{
    manager_case c;
    c.claim();
    c.now += milliseconds(1'001);
    c.tick();
    const auto old_number = c.calls.inspections.back().number;
    c.manager.inspected(w1, old_number, std::nullopt, c.now, c.calls);
    c.try_reserve("a");
    c.inspect(report(first_epoch, {running("a")}));
    c.manager.inspected(w1, old_number, report(first_epoch, {}), c.now,
                        c.calls);
    cr_assert(c.free_slots() == 1);
}

Test(worker_manager, a_report_that_a_release_overtook_adds_nothing)
{
    manager_case c;
    c.claim();
    c.try_reserve("a");
    c.now += milliseconds(1'001);
    c.tick();
    c.manager.released(w1, attempt_id("a"), attempt_outcome::finished, c.calls);
    c.manager.inspected(w1, c.calls.inspections.back().number,
                        report(first_epoch, {running("a")}), c.now, c.calls);
    cr_assert(c.free_slots() == 2);
}

Test(worker_manager, a_restarted_worker_is_claimed_anew)
{
    manager_case c;
    c.claim();
    c.inspect(report(0, {}));
    cr_assert(c.manager.ledger().find(w1) == nullptr);
    c.tick();
    cr_assert(c.calls.fences.back().epoch == first_epoch + 1);
}

Test(worker_manager, a_leaving_worker_gets_no_grants_whoever_says_so)
{
    manager_case by_itself;
    by_itself.claim();
    auto leaving = report(first_epoch, {});
    leaving.leaving = true;
    by_itself.inspect(leaving);
    cr_assert(!by_itself.try_reserve("a"));

    manager_case by_list;
    by_list.claim();
    auto item = by_list.manager.workers().front();
    item.leaving = true;
    by_list.manager.update_list({item});
    cr_assert(!by_list.try_reserve("a"));
}

Test(worker_manager, an_unresponsive_worker_gets_no_grants_until_it_answers)
{
    manager_case c;
    c.claim();
    for (int i = 0; i < 3; ++i)
    {
        c.now += milliseconds(1'001);
        c.tick();
        c.manager.inspected(w1, c.calls.inspections.back().number, std::nullopt,
                            c.now, c.calls);
    }
    cr_assert(!c.try_reserve("a"));
    c.inspect(report(first_epoch, {}));
    cr_assert(c.try_reserve("a"));
}
