/// @file
/// Tests of the scheduling order, reserves, gangs and checkpoints.
#include <pimentoshunt/policy/grant_scheduler.hpp>

#include <criterion/criterion.h>

#include <random> // mt19937_64
#include <string> // to_string
#include <vector> // vector

using namespace pimentoshunt;
using ledger::capacity_ledger;
using plan::work_class;
using policy::demand_line;
using policy::grant_scheduler;
using policy::placement;

namespace
{

auto at(int ms) -> time_point
{
    return time_point(std::chrono::hours(1) + milliseconds(ms));
}

auto make(const char* name, work_class cls, const char* workspace = "a")
    -> plan::workload
{
    plan::workload made;
    made.name = workload_name(name);
    made.workspace = workspace_name(workspace);
    made.cls = cls;
    made.each = {1, 1'000, 1'000, 0};
    return made;
}

auto line(const plan::workload& of, int count, int deadline = 1000,
          int since = 0) -> demand_line
{
    return {instance_id("e"), &of, count, at(deadline), at(since)};
}

/// @brief A ledger and a scheduler whose placements are reserved at once.
struct cell
{
    explicit cell(int workers, resources each = {8, 16'000, 64'000, 0})
    {
        for (int i = 0; i < workers; ++i)
        {
            add_worker("w" + std::to_string(i), each);
        }
    }

    auto add_worker(const std::string& id, resources each) -> void
    {
        worker::description made;
        made.id = worker_id(id);
        made.capacity = each;
        accounts.open(made, 1, {}, {});
    }

    auto try_reserve(const plan::workload& workload, const worker_id& id,
                     int now) -> bool
    {
        ledger::reservation item;
        item.attempt = attempt_id(std::to_string(++attempts));
        item.workload = workload.name;
        item.workspace = workload.workspace;
        item.each = workload.each;
        item.granted_at = at(now);
        return accounts.try_reserve(id, item);
    }

    /// @brief Runs one scheduling pass and reserves all placements.
    /// @return number of units placed for each line
    auto pick(const std::vector<demand_line>& lines, int now = 0)
        -> std::vector<int>
    {
        std::vector<int> given(lines.size(), 0);
        const auto on_choice = [&](const placement& choice)
        {
            ++given[choice.line];
            last = choice.worker;
            return try_reserve(*lines[choice.line].workload, choice.worker,
                               now);
        };
        scheduler.pick(accounts, lines, on_choice, at(now));
        return given;
    }

    auto observe_runs(const plan::workload& of, int ms, int runs = 20) -> void
    {
        for (int i = 0; i < runs; ++i)
        {
            scheduler.observe(of, milliseconds(ms));
        }
    }

    capacity_ledger accounts;
    grant_scheduler scheduler;
    worker_id last;
    int attempts = 0;
};

using units = std::vector<int>;

} // namespace

Test(grant_scheduler, services_first_then_priority_then_deadline)
{
    const auto batch = make("batch", work_class::batch);
    const auto late = make("late", work_class::service);
    const auto soon = make("soon", work_class::service);
    auto urgent = make("urgent", work_class::service);
    urgent.priority = 3;
    cell one(1);
    const units given = one.pick({line(batch, 9), line(late, 9, 500),
                                  line(soon, 3, 100), line(urgent, 2, 900)});
    cr_assert(given == (units{0, 3, 3, 2}));
}

Test(grant_scheduler, a_passed_deadline_and_an_empty_line_get_nothing)
{
    const auto proof = make("proof", work_class::service);
    cell one(1);
    cr_assert(one.pick({line(proof, 4, 10), line(proof, 0)}, 10) ==
              (units{0, 0}));
}

Test(grant_scheduler, a_refused_choice_ends_its_line_only)
{
    const auto proof = make("proof", work_class::service);
    cell one(1);
    int asked = 0;
    one.scheduler.pick(
        one.accounts, {line(proof, 5), line(proof, 5)},
        [&](const placement&)
        {
            ++asked;
            return false;
        },
        at(0));
    cr_assert(asked == 2);
}

