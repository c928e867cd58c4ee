/// @file
/// Tests of the order between workspaces: rates, shares, and what a workspace that
/// sends too much costs the others.
#include "fakes/cell_simulation.hpp"

#include <criterion/criterion.h>

#include <algorithm> // count_if, shuffle
#include <cstdlib>   // abs
#include <map>       // map
#include <random>    // mt19937, uniform_int_distribution
#include <string>    // string, to_string
#include <utility>   // pair
#include <vector>    // vector

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::workspace;

namespace
{

auto at(int time) -> cell::calendar_time
{
    return cell::calendar_time(milliseconds(1'000'000 + time));
}

/// Jobs of a workspace of weight 2, five a second.
auto jobs_beyond_rate() -> std::vector<std::pair<job_id, cell::calendar_time>>
{
    constexpr int count = 100;
    std::vector<std::pair<job_id, cell::calendar_time>> out;
    out.reserve(count);
    for (int i = 0; i < count; ++i)
    {
        out.emplace_back("j" + std::to_string(100 + i), at(200 * i));
    }
    return out;
}

auto apply(std::map<job_id, bool>& marks, cell::policy::job_rate& rate) -> void
{
    for (const auto& mark : rate.update(2.0))
    {
        marks[mark.job] = mark.is_beyond;
    }
}

auto job_of(const std::string& owner, const std::string& id,
            std::uint32_t tasks) -> cell::job_spec
{
    auto job = fakes::simple_job(id, tasks, 1'000);
    job.workspace = workspace_name(owner);
    return job;
}

/// Four workspaces that need four fifths of 16 processors, of which
/// the first one may send a multiple of that.
struct shared_cell
{
    static constexpr milliseconds step{20};
    static constexpr milliseconds run_time{400};

    cell_simulation simulation;
    /// The others send the same jobs whatever the first workspace sends.
    std::mt19937 random;
    std::mt19937 first_random{1};
    std::map<job_id, std::pair<bool, time_point>> waiting;
    /// Jobs of the other workspaces, and those of them that ended while they were
    /// worth something, and in time.
    int sent = 0;
    int served = 0;
    int in_time = 0;
    int first_in_time = 0;

    shared_cell(unsigned seed, double weight) : random(seed)
    {
        simulation.configure(
            {workspace("a", 0, weight), workspace("b", 0, weight),
             workspace("c", 0, weight), workspace("d", 0, weight)});
        simulation.add_worker("w1", 8'000);
        simulation.add_worker("w2", 8'000);
        simulation.run_time = [this](const cell::run_ref&)
        {
            std::uniform_int_distribution<int> draw(200, 600);
            return std::optional(milliseconds(draw(first_random)));
        };
        simulation.run_for(milliseconds(200));
    }

    auto send(const std::string& owner) -> void
    {
        auto job = job_of(owner, "j" + std::to_string(++m_jobs), 4);
        job.steps.front().estimate = run_time;
        job.accepted_at = simulation.calendar();
        waiting[job.id] = {owner == "a", simulation.now};
        simulation.jobs().accept(job, simulation.now);
    }

    /// @param factor  on the load of the first workspace
    auto play(int factor) -> void
    {
        std::uniform_int_distribution<int> draw(0, 999);
        const auto until = simulation.now + std::chrono::seconds(40);
        while (simulation.now < until)
        {
            for (const auto* const owner : {"b", "c", "d"})
            {
                if (draw(random) < 40)
                {
                    send(owner);
                    ++sent;
                }
            }
            for (int i = 0; i < factor; ++i)
            {
                if (draw(first_random) < 40)
                {
                    send("a");
                }
            }
            simulation.run_for(step, step);
            std::erase_if(waiting,
                          [&](const auto& item)
                          {
                              return note(item.first, item.second);
                          });
        }
    }

    auto note(const job_id& id, const std::pair<bool, time_point>& job) -> bool
    {
        // 1.5 times the run time plus 250 ms; three times that late, a job is
        // worth nothing.
        constexpr milliseconds objective{850};
        if (simulation.jobs().state_of(id) != cell::job_state::succeeded)
        {
            return false;
        }
        const bool timely = simulation.now - job.second <= objective;
        const bool worthless = simulation.now - job.second > 3 * objective;
        served += worthless || job.first ? 0 : 1;
        in_time += timely && !job.first ? 1 : 0;
        first_in_time += timely && job.first ? 1 : 0;
        return true;
    }

    [[nodiscard]] auto share_in_time() const -> double
    {
        return static_cast<double>(in_time) / sent;
    }

    [[nodiscard]] auto share_served() const -> double
    {
        return static_cast<double>(served) / sent;
    }

  private:
    int m_jobs = 0;
};

} // namespace

// Guards against marks that depend on the order in which an owner reads the jobs:
// a later owner would serve others than the earlier one promised.
Test(cell_workspace_order, each_owner_marks_the_same_jobs)
{
    auto jobs = jobs_beyond_rate();
    std::map<job_id, bool> first;
    cell::policy::job_rate in_order;
    for (const auto& [id, accepted] : jobs)
    {
        in_order.add(id, accepted);
        apply(first, in_order);
    }
    std::size_t within = 0;
    for (const auto& [id, is_beyond] : first)
    {
        within += is_beyond ? 0 : 1;
    }
    cr_assert_eq(within, 41u, "%zu of 20 s at 2 a second", within);
    std::mt19937 random(3);
    std::shuffle(jobs.begin(), jobs.end(), random);
    std::map<job_id, bool> at_once;
    std::map<job_id, bool> one_by_one;
    cell::policy::job_rate loaded;
    cell::policy::job_rate shuffled;
    for (const auto& [id, accepted] : jobs)
    {
        loaded.add(id, accepted);
        shuffled.add(id, accepted);
        apply(one_by_one, shuffled);
    }
    apply(at_once, loaded);
    cr_assert(at_once == first);
    cr_assert(one_by_one == first);
}

// Guards against a bucket that holds no whole job: a workspace of a small weight
// would never be within its rate. Also against a bucket that forgets what it held
// once the jobs are old.
Test(cell_workspace_order, a_small_weight_admits_its_rate)
{
    cell::policy::job_rate rate;
    std::size_t within = 0;
    for (int i = 0; i < 400; ++i)
    {
        rate.add(job_id("j" + std::to_string(1'000 + i)), at(1'000 * i));
        for (const auto& mark : rate.update(0.25))
        {
            within += mark.is_beyond ? 0 : 1;
        }
    }
    cr_assert_eq(within, 100u, "%zu", within);
}

// Guards against jobs beyond the rate that come before those within it for their
// priority, and against jobs that are lost for it.
Test(cell_workspace_order, jobs_beyond_the_rate_come_last)
{
    cell_simulation simulation;
    simulation.configure({workspace("a", 0, 1)});
    simulation.add_worker("w1", 1'000);
    simulation.run_for(milliseconds(100));
    for (const auto* const id : {"j1", "j2", "j3"})
    {
        auto job = job_of("a", id, 1);
        job.accepted_at = at(id == std::string("j3") ? 1'500 : 0);
        job.queue.priority = id == std::string("j3") ? 2 : 0;
        simulation.jobs().accept(job, simulation.now);
    }
    simulation.run_time = [](const cell::run_ref&)
    {
        return std::optional(milliseconds(100));
    };
    simulation.run_for(std::chrono::seconds(2));
    cr_assert_eq(simulation.starts.size(), 3u);
    cr_assert_eq(simulation.starts[1].run.task.step.job, job_id("j3"));
}

// Guards against jobs beyond the rate that never start, since others within their
// rates always wait.
Test(cell_workspace_order, jobs_beyond_the_rate_start_beside_an_endless_stream)
{
    cell_simulation simulation;
    simulation.configure({workspace("a", 0, 1), workspace("b", 0, 1'000)});
    simulation.add_worker("w1", 1'000);
    simulation.run_for(milliseconds(100));
    simulation.run_time = [](const cell::run_ref&)
    {
        return std::optional(milliseconds(100));
    };
    int sent = 0;
    const auto send = [&](const std::string& owner)
    {
        auto job = job_of(owner, owner + std::to_string(++sent), 1);
        job.accepted_at = simulation.calendar();
        simulation.jobs().accept(job, simulation.now);
    };
    const auto started = [&]
    {
        return std::count_if(simulation.starts.begin(), simulation.starts.end(),
                             [](const cell::start_order& order)
                             {
                                 return order.run.task.step.job.str()[0] == 'a';
                             });
    };
    for (int i = 0; i < 12; ++i)
    {
        send("a");
    }
    for (int i = 0; i < 400; ++i)
    {
        send("b");
        simulation.run_for(milliseconds(100));
    }
    cr_assert_geq(started(), 3);
    // One job each 20 s from 10 s on, and the one within the rate.
    cr_assert_leq(started(), 4);
}

// Guards against a workspace that gets all room since its jobs have the earlier
// deadlines, and against room that stays idle for the sake of shares.
Test(cell_workspace_order, room_is_shared_by_weight_and_lent)
{
    cell_simulation simulation;
    simulation.configure({workspace("a", 0, 1), workspace("b", 0, 3)});
    simulation.add_worker("w1", 16'000);
    simulation.run_for(milliseconds(100));
    std::map<workspace_name, int> running;
    const auto count = [&]
    {
        running.clear();
        for (const auto& [ref, run] : simulation.workers.begin()->second.runs)
        {
            ++running[workspace_name(ref.task.step.job.str().substr(0, 1))];
        }
    };
    for (int i = 0; i < 40; ++i)
    {
        simulation.jobs().accept(job_of("a", "a" + std::to_string(i), 1),
                                 simulation.now);
    }
    simulation.run_for(milliseconds(200));
    count();
    cr_assert_eq(running[workspace_name("a")], 16, "what is idle is lent");
    for (int i = 0; i < 40; ++i)
    {
        simulation.jobs().accept(job_of("b", "b" + std::to_string(i), 1),
                                 simulation.now);
    }
    for (int i = 0; i < 200; ++i)
    {
        auto& worker = simulation.workers.begin()->second;
        auto run = worker.runs.begin();
        std::advance(run, i % 16);
        simulation.end_run("w1", run->first, cell::run_end::stopped);
        simulation.run_for(milliseconds(40));
    }
    count();
    cr_assert(std::abs(running[workspace_name("b")] - 12) <= 2, "%d",
              running[workspace_name("b")]);
}

// Guards against a workspace that takes the room of the others by sending seven
// times its load: without the order between workspaces, of the others' jobs less
// than one in twenty ends while it is worth something. What is lent to the first
// workspace isn't stopped, so that fewer of the others' jobs are in time.
Test(cell_workspace_order,
     too_many_jobs_of_one_workspace_cost_the_others_little)
{
    for (unsigned seed = 1; seed <= 4; ++seed)
    {
        constexpr double weight = 3;
        shared_cell usual(seed, weight);
        usual.play(1);
        shared_cell crowded(seed, weight);
        crowded.play(7);
        cr_log_info("served %.3f, beside seven times the load %.3f; in time "
                    "%.3f and %.3f",
                    usual.share_served(), crowded.share_served(),
                    usual.share_in_time(), crowded.share_in_time());
        cr_assert(crowded.share_served() >= usual.share_served() - 0.05,
                  "seed %u: %.3f of %.3f", seed, crowded.share_served(),
                  usual.share_served());
        cr_assert(crowded.first_in_time > 0);
    }
}
