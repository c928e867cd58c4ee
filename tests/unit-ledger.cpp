/// @file
/// Tests of the capacity ledger and its index of free capacity.
#include <pimentoshunt/ledger/capacity_ledger.hpp>

#include <criterion/criterion.h>

#include <random>  // mt19937_64
#include <string>  // to_string
#include <utility> // pair
#include <vector>  // vector

using namespace pimentoshunt;
using ledger::accelerator_use;
using ledger::capacity_ledger;
using ledger::grant_mode;

namespace
{

auto machine(std::int64_t number, resources capacity = {8, 16'000, 64'000, 0})
    -> worker::description
{
    worker::description made;
    made.id = worker_id("w" + std::to_string(number));
    made.capacity = capacity;
    made.connections = 64;
    return made;
}

auto reservation(int number, resources each) -> ledger::reservation
{
    ledger::reservation made;
    made.attempt = attempt_id("a" + std::to_string(number));
    made.workload = workload_name("proofs");
    made.workspace = workspace_name("t" + std::to_string(number % 3));
    made.each = each;
    return made;
}

/// @brief Whether the totals and usages match the sums over all accounts, and
///        no account is overbooked.
auto totals_match(const capacity_ledger& accounts) -> bool
{
    resources free;
    resources capacity;
    resources held;
    for (const auto& [id, account] : accounts.accounts())
    {
        resources sum;
        for (const auto& [attempt, item] : account.reservations)
        {
            sum += item.each;
        }
        held += sum;
        if (account.free != account.worker.capacity - sum ||
            account.free.negative())
        {
            return false;
        }
        if (account.is_accepting())
        {
            free += account.free;
            capacity += account.worker.capacity;
        }
    }
    resources by_workspace;
    for (int i = 0; i < 3; ++i)
    {
        by_workspace +=
            accounts.used_by(workspace_name("t" + std::to_string(i))).total;
    }
    return free == accounts.free_total() &&
           capacity == accounts.capacity_total() && held == by_workspace;
}

/// @brief Whether best_fit finds a suitable worker if and only if some account
///        can admit @p each.
auto best_fit_is_exact(const capacity_ledger& accounts, const resources& each)
    -> bool
{
    bool any = false;
    for (const auto& [id, account] : accounts.accounts())
    {
        any |= account.can_admit(each);
    }
    const auto* const found = accounts.best_fit(each, accelerator_use::allow);
    return any ? found != nullptr && accounts.find(*found)->can_admit(each)
               : found == nullptr;
}

} // namespace

Test(ledger, best_fit_takes_the_tightest_and_avoids_accelerators)
{
    capacity_ledger accounts;
    accounts.open(machine(1, {8, 16'000, 64'000, 2}), 1, {}, {});
    accounts.open(machine(2), 1, {}, {});
    accounts.open(machine(3), 1, {}, {});
    const resources one{1, 1'000, 1'000, 0};
    cr_assert(accounts.try_reserve(worker_id("w3"), reservation(1, one)));
    cr_assert(*accounts.best_fit(one, accelerator_use::allow) ==
              worker_id("w3"));
    cr_assert(*accounts.best_fit({1, 0, 0, 1}, accelerator_use::allow) ==
              worker_id("w1"));
    accounts.close(worker_id("w2"));
    accounts.close(worker_id("w3"));
    cr_assert(accounts.best_fit({7, 0, 0, 0}, accelerator_use::allow));
    cr_assert(!accounts.best_fit({7, 0, 0, 0}, accelerator_use::protect),
              "two slots stay with the two free accelerators");
    cr_assert(accounts.best_fit({6, 0, 0, 0}, accelerator_use::protect));
}