Test(grant_scheduler, workspaces_within_quota_go_before_those_over_it)
{
    const auto greedy = make("greedy", work_class::service, "greedy");
    const auto modest = make("modest", work_class::service, "modest");
    plan::document document;
    document.workspaces = {{workspace_name("greedy"), {2, 0, 0, 0}},
                           {workspace_name("modest"), {4, 0, 0, 0}}};
    document.workloads = {greedy, modest};
    cell one(1);
    one.scheduler.set_plan(document);
    cr_assert(one.pick({line(greedy, 20, 100), line(modest, 4, 900)}) ==
                  (units{4, 4}),
              "all capacity is used, the quota only orders");
    cell two(1);
    two.scheduler.set_plan(document);
    two.scheduler.set_usage_elsewhere(
        {{workspace_name("modest"), {4, 0, 0, 0}}});
    cr_assert(two.pick({line(greedy, 2, 900), line(modest, 20, 100)}) ==
              (units{2, 6}));
}

Test(grant_scheduler, entries_share_by_the_age_of_what_waits)
{
    const auto proof = make("proof", work_class::service);
    cell one(1);
    // Both lines began to wait at the same time; the second has three times as
    // many units.
    const units given =
        one.pick({line(proof, 10, 500), line(proof, 30, 500)}, 300);
    cr_assert(given == (units{2, 6}));
}

