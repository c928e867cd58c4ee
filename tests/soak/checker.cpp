#include "checker.hpp"

#include "platform.hpp"

#include <algorithm> // any_of, all_of, count_if, find_if, max, none_of
#include <ctime>     // gmtime_r, strftime

namespace pimentoshunt::soak
{
namespace
{

/// After a confirmed cancellation, no task of the job may start once this has
/// passed.
constexpr milliseconds cancel_timeout{3'000};
/// An accepted job must be visible to lookups at every instance after this.
constexpr milliseconds visibility_timeout{3'000};
/// The two timeouts bind an instance only if no fault of it or of the store was
/// active within this time; see is_undisturbed().
constexpr milliseconds recovery_time{3'000};
/// An accepted job that could start a task has nothing running for less than
/// this, if there was no fault in all this time and @ref calm_time before, and
/// there is room.
constexpr milliseconds start_timeout{3'000};
constexpr milliseconds calm_time{10'000};
/// Distance of the intervals of @ref start_timeout that are checked in a wait.
constexpr milliseconds wait_check_step{500};

auto job_of(const std::string& task) -> std::string
{
    return task.substr(0, task.find('.'));
}

/// STEP of the task ID JOB.0.STEP.INDEX.
auto step_number(const std::string& task) -> std::size_t
{
    const auto round_separator = task.find('.');
    return std::stoul(task.substr(task.find('.', round_separator + 1) + 1));
}

class record_checker
{
  public:
    explicit record_checker(const soak_record& record) : m_record(record)
    {
        for (const auto& run : m_record.runs)
        {
            m_runs_by_task[run.task].push_back(&run);
        }
    }

    auto find_violations() -> std::vector<violation>
    {
        for (const auto& run : m_record.runs)
        {
            check_single_run(run);
            check_capacity(run);
            check_order(run);
            check_requested(run);
        }
        for (const auto& [id, job] : m_record.jobs)
        {
            check_reported_success(job);
            check_accepted(job);
            check_waits(job);
        }
        return std::move(m_violations);
    }

  private:
    auto add_violation(const std::string& rule, const std::string& job,
                       const std::string& task, const std::string& text) -> void
    {
        violation out{rule, job, text};
        for (const auto* const run : m_runs_by_task[task])
        {
            out.text += "\n    " + describe(*run);
        }
        m_violations.push_back(std::move(out));
    }

    auto describe(const run_record& run) const -> std::string
    {
        auto text = wall_time(run.started) + " run " + std::to_string(run.run) +
                    " of " + run.task + " started on " + run.worker +
                    " by epoch " + std::to_string(run.epoch) + " (" +
                    starting_instance(run) + ")" +
                    (run.delayed ? ", order delayed" : "");
        if (!run.outcome.empty())
        {
            text += "; " + wall_time(run.ended) + " ended as " + run.outcome;
        }
        if (run.end_durable)
        {
            text += "; " + wall_time(run.end_durable_at) + " end durable";
        }
        return text;
    }

    auto starting_instance(const run_record& run) const -> std::string
    {
        const auto found =
            std::find_if(m_record.takeovers.begin(), m_record.takeovers.end(),
                         [&](const takeover_record& item)
                         {
                             return item.epoch == run.epoch;
                         });
        return found == m_record.takeovers.end() ? "?" : found->instance;
    }

    /// Whether no fault recorded with the subject @p instance or "store" was
    /// active at @p at or within @ref recovery_time before.
    auto is_undisturbed(const std::string& instance, time_point at) const
        -> bool
    {
        return std::none_of(m_record.faults.begin(), m_record.faults.end(),
                            [&](const fault_record& fault)
                            {
                                return (fault.subject == instance ||
                                        fault.subject == "store") &&
                                       fault.from <= at &&
                                       fault.until + recovery_time >= at;
                            });
    }

    auto check_single_run(const run_record& run) -> void
    {
        for (const auto* const other : m_runs_by_task[run.task])
        {
            if (other == &run)
            {
                return;
            }
            if (other->outcome.empty() || other->ended > run.started)
            {
                add_violation("TWICE", job_of(run.task), run.task,
                              "two runs of the task overlap");
                return;
            }
            if (other->outcome == "done" && other->end_durable)
            {
                add_violation(
                    "TWICE", job_of(run.task), run.task,
                    "the task was started again after its success was durable");
                return;
            }
        }
    }

    auto check_capacity(const run_record& run) -> void
    {
        if (!run.used.fits_in(run.capacity))
        {
            add_violation("LIMIT", job_of(run.task), run.task,
                          run.worker + " has " +
                              std::to_string(run.capacity.millicpus) + "/" +
                              std::to_string(run.capacity.memory_mb) +
                              ", in use " + std::to_string(run.used.millicpus) +
                              "/" + std::to_string(run.used.memory_mb));
        }
    }

    auto is_done_by(const std::string& task, time_point at) const -> bool
    {
        const auto runs = m_runs_by_task.find(task);
        return runs != m_runs_by_task.end() &&
               std::any_of(runs->second.begin(), runs->second.end(),
                           [&](const run_record* run)
                           {
                               return run->outcome == "done" &&
                                      run->ended <= at;
                           });
    }

    /// The first task of a step that had not succeeded by @p at; empty if all
    /// had.
    auto find_unfinished_task(const job_record& job, std::size_t step,
                              time_point at) const -> std::string
    {
        for (std::uint32_t i = 0; i < job.steps[step].count; ++i)
        {
            auto task =
                job.id + ".0." + std::to_string(step) + "." + std::to_string(i);
            if (!is_done_by(task, at))
            {
                return task;
            }
        }
        return "";
    }

    auto check_order(const run_record& run) -> void
    {
        const auto job = m_record.jobs.find(job_of(run.task));
        const auto step = step_number(run.task);
        if (job == m_record.jobs.end() || step == 0)
        {
            return;
        }
        const auto unfinished =
            find_unfinished_task(job->second, step - 1, run.started);
        if (!unfinished.empty())
        {
            add_violation("ORDER", job->first, run.task,
                          unfinished +
                              " of the previous step had not succeeded yet");
        }
    }

    auto check_requested(const run_record& run) -> void
    {
        const auto found = m_record.jobs.find(job_of(run.task));
        if (found == m_record.jobs.end())
        {
            add_violation("UNASKED", job_of(run.task), run.task,
                          "no caller submitted this job");
            return;
        }
        const auto& job = found->second;
        const bool refused =
            std::all_of(job.submissions.begin(), job.submissions.end(),
                        [](const answer_record& answer)
                        {
                            return answer.status == 429 || answer.status == 503;
                        });
        if (refused)
        {
            add_violation("REFUSED", job.id, run.task,
                          "every submission of the job was refused");
        }
        const auto cancelled = job.cancelled_at();
        if (cancelled && run.started > *cancelled + cancel_timeout &&
            !run.delayed && is_undisturbed(starting_instance(run), run.started))
        {
            add_violation("UNASKED", job.id, run.task,
                          "the job's cancellation was confirmed at " +
                              wall_time(*cancelled));
        }
    }

    auto check_reported_success(const job_record& job) -> void
    {
        for (const auto& lookup : job.lookups)
        {
            for (std::size_t i = 0;
                 lookup.state == "succeeded" && i < job.steps.size(); ++i)
            {
                const auto unfinished = find_unfinished_task(job, i, lookup.at);
                if (!unfinished.empty())
                {
                    add_violation("MIXED", job.id, unfinished,
                                  "job was reported as succeeded at " +
                                      wall_time(lookup.at));
                    return;
                }
            }
        }
    }

    auto may_have_failed(const job_record& job) const -> bool
    {
        const auto failure_limit = soak_queues().front().most_failures;
        return std::any_of(
            m_runs_by_task.begin(), m_runs_by_task.end(),
            [&](const auto& task)
            {
                const auto failed =
                    std::count_if(task.second.begin(), task.second.end(),
                                  [](const run_record* run)
                                  {
                                      return run->outcome == "failed";
                                  });
                return job_of(task.first) == job.id && failed >= failure_limit;
            });
    }

    auto check_accepted(const job_record& job) -> void
    {
        const auto accepted = job.accepted_at();
        if (!accepted || !job.cancels.empty())
        {
            return;
        }
        for (const auto& lookup : job.lookups)
        {
            if (lookup.status == 410 &&
                lookup.sent > *accepted + visibility_timeout &&
                is_undisturbed(lookup.instance, lookup.sent))
            {
                add_violation("LOST", job.id, "",
                              lookup.instance + " answered 410 at " +
                                  wall_time(lookup.at));
                return;
            }
        }
        const auto state = job.lookups.empty() ? "" : job.lookups.back().state;
        if (state != "succeeded" &&
            !(state == "failed" && may_have_failed(job)))
        {
            add_violation("LOST", job.id, "",
                          "accepted at " + wall_time(*accepted) +
                              ", last reported state '" + state + "'");
        }
    }

    /// A time in which a job that had not ended had nothing running.
    struct idle_time
    {
        time_point from;
        time_point until;
    };

    auto idle_times(const job_record& job, time_point accepted) const
        -> std::vector<idle_time>
    {
        std::multimap<time_point, time_point> runs;
        time_point last_seen = accepted;
        for (const auto& [task, list] : m_runs_by_task)
        {
            if (job_of(task) != job.id)
            {
                continue;
            }
            for (const auto* const run : list)
            {
                runs.emplace(run->started, run->outcome.empty()
                                               ? time_point::max()
                                               : run->ended);
            }
        }
        for (const auto& lookup : job.lookups)
        {
            const bool unfinished =
                lookup.state == "queued" || lookup.state == "running";
            last_seen = unfinished ? std::max(last_seen, lookup.at) : last_seen;
        }
        std::vector<idle_time> out;
        auto idle_from = accepted;
        for (const auto& [started, ended] : runs)
        {
            if (started > idle_from)
            {
                out.push_back({idle_from, started});
            }
            idle_from = std::max(idle_from, ended);
        }
        if (last_seen > idle_from)
        {
            out.push_back({idle_from, last_seen});
        }
        return out;
    }

    auto is_calm(time_point from, time_point until) const -> bool
    {
        return std::none_of(m_record.faults.begin(), m_record.faults.end(),
                            [&](const fault_record& fault)
                            {
                                return fault.from <= until &&
                                       fault.until + calm_time >= from;
                            });
    }

    auto need_of(const run_record& run) const -> resources
    {
        const auto job = m_record.jobs.find(job_of(run.task));
        return job == m_record.jobs.end()
                   ? resources{}
                   : job->second.steps[step_number(run.task)].need;
    }

    /// Whether two tasks of @p need would have fitted in the room that was free
    /// all the time, with less than half of the capacity in use. Only workers
    /// count that started a run not long before.
    auto has_room(const resources& need, time_point from,
                  time_point until) const -> bool
    {
        struct usage
        {
            resources capacity;
            resources used;
        };
        std::map<std::string, usage> workers;
        for (const auto& run : m_record.runs)
        {
            if (run.started >= from - calm_time && run.started <= until)
            {
                workers[run.worker].capacity = run.capacity;
            }
        }
        for (const auto& run : m_record.runs)
        {
            const auto worker = workers.find(run.worker);
            const bool overlaps = run.started < until &&
                                  (run.outcome.empty() || run.ended > from);
            if (worker != workers.end() && overlaps)
            {
                worker->second.used += need_of(run);
            }
        }
        usage all;
        int places = 0;
        for (const auto& [name, worker] : workers)
        {
            all.capacity += worker.capacity;
            all.used += worker.used;
            auto used_with_task = worker.used;
            for (int i = 0; i < 2; ++i)
            {
                used_with_task += need;
                places += used_with_task.fits_in(worker.capacity) ? 1 : 0;
            }
        }
        return places >= 2 && 2 * all.used.millicpus < all.capacity.millicpus &&
               2 * all.used.memory_mb < all.capacity.memory_mb;
    }

    /// The first step with a task that had not succeeded by @p at.
    auto waiting_step(const job_record& job, time_point at) const
        -> std::optional<std::size_t>
    {
        for (std::size_t i = 0; i < job.steps.size(); ++i)
        {
            if (!find_unfinished_task(job, i, at).empty())
            {
                return i;
            }
        }
        return std::nullopt;
    }

    auto check_waits(const job_record& job) -> void
    {
        const auto accepted = job.accepted_at();
        if (!accepted || !job.cancels.empty())
        {
            return;
        }
        for (const auto& idle : idle_times(job, *accepted))
        {
            const auto step = waiting_step(job, idle.from);
            for (auto from = idle.from;
                 step && from + start_timeout <= idle.until;
                 from += wait_check_step)
            {
                const auto until = from + start_timeout;
                if (is_calm(from, until) &&
                    has_room(job.steps[*step].need, from, until))
                {
                    add_violation("LOST", job.id, "",
                                  "step " + std::to_string(*step) +
                                      " had nothing running from " +
                                      wall_time(idle.from) + " to " +
                                      wall_time(idle.until) +
                                      " beside free workers");
                    return;
                }
            }
        }
    }

    const soak_record& m_record;
    std::map<std::string, std::vector<const run_record*>> m_runs_by_task;
    std::vector<violation> m_violations;
};

} // namespace

auto wall_time(time_point at) -> std::string
{
    using std::chrono::system_clock;
    const auto age = boot_clock::now() - at;
    const auto moment = system_clock::now() -
                        std::chrono::duration_cast<system_clock::duration>(age);
    const auto seconds = system_clock::to_time_t(moment);
    const auto millisecond_part =
        std::chrono::duration_cast<milliseconds>(moment.time_since_epoch())
            .count() %
        1'000;
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    char text[32];
    const auto length = std::strftime(text, sizeof text, "%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof text - length, ".%03d",
                  static_cast<int>(millisecond_part));
    return text;
}

auto check(const soak_record& record) -> std::vector<violation>
{
    return record_checker(record).find_violations();
}

} // namespace pimentoshunt::soak
