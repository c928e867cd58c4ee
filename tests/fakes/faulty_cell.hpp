/// @file
/// A cell with seeded jobs and faults for tests of the scheduler: afterwards no
/// ready step may wait beside free workers that may run it, all jobs must
/// finish, and each worker must be used. Safety is checked all the time.
#pragma once

#include "fakes/cell_simulation.hpp"

#include <cstdint>    // uint32_t, uint64_t
#include <functional> // function
#include <iterator>   // advance
#include <map>        // map
#include <optional>   // optional
#include <random>     // mt19937_64, uniform_int_distribution
#include <set>        // set
#include <string>     // string, to_string
#include <utility>    // exchange, move, pair
#include <vector>     // vector

namespace pimentoshunt::fakes
{

namespace detail
{

inline constexpr milliseconds pass_interval{20};
inline constexpr milliseconds task_estimate{800};
inline constexpr milliseconds fault_time{20'000};
/// From this long after the last fault on, no step may wait beside free room.
inline constexpr milliseconds recovery_time{10'000};
inline constexpr milliseconds longest_wait_beside_room{3'000};
/// All jobs must have finished this long after the last fault.
inline constexpr milliseconds time_to_finish{60'000};
/// A worker that gets no sign of its gang's other members ends its member.
inline constexpr milliseconds gang_timeout{2'000};
/// A job that needs a whole worker must finish within this time.
inline constexpr milliseconds time_for_whole_worker{15'000};
inline constexpr std::uint32_t everything = 100;

/// A number from 0 to 99 that depends on the text and the seed only.
inline auto percent_of(const std::string& text, std::uint64_t seed)
    -> std::uint32_t
{
    // FNV-1a, so that a seed means the same with every standard library.
    std::uint64_t hash = 14'695'981'039'346'656'037ULL ^ seed;
    for (const char letter : text)
    {
        hash =
            (hash ^ static_cast<unsigned char>(letter)) * 1'099'511'628'211ULL;
    }
    hash ^= hash >> 32U;
    return static_cast<std::uint32_t>(hash % everything);
}

} // namespace detail

/// A cell with seeded jobs and faults, and the checks after each pass.
class faulty_cell
{
  public:
    /// @param crashes  whether workers crash, by themselves and under some
    ///                 tasks, and change their capacity
    /// @param brief_owners  whether owners follow one another all the time, most
    ///                      of them too short to wait for a lease
    /// @param limits  whether most jobs belong to workspaces with limits, which
    ///                are checked after each pass
    explicit faulty_cell(std::uint64_t seed, bool crashes = false,
                         bool brief_owners = false, bool limits = false)
        : m_seed(seed), m_random(seed),
          m_simulation(1, options_for(brief_owners && seed % 3 != 0)),
          m_brief_owners(brief_owners), m_crashes(crashes)
    {
        if (limits)
        {
            m_workspaces = {workspace("a", 300'000), workspace("b", 400'000)};
            m_workspaces.back().limit.memory_mb = 3'000;
            m_simulation.configure(m_workspaces);
        }
        m_simulation.keeps_id = seed % 2 == 0;
        m_simulation.crashes_worker = [this](const cell::run_ref& run)
        {
            return m_faults && is_deadly(run.task);
        };
        m_simulation.ticket_lifetime = milliseconds(2'000);
        m_simulation.approves =
            [this](const cell::step_ref& step, const worker_id& worker)
        {
            return is_approved(step, worker);
        };
        m_simulation.run_time =
            [this](const cell::run_ref& run) -> std::optional<milliseconds>
        {
            return time_of(run);
        };
        const auto count = between(30, 60);
        for (std::uint32_t i = 0; i < count; ++i)
        {
            add_worker();
        }
        m_simulation.run_for(milliseconds(500));
    }

    /// @return what was violated; empty: nothing
    auto run() -> std::string
    {
        const auto faults_end = m_simulation.now + detail::fault_time;
        while (m_simulation.now < faults_end && m_violation.empty())
        {
            maybe_accept();
            maybe_cancel();
            maybe_fault();
            maybe_change_owner();
            pass();
        }
        heal();
        const auto healed_at = m_simulation.now;
        while (m_violation.empty() && !all_finished())
        {
            pass();
            const auto passed = m_simulation.now - healed_at;
            check_waits(passed >= detail::recovery_time);
            if (passed > detail::time_to_finish)
            {
                m_violation = "not finished: " + unfinished();
            }
        }
        m_took = std::chrono::duration_cast<milliseconds>(m_simulation.now -
                                                          healed_at);
        if (m_violation.empty())
        {
            use_each_worker();
        }
        return m_violation;
    }

    [[nodiscard]] auto took() const -> milliseconds
    {
        return m_took;
    }

  private:
    /// A change that ends a fault, when it is due.
    struct planned
    {
        time_point at;
        std::function<void()> action;
    };

    auto between(std::uint32_t least, std::uint32_t most) -> std::uint32_t
    {
        return least +
               static_cast<std::uint32_t>(m_random() % (most - least + 1));
    }

    auto chance(std::uint32_t permille) -> bool
    {
        return m_random() % 1'000 < permille;
    }

    auto add_worker() -> void
    {
        constexpr std::int64_t smallest = 32'000;
        const auto name = "w" + std::to_string(100 + m_workers++);
        // The rack is a label, by which a job can ask for this worker.
        m_simulation.add_worker(name, smallest << between(0, 2),
                                "rack-" + name);
    }

    [[nodiscard]] auto spec_of(const job_id& id) const -> const cell::job_spec&
    {
        return m_jobs[m_job_indexes.at(id)];
    }

    [[nodiscard]] auto is_approved(const cell::step_ref& step,
                                   const worker_id& worker) const -> bool
    {
        constexpr std::uint32_t approved_percent = 35;
        return detail::percent_of(step.job.str() + "/" +
                                      std::to_string(step.step) + "/" +
                                      worker.str(),
                                  m_seed) < approved_percent;
    }

    /// Members of a gang take equally long.
    auto time_of(const cell::run_ref& run) -> std::optional<milliseconds>
    {
        const auto& spec = spec_of(run.task.step.job).steps[run.task.step.step];
        if (m_faults && !spec.gang && chance(10))
        {
            return std::nullopt;
        }
        const auto text = run.task.step.job.str() +
                          std::to_string(run.task.step.step) + "#" +
                          std::to_string(run.number) +
                          (spec.gang ? "" : std::to_string(run.task.index));
        return milliseconds(300 + 12 * detail::percent_of(text, m_seed));
    }

    auto maybe_accept() -> void
    {
        if (!chance(60))
        {
            return;
        }
        const auto number = m_jobs.size();
        constexpr std::uint32_t deadly_permille = 80;
        const bool deadly = m_crashes && chance(deadly_permille);
        auto job = simple_job((deadly ? "deadly" : "job") +
                                  std::to_string(1'000 + number),
                              1, 1'000);
        if (deadly)
        {
            m_simulation.crash_delay = milliseconds(between(10, 1'500));
        }
        job.steps.clear();
        const bool gang = chance(80);
        const auto steps = between(1, 3);
        for (std::uint32_t i = 0; i < steps; ++i)
        {
            cell::step_spec step;
            step.gang = gang && i == 0;
            step.count = step.gang ? between(2, 8) : between(1, 24);
            step.need.millicpus = std::int64_t{1'000} * between(5, 30);
            step.need.memory_mb = 100;
            step.estimate = detail::task_estimate;
            if (i > 0)
            {
                step.after.push_back(i - 1);
            }
            job.steps.push_back(step);
        }
        auto& approval = job.queue.approval;
        const auto kind = between(0, 2);
        job.queue.name = cell::queue_name("queue" + std::to_string(kind));
        approval.required = kind > 0;
        approval.ticket_lifetime = m_simulation.ticket_lifetime;
        approval.time_per_call = milliseconds(kind == 1 ? 500 : 20);
        approval.time_per_worker = milliseconds(kind == 1 ? 7 : 0);
        // A third of the jobs belongs to no workspace; without a random number, so
        // that a seed means the same with and without limits.
        const auto kind_of_caller =
            detail::percent_of(job.id.str() + "@", m_seed) % 3;
        if (kind_of_caller < m_workspaces.size())
        {
            job.workspace = m_workspaces[kind_of_caller].name;
        }
        m_job_indexes[job.id] = number;
        m_jobs.push_back(job);
        m_simulation.jobs().accept(job, m_simulation.now);
    }

    /// Accepts a job for each worker that takes all of its processors: none may
    /// be excluded, and no room may be counted as taken.
    auto use_each_worker() -> void
    {
        m_simulation.run_for(detail::recovery_time);
        for (const auto& [name, account] :
             m_simulation.jobs().workspaces().accounts())
        {
            if (account.used != resources{})
            {
                m_violation = "still charged: " + name.str();
            }
        }
        for (const auto& [id, worker] : m_simulation.workers)
        {
            auto job = simple_job("whole-" + id.str(), 1,
                                  worker.entry.capacity.millicpus);
            job.steps.front().required_label = worker.entry.rack;
            job.steps.front().estimate = detail::task_estimate;
            m_job_indexes[job.id] = m_jobs.size();
            m_jobs.push_back(job);
            m_simulation.jobs().accept(job, m_simulation.now);
        }
        const auto until = m_simulation.now + detail::time_for_whole_worker;
        while (m_simulation.now < until && m_violation.empty() &&
               !all_finished())
        {
            pass();
        }
        if (m_violation.empty() && !all_finished())
        {
            m_violation = "not used:" + unfinished();
        }
    }

    auto maybe_cancel() -> void
    {
        if (!m_jobs.empty() && chance(3))
        {
            const auto& job = m_jobs[m_random() % m_jobs.size()];
            m_cancelled.insert(job.id);
            m_simulation.jobs().cancel(job.id, m_simulation.now);
        }
    }

    auto any_worker() -> fake_cell_worker&
    {
        auto found = m_simulation.workers.begin();
        std::advance(found, m_random() % m_simulation.workers.size());
        return found->second;
    }

    auto after(milliseconds time, std::function<void()> action) -> void
    {
        m_planned.push_back({m_simulation.now + time, std::move(action)});
    }

    /// Changes a worker later if it still exists.
    auto later(const worker_id& id, milliseconds time,
               std::function<void(fake_cell_worker&)> action) -> void
    {
        after(time,
              [this, id, action = std::move(action)]
              {
                  const auto found = m_simulation.workers.find(id);
                  if (found != m_simulation.workers.end())
                  {
                      action(found->second);
                  }
              });
    }

    auto maybe_fault() -> void
    {
        if (!chance(200))
        {
            return;
        }
        auto& worker = any_worker();
        const auto id = worker.entry.id;
        if (m_crashes && chance(100))
        {
            m_simulation.crash_worker(worker_id(id));
            return;
        }
        if (m_crashes && chance(100))
        {
            resize(worker);
            return;
        }
        const milliseconds duration(between(200, 8'000));
        const auto kind = between(0, 17);
        switch (kind)
        {
        case 0:
        case 1:
            worker.lost_starts += static_cast<int>(between(1, 3));
            break;
        case 2:
            worker.lost_stops += static_cast<int>(between(1, 3));
            break;
        case 3:
        case 4:
            worker.receives_orders = false;
            later(id, duration,
                  [](fake_cell_worker& at)
                  {
                      at.receives_orders = true;
                  });
            break;
        case 5:
        case 6:
            worker.answers_orders = false;
            later(id, duration,
                  [](fake_cell_worker& at)
                  {
                      at.answers_orders = true;
                  });
            break;
        case 7:
        case 8:
            restart(worker);
            break;
        case 9:
            drain(worker);
            break;
        case 10:
            if (m_simulation.workers.size() < 60)
            {
                add_worker();
            }
            break;
        case 11:
        case 12:
            end_runs(worker, chance(500) ? cell::run_end::failed
                                         : cell::run_end::lease_expired);
            break;
        case 13:
            m_simulation.store_answers = false;
            after(milliseconds(between(200, 3'000)),
                  [this]
                  {
                      m_simulation.store_answers = true;
                  });
            break;
        case 14:
            m_simulation.failing_writes += static_cast<int>(between(1, 5));
            break;
        case 15:
            m_simulation.failing_approvals += static_cast<int>(between(1, 5));
            break;
        case 16:
            unregister_for(worker, duration);
            break;
        default:
            if (chance(150))
            {
                change_owner();
            }
            break;
        }
    }

    auto restart(fake_cell_worker& worker) -> void
    {
        const bool announce = chance(500);
        const auto id = worker.entry.id;
        for (const auto& [ref, run] : worker.runs)
        {
            ++m_crash_counts[ref.task];
        }
        m_simulation.restart_worker(id.str(), announce);
        if (!announce)
        {
            later(id, milliseconds(between(100, 3'000)),
                  [this](fake_cell_worker& at)
                  {
                      at.registered = true;
                      m_simulation.register_worker(at);
                  });
        }
    }

    /// Halves the capacity for a while.
    auto resize(fake_cell_worker& worker) -> void
    {
        worker.entry.capacity.millicpus /= 2;
        m_simulation.register_worker(worker);
        later(worker.entry.id, milliseconds(between(500, 5'000)),
              [this](fake_cell_worker& at)
              {
                  at.entry.capacity.millicpus *= 2;
                  m_simulation.register_worker(at);
              });
    }

    /// Whether the task crashes each worker that starts it.
    [[nodiscard]] auto is_deadly(const cell::task_ref& task) const -> bool
    {
        const auto& job = task.step.job;
        return job.str().starts_with("deadly") && task.step.step == 0 &&
               task.index == detail::percent_of(job.str(), m_seed) %
                                 spec_of(job).steps.front().count;
    }

    auto drain(fake_cell_worker& worker) -> void
    {
        if (m_simulation.workers.size() < 30)
        {
            return;
        }
        const milliseconds leaves_in(between(1'000, 4'000));
        worker.entry.draining = true;
        worker.entry.leaves_in = leaves_in;
        m_simulation.register_worker(worker);
        later(worker.entry.id, leaves_in,
              [this](fake_cell_worker& at)
              {
                  m_simulation.unregister_worker(at);
                  m_simulation.workers.erase(worker_id(at.entry.id));
              });
    }

    auto unregister_for(fake_cell_worker& worker, milliseconds time) -> void
    {
        m_simulation.unregister_worker(worker);
        later(worker.entry.id, time,
              [this](fake_cell_worker& at)
              {
                  at.registered = true;
                  m_simulation.register_worker(at);
              });
    }

    auto end_runs(fake_cell_worker& worker, cell::run_end how) -> void
    {
        std::vector<cell::run_ref> ending;
        for (const auto& [ref, run] : worker.runs)
        {
            ending.push_back(ref);
        }
        for (const auto& ref : ending)
        {
            m_simulation.end_run(worker.entry.id.str(), ref, how);
        }
    }

    /// @param released  whether each owner releases the cell to the next one
    static auto options_for(bool released) -> cell::scheduler_options
    {
        cell::scheduler_options out;
        out.earlier_owner_ended = released;
        return out;
    }

    auto maybe_change_owner() -> void
    {
        if (m_brief_owners && m_simulation.now >= m_next_owner_at)
        {
            change_owner();
            m_next_owner_at =
                m_simulation.now + milliseconds(between(200, 4'000));
        }
    }

    auto change_owner() -> void
    {
        m_simulation.take_over(m_jobs);
        for (const auto& id : m_cancelled)
        {
            m_simulation.jobs().cancel(id, m_simulation.now);
        }
    }

    /// Ends all faults; what they have changed stays.
    auto heal() -> void
    {
        m_faults = false;
        auto rest = std::exchange(m_planned, {});
        for (const auto& item : rest)
        {
            item.action();
        }
        m_simulation.store_answers = true;
        m_simulation.failing_writes = 0;
        m_simulation.failing_approvals = 0;
        m_simulation.lost_orders.clear();
        for (auto& [id, worker] : m_simulation.workers)
        {
            worker.lost_starts = 0;
            worker.lost_stops = 0;
        }
    }

    auto pass() -> void
    {
        auto due = std::exchange(m_planned, {});
        for (auto& item : due)
        {
            if (item.at <= m_simulation.now)
            {
                item.action();
            }
            else
            {
                m_planned.push_back(std::move(item));
            }
        }
        deliver_lost_orders();
        end_incomplete_gangs();
        m_simulation.run_for(detail::pass_interval, detail::pass_interval);
        fail_some_runs();
        check_safety();
    }

    /// A lost order may arrive within the lifetime of its call.
    auto deliver_lost_orders() -> void
    {
        auto lost = std::exchange(m_simulation.lost_orders, {});
        for (const auto& order : lost)
        {
            const auto found = m_simulation.workers.find(order.target.worker);
            if (found != m_simulation.workers.end() && chance(20))
            {
                const auto& worker = found->second;
                if (order.lease_end > worker.clock(m_simulation.now) &&
                    order.target.incarnation == worker.entry.incarnation)
                {
                    m_simulation.deliver_late_start(order);
                }
            }
            else if (!chance(20))
            {
                m_simulation.lost_orders.push_back(order);
            }
        }
    }

    /// Workers end the members of a gang whose others ended or did not start.
    auto end_incomplete_gangs() -> void
    {
        std::map<std::pair<cell::step_ref, std::uint64_t>,
                 std::vector<std::pair<worker_id, cell::run_ref>>>
            gangs;
        for (const auto& [id, worker] : m_simulation.workers)
        {
            for (const auto& [ref, run] : worker.runs)
            {
                if (spec_of(ref.task.step.job).steps[ref.task.step.step].gang)
                {
                    gangs[{ref.task.step, ref.number}].emplace_back(id, ref);
                }
            }
        }
        for (const auto& [key, members] : gangs)
        {
            const auto& spec = spec_of(key.first.job).steps[key.first.step];
            const bool complete = members.size() == spec.count;
            for (const auto& [id, ref] : members)
            {
                const auto& run = m_simulation.workers.at(id).runs.at(ref);
                if (!complete &&
                    m_simulation.now - run.started_at >= detail::gang_timeout)
                {
                    m_simulation.end_run(id.str(), ref,
                                         cell::run_end::gang_incomplete);
                }
            }
        }
    }

    /// Sets how new runs end: some fail, and all those of a few jobs.
    auto fail_some_runs() -> void
    {
        for (auto& [id, worker] : m_simulation.workers)
        {
            for (auto& [ref, run] : worker.runs)
            {
                const auto job = ref.task.step.job.str();
                const bool may_fail = !job.starts_with("whole-");
                const bool fails =
                    may_fail &&
                    (detail::percent_of(job, m_seed) < 2 ||
                     detail::percent_of(cell::to_string(ref.task) + "#" +
                                            std::to_string(ref.number),
                                        m_seed) < 2);
                run.end_kind =
                    fails ? cell::run_end::failed : cell::run_end::done;
            }
        }
    }

    auto check_safety() -> void
    {
        std::set<cell::task_ref> running;
        for (const auto& [id, worker] : m_simulation.workers)
        {
            resources used;
            for (const auto& [ref, run] : worker.runs)
            {
                used +=
                    spec_of(ref.task.step.job).steps[ref.task.step.step].need;
                if (!running.insert(ref.task).second)
                {
                    m_violation = "runs twice: " + cell::to_string(ref.task);
                }
            }
            auto& before = m_used[id];
            // What ran on a worker that has shrunk may stay.
            if (!used.fits_in(worker.entry.capacity) && !used.fits_in(before))
            {
                m_violation = "over its capacity: " + id.str();
            }
            before = used;
        }
        for (const auto& item : m_workspaces)
        {
            if (!within(item.limit, used_by(item.name)))
            {
                m_violation = "over its limit: " + item.name.str() + " " +
                              std::to_string(used_by(item.name).millicpus);
            }
        }
        if (const auto fault = m_simulation.jobs().check_usage();
            !fault.empty())
        {
            m_violation = fault;
        }
        if (m_crashes)
        {
            check_crashes();
        }
    }

    /// Whether @p amount is within the limits that are not 0.
    static auto within(const resources& limit, const resources& amount) -> bool
    {
        return (limit.millicpus == 0 || amount.millicpus <= limit.millicpus) &&
               (limit.memory_mb == 0 || amount.memory_mb <= limit.memory_mb);
    }

    /// What the workspace really has running.
    [[nodiscard]] auto used_by(const workspace_name& name) const -> resources
    {
        resources out;
        for (const auto& [id, worker] : m_simulation.workers)
        {
            for (const auto& [ref, run] : worker.runs)
            {
                const auto& spec = spec_of(ref.task.step.job);
                if (spec.workspace == name)
                {
                    out += spec.steps[ref.task.step.step].need;
                }
            }
        }
        return out;
    }

    /// Whether the step would leave its workspace within half of its limit, so
    /// that it must not wait for it.
    [[nodiscard]] auto must_be_allowed(const cell::job_spec& job,
                                       const cell::step_spec& step) const
        -> bool
    {
        for (const auto& item : m_workspaces)
        {
            auto sum =
                used_by(item.name) +
                cell::policy::charge_for(step, step.gang ? step.count : 1);
            sum += sum;
            if (item.name == job.workspace && !within(item.limit, sum))
            {
                return false;
            }
        }
        return true;
    }

    /// After three crashes a task may be started twice more; a job is given up
    /// only if two workers crashed under one of its tasks.
    auto check_crashes() -> void
    {
        for (; m_crashes_seen < m_simulation.crashes.size(); ++m_crashes_seen)
        {
            for (const auto& run : m_simulation.crashes[m_crashes_seen].second)
            {
                ++m_crash_counts[run.task];
            }
        }
        constexpr std::size_t most = 5;
        for (const auto& [task, count] : m_crash_counts)
        {
            if (is_deadly(task) && count > most)
            {
                m_violation = cell::to_string(task) + " crashed " +
                              std::to_string(count) + " workers";
            }
        }
        for (const auto& job : m_jobs)
        {
            if (m_simulation.jobs().state_of(job.id) ==
                    cell::job_state::failed &&
                !may_have_failed(job))
            {
                m_violation = "failed without cause: " + job.id.str();
            }
        }
    }

    [[nodiscard]] auto may_have_failed(const cell::job_spec& job) const -> bool
    {
        constexpr std::size_t crashes_to_give_up = 2;
        for (const auto& [task, count] : m_crash_counts)
        {
            if (task.step.job == job.id && count >= crashes_to_give_up)
            {
                return true;
            }
        }
        const auto stored = m_simulation.stored_progress.find(job.id);
        return stored != m_simulation.stored_progress.end() &&
               !stored->second.rounds.empty() &&
               stored->second.rounds.front().failures.size() >=
                   job.queue.most_failures;
    }

    [[nodiscard]] auto is_finished(const job_id& id) -> bool
    {
        const auto state = m_simulation.jobs().state_of(id);
        return state && cell::is_final(*state);
    }

    [[nodiscard]] auto done_count(const job_id& id, std::uint32_t step) const
        -> std::uint32_t
    {
        const auto stored = m_simulation.stored_progress.find(id);
        if (stored == m_simulation.stored_progress.end() ||
            stored->second.rounds.empty())
        {
            return 0;
        }
        const auto& done = stored->second.rounds.front().done;
        const auto found = done.find(step);
        return found == done.end()
                   ? 0
                   : static_cast<std::uint32_t>(found->second.size());
    }

    /// Number of the step's tasks for which permitted workers have room.
    [[nodiscard]] auto places(const cell::job_spec& job, std::uint32_t number,
                              bool when_empty) const -> std::uint32_t
    {
        const auto& step = job.steps[number];
        std::uint32_t count = 0;
        for (const auto& [id, worker] : m_simulation.workers)
        {
            const bool usable = worker.registered && !worker.entry.draining &&
                                (!job.queue.approval.required ||
                                 is_approved({job.id, 0, number}, id));
            if (!usable)
            {
                continue;
            }
            auto room = worker.entry.capacity;
            for (const auto& [ref, run] : worker.runs)
            {
                const auto& other =
                    spec_of(ref.task.step.job).steps[ref.task.step.step];
                room -= when_empty ? resources{} : other.need;
            }
            while (step.need.fits_in(room))
            {
                room -= step.need;
                ++count;
            }
        }
        return count;
    }

    /// Whether the workers that may run the steps could hold them.
    [[nodiscard]] auto can_finish(const cell::job_spec& job) const -> bool
    {
        for (std::uint32_t i = 0; i < job.steps.size(); ++i)
        {
            const auto needed = job.steps[i].gang ? job.steps[i].count : 1;
            if (places(job, i, true) < needed)
            {
                return false;
            }
        }
        return true;
    }

    [[nodiscard]] auto all_finished() -> bool
    {
        return unfinished().empty();
    }

    [[nodiscard]] auto unfinished() -> std::string
    {
        std::string out;
        for (const auto& job : m_jobs)
        {
            if (!is_finished(job.id) && can_finish(job))
            {
                out += " " + job.id.str();
            }
        }
        return out;
    }

    /// Measures for each ready step how long it has nothing running although
    /// there is room for twice its waiting tasks.
    auto check_waits(bool enforce) -> void
    {
        std::map<job_id, std::set<std::uint32_t>> running;
        for (const auto& [id, worker] : m_simulation.workers)
        {
            for (const auto& [ref, run] : worker.runs)
            {
                running[ref.task.step.job].insert(ref.task.step.step);
            }
        }
        for (const auto& job : m_jobs)
        {
            if (is_finished(job.id))
            {
                continue;
            }
            for (std::uint32_t i = 0; i < job.steps.size(); ++i)
            {
                const auto done = done_count(job.id, i);
                const bool ready = i == 0 || done_count(job.id, i - 1) ==
                                                 job.steps[i - 1].count;
                const auto waiting = job.steps[i].count - done;
                auto& since = m_waits[{job.id, 0, i}];
                const bool waits = ready && waiting > 0 &&
                                   !running[job.id].contains(i) &&
                                   places(job, i, false) >= 2 * waiting &&
                                   must_be_allowed(job, job.steps[i]);
                if (!waits || !since || !enforce)
                {
                    since =
                        waits ? std::optional(m_simulation.now) : std::nullopt;
                }
                if (since && m_simulation.now - *since >
                                 detail::longest_wait_beside_room)
                {
                    m_violation =
                        "waits beside free room: " + job.id.str() + " step " +
                        std::to_string(i) + ", " + std::to_string(waiting) +
                        " waiting, " + std::to_string(places(job, i, false)) +
                        " places" + (job.steps[i].gang ? ", gang" : "");
                }
            }
        }
    }

    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    cell_simulation m_simulation;
    std::uint32_t m_workers = 0;
    std::vector<cell::workspace_config> m_workspaces;
    std::vector<cell::job_spec> m_jobs;
    std::map<job_id, std::size_t> m_job_indexes;
    std::set<job_id> m_cancelled;
    std::vector<planned> m_planned;
    std::map<cell::step_ref, std::optional<time_point>> m_waits;
    bool m_brief_owners;
    time_point m_next_owner_at;
    bool m_crashes;
    std::size_t m_crashes_seen = 0;
    std::map<cell::task_ref, std::size_t> m_crash_counts;
    std::map<worker_id, resources> m_used;
    bool m_faults = true;
    std::string m_violation;
    milliseconds m_took{0};
};

} // namespace pimentoshunt::fakes