Test(grant_scheduler, long_work_leaves_room_for_the_recent_peak)
{
    const auto proof = make("proof", work_class::service);
    const auto render = make("render", work_class::batch);
    plan::document document;
    document.workloads = {proof, render};
    cell one(4);
    one.scheduler.set_plan(document);
    one.observe_runs(proof, 20);
    one.observe_runs(render, 4000);
    cr_assert(one.pick({line(proof, 10)}) == units{10});
    for (int i = 1; i <= 10; ++i)
    {
        for (int k = 0; k < 4; ++k)
        {
            one.accounts.release(worker_id("w" + std::to_string(k)),
                                 attempt_id(std::to_string(i)));
        }
    }
    cr_assert(one.pick({line(render, 99, 9000)}, 10) == units{22});
    cr_assert(one.pick({line(proof, 10, 9000)}, 20) == units{10});
    // After two half-lives without short work, a quarter of the peak is
    // reserved.
    cell two = one;
    cr_assert(two.accounts.free_total().slots == 0);
    for (int i = 33; i <= 42; ++i)
    {
        for (int k = 0; k < 4; ++k)
        {
            two.accounts.release(worker_id("w" + std::to_string(k)),
                                 attempt_id(std::to_string(i)));
        }
    }
    cr_assert(two.accounts.free_total().slots == 10);
    cr_assert(two.pick({line(render, 99, 900'000)}, 120'020) == units{7});
}

Test(grant_scheduler, what_is_long_is_learned_not_declared)
{
    auto proof = make("proof", work_class::service);
    auto render = make("render", work_class::batch);
    auto thumbnail = make("thumbnail", work_class::batch);
    render.run_time = milliseconds(1);
    thumbnail.run_time = milliseconds(100'000);
    cell one(1);
    cr_assert(one.scheduler.is_long(thumbnail));
    one.observe_runs(proof, 20);
    one.observe_runs(render, 4000);
    one.observe_runs(thumbnail, 30);
    cr_assert(one.scheduler.is_long(render));
    cr_assert(!one.scheduler.is_long(thumbnail) &&
              !one.scheduler.is_long(proof));
}

Test(grant_scheduler, accelerators_are_left_to_those_that_need_them)
{
    const auto proof = make("proof", work_class::service);
    auto model = make("model", work_class::service);
    model.each.accelerators = 1;
    cell one(1);
    one.add_worker("g", {8, 16'000, 64'000, 2});
    cr_assert(one.pick({line(proof, 8, 10), line(model, 5, 900)}) ==
              (units{8, 2}));
    cr_assert(one.last == worker_id("g"));
    cell two(0);
    two.add_worker("g", {8, 16'000, 64'000, 2});
    const auto render = make("render", work_class::batch);
    cr_assert(two.pick({line(render, 20)}) == units{6});
    cr_assert(two.pick({line(model, 2)}) == units{2});
}

Test(grant_scheduler, a_gang_that_waits_keeps_room_and_holds_up_later_gangs)
{
    const auto proof = make("proof", work_class::service);
    const auto first = make("first", work_class::gang);
    const auto second = make("second", work_class::gang);
    const auto render = make("render", work_class::batch);
    auto wide = first;
    wide.each.slots = 8;
    plan::document document;
    document.workloads = {proof, first, second, render};
    cell one(2);
    one.scheduler.set_plan(document);
    cr_assert(one.pick({line(proof, 1)}) == units{1});
    cr_assert(one.pick({line(wide, 2, 100), line(second, 1, 200),
                        line(render, 99, 900)}) == (units{1, 0, 3}),
              "a quarter of 16 slots stays free for the rest of the gang");
}

Test(grant_scheduler, tells_what_is_served_before_an_arrival)
{
    const auto proof = make("proof", work_class::service);
    const auto batch = make("batch", work_class::batch);
    auto urgent = make("urgent", work_class::service);
    urgent.priority = 1;
    const cell one(1);
    // 10 proofs arrived from 0 to 100, so their deadlines are spaced evenly
    // from 500 on.
    const std::vector<demand_line> lines{line(proof, 10, 500, 0),
                                         line(batch, 7, 200, 0),
                                         line(urgent, 3, 900, 0)};
    const auto count = [&](int deadline)
    {
        std::int64_t sum = 0;
        for (const auto& ahead : one.scheduler.work_ahead_of(
                 one.accounts, lines, proof, at(deadline), at(100)))
        {
            sum += ahead.count;
        }
        return sum;
    };
    cr_assert(count(400) == 3);
    cr_assert(count(545) == 8);
    cr_assert(count(2000) == 13);
}

Test(grant_scheduler, names_batch_to_checkpoint_only_for_short_work_that_waits)
{
    const auto proof = make("proof", work_class::service);
    const auto render = make("render", work_class::batch);
    plan::document document;
    document.workloads = {proof, render};
    policy::grant_scheduler_options options;
    options.checkpoints = true;
    cell one(1);
    one.scheduler = grant_scheduler(options);
    one.scheduler.set_plan(document);
    one.observe_runs(proof, 20);
    one.observe_runs(render, 4000);
    cr_assert(one.pick({line(render, 8, 9000)}) == units{8});
    const auto count = [&](const demand_line& waiting, int now)
    {
        return one.scheduler
            .checkpoint_candidates(one.accounts, {waiting}, at(now))
            .size();
    };
    cr_assert(count(line(proof, 3, 9000, 100), 110) == 0, "not yet");
    cr_assert(count(line(proof, 3, 9000, 100), 300) == 3);
    for (int i = 1; i <= 2; ++i)
    {
        one.accounts.mark_checkpoint_requested(worker_id("w0"),
                                               attempt_id(std::to_string(i)));
    }
    cr_assert(count(line(proof, 3, 9000, 100), 300) == 1,
              "two are on their way");
    cr_assert(count(line(render, 3, 9000, 100), 300) == 0);
    one.scheduler.set_cell_share(0.25);
    cr_assert(count(line(proof, 12, 9000, 100), 300) == 1);
}

Test(grant_scheduler, never_over_capacity_and_nothing_fitting_left_idle)
{
    for (unsigned seed = 1; seed <= 10; ++seed)
    {
        std::mt19937_64 random(seed);
        const auto below = [&](unsigned limit)
        {
            return static_cast<int>(random() % limit);
        };
        std::vector<plan::workload> workloads;
        workloads.reserve(8);
        for (int i = 0; i < 8; ++i)
        {
            auto made = make(std::to_string(i).c_str(), work_class::service);
            made.each = {1 + below(3), 1000L * below(5), 1000L * below(30),
                         below(5) == 0 ? 1 : 0};
            workloads.push_back(made);
        }
        cell one(6);
        one.add_worker("g", {8, 16'000, 64'000, 3});
        for (int step = 0; step < 200; ++step)
        {
            std::vector<demand_line> lines;
            lines.reserve(workloads.size());
            for (const auto& workload : workloads)
            {
                lines.push_back(line(workload, below(6), 100 + below(900)));
            }
            const auto given = one.pick(lines);
            for (std::size_t i = 0; i < lines.size(); ++i)
            {
                cr_assert(given[i] <= lines[i].count);
                bool fits = false;
                for (const auto& [id, account] : one.accounts.accounts())
                {
                    cr_assert(!account.free.negative());
                    fits |= account.can_admit(lines[i].workload->each);
                }
                cr_assert(given[i] == lines[i].count || !fits);
            }
            for (int k = 0; k < 40 && one.attempts > 0; ++k)
            {
                const auto attempt = attempt_id(std::to_string(
                    1 + below(static_cast<unsigned>(one.attempts))));
                for (int w = 0; w < 6; ++w)
                {
                    one.accounts.release(worker_id("w" + std::to_string(w)),
                                         attempt);
                }
                one.accounts.release(worker_id("g"), attempt);
            }
        }
    }
}