Test(ledger, grant_mode_probe_admits_one_attempt)
{
    capacity_ledger accounts;
    accounts.open(machine(1), 1, {}, {});
    const worker_id id("w1");
    const resources one{1, 0, 0, 0};
    accounts.set_grant_mode(id, grant_mode::closed);
    cr_assert(!accounts.try_reserve(id, reservation(1, one)));
    cr_assert(accounts.free_total() == resources{});
    accounts.set_grant_mode(id, grant_mode::probe);
    cr_assert(accounts.try_reserve(id, reservation(1, one)));
    cr_assert(!accounts.try_reserve(id, reservation(2, one)));
    cr_assert(!accounts.best_fit(one, accelerator_use::allow));
    cr_assert(accounts.release(id, attempt_id("a1")));
    cr_assert(!accounts.best_fit(one, accelerator_use::allow));
    accounts.set_grant_mode(id, grant_mode::open);
    cr_assert(totals_match(accounts) && accounts.free_total().slots == 8);
}

Test(ledger, opening_again_replaces_the_account)
{
    capacity_ledger accounts;
    accounts.open(machine(1), 1, {}, {});
    cr_assert(
        accounts.try_reserve(worker_id("w1"), reservation(1, {2, 0, 0, 0})));
    accounts.open(machine(1), 2, {}, {});
    cr_assert(accounts.free_total().slots == 8);
    cr_assert(accounts.used_by(workspace_name("t1")).reservations == 0);
    cr_assert(accounts.used_by_workload().empty());
}

Test(ledger, a_report_above_capacity_takes_nothing_from_other_workers)
{
    capacity_ledger accounts;
    worker::running_attempt wide;
    wide.attempt = attempt_id("wide");
    wide.each = {9, 0, 0, 0};
    accounts.open(machine(1), 1, {wide}, {});
    accounts.open(machine(2), 1, {}, {});
    cr_assert(accounts.find(worker_id("w1"))->free.negative());
    cr_assert(accounts.free_total().slots == 8);
    cr_assert(*accounts.best_fit({1, 0, 0, 0}, accelerator_use::allow) ==
              worker_id("w2"));
    cr_assert(accounts.release(worker_id("w1"), wide.attempt));
    cr_assert(accounts.free_total().slots == 16);
}

Test(ledger, totals_index_and_limits_hold_in_random_runs)
{
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        std::mt19937_64 random(seed);
        const auto below = [&](std::int64_t limit)
        {
            return static_cast<std::int64_t>(random() %
                                             static_cast<std::uint64_t>(limit));
        };
        capacity_ledger accounts;
        std::vector<std::pair<worker_id, attempt_id>> held;
        for (int step = 0; step < 2000; ++step)
        {
            const auto subject =
                machine(below(12), {8, 16'000, 64'000, below(2) * 2});
            const resources each{1 + below(3), below(6) * 1'000,
                                 below(20) * 1'000, below(8) == 0 ? 1 : 0};
            switch (below(12))
            {
            case 0:
                accounts.open(subject, 1, {}, {});
                break;
            case 1:
                accounts.set_leaving(subject.id, below(2) == 0);
                break;
            case 2:
                accounts.set_grant_mode(subject.id,
                                        static_cast<grant_mode>(below(3)));
                break;
            case 3:
                if (below(4) == 0)
                {
                    accounts.close(subject.id);
                }
                break;
            case 4:
            case 5:
            case 6:
            case 7:
                if (!held.empty())
                {
                    const auto& [id, attempt] = held[static_cast<std::size_t>(
                        below(static_cast<std::int64_t>(held.size())))];
                    accounts.release(id, attempt);
                }
                break;
            default:
                if (const auto* const found =
                        accounts.best_fit(each, accelerator_use::allow))
                {
                    const worker_id id = *found;
                    const auto item = reservation(step, each);
                    cr_assert(accounts.try_reserve(id, item));
                    held.emplace_back(id, item.attempt);
                }
            }
            cr_assert(totals_match(accounts), "seed %u step %d", seed, step);
            cr_assert(best_fit_is_exact(accounts, each), "seed %u step %d",
                      seed, step);
        }
    }
}
