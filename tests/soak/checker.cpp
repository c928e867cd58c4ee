#include "checker.hpp"

#include "platform.hpp"

#include <algorithm> // any_of, all_of, count_if, find_if
#include <ctime>     // gmtime_r, strftime

namespace pimentoshunt::soak
{
namespace
{

/// A cancelled job begins nothing after this, and an accepted one is visible.
constexpr milliseconds cancel_bound{3'000};
constexpr milliseconds visible_bound{3'000};
/// An instance is in touch when it was unharmed for so long.
constexpr milliseconds touch_time{3'000};

auto job_of(const std::string& task) -> std::string
{
    return task.substr(0, task.find('.'));
}

/// The number of the step in ID.0.STEP.INDEX.
auto step_number(const std::string& task) -> std::size_t
{
    const auto round = task.find('.');
    return std::stoul(task.substr(task.find('.', round + 1) + 1));
}

class judge
{
  public:
    explicit judge(const soak_record& seen) : m_seen(seen)
    {
        for (const auto& run : m_seen.runs)
        {
            m_tasks[run.task].push_back(&run);
        }
    }

    auto verdict() -> std::vector<violation>
    {
        for (const auto& run : m_seen.runs)
        {
            check_twice(run);
            check_limit(run);
            check_order(run);
            check_asked(run);
        }
        for (const auto& [id, job] : m_seen.jobs)
        {
            check_shown(job);
            check_lost(job);
        }
        return std::move(m_out);
    }

  private:
    auto report(const std::string& rule, const std::string& job,
                const std::string& task, const std::string& text) -> void
    {
        violation out{rule, job, text};
        for (const auto* const run : m_tasks[task])
        {
            out.text += "\n    " + describe(*run);
        }
        m_out.push_back(std::move(out));
    }

    auto describe(const run_record& run) const -> std::string
    {
        auto text = wall_time(run.started) + " run " + std::to_string(run.run) +
                    " of " + run.task + " begins on " + run.worker +
                    " by epoch " + std::to_string(run.epoch) + " (" +
                    starter(run) + ")" + (run.late ? ", held up" : "");
        if (!run.how.empty())
        {
            text += "; " + wall_time(run.ended) + " ends " + run.how;
        }
        if (run.noted)
        {
            text += "; " + wall_time(run.noted_at) + " noted";
        }
        return text;
    }

    auto starter(const run_record& run) const -> std::string
    {
        const auto found =
            std::find_if(m_seen.takeovers.begin(), m_seen.takeovers.end(),
                         [&](const takeover_record& item)
                         {
                             return item.epoch == run.epoch;
                         });
        return found == m_seen.takeovers.end() ? "?" : found->instance;
    }

    /// Whether neither the instance nor the store was harmed before @p at.
    auto in_touch(const std::string& instance, time_point at) const -> bool
    {
        return std::none_of(m_seen.faults.begin(), m_seen.faults.end(),
                            [&](const fault_record& fault)
                            {
                                return (fault.subject == instance ||
                                        fault.subject == "store") &&
                                       fault.from <= at &&
                                       fault.until + touch_time >= at;
                            });
    }

    auto check_twice(const run_record& run) -> void
    {
        for (const auto* const other : m_tasks[run.task])
        {
            if (other == &run)
            {
                return;
            }
            if (other->how.empty() || other->ended > run.started)
            {
                report("TWICE", job_of(run.task), run.task,
                       "two runs of a task at one time");
                return;
            }
            if (other->how == "done" && other->noted)
            {
                report("TWICE", job_of(run.task), run.task,
                       "a start after a noted end as done");
                return;
            }
        }
    }

    auto check_limit(const run_record& run) -> void
    {
        if (!run.used.fits_in(run.capacity))
        {
            report("LIMIT", job_of(run.task), run.task,
                   run.worker + " has " +
                       std::to_string(run.capacity.millicpus) + "/" +
                       std::to_string(run.capacity.memory_mb) + ", runs " +
                       std::to_string(run.used.millicpus) + "/" +
                       std::to_string(run.used.memory_mb));
        }
    }

    auto done_by(const std::string& task, time_point at) const -> bool
    {
        const auto runs = m_tasks.find(task);
        return runs != m_tasks.end() &&
               std::any_of(runs->second.begin(), runs->second.end(),
                           [&](const run_record* run)
                           {
                               return run->how == "done" && run->ended <= at;
                           });
    }

    /// The first task of a step that was not done at a moment, or nothing.
    auto undone(const job_record& job, std::size_t step, time_point at) const
        -> std::string
    {
        for (std::uint32_t i = 0; i < job.steps[step].count; ++i)
        {
            auto task =
                job.id + ".0." + std::to_string(step) + "." + std::to_string(i);
            if (!done_by(task, at))
            {
                return task;
            }
        }
        return "";
    }

    auto check_order(const run_record& run) -> void
    {
        const auto job = m_seen.jobs.find(job_of(run.task));
        const auto step = step_number(run.task);
        if (job == m_seen.jobs.end() || step == 0)
        {
            return;
        }
        const auto missing = undone(job->second, step - 1, run.started);
        if (!missing.empty())
        {
            report("ORDER", job->first, run.task,
                   missing + " was not done yet");
        }
    }

    auto check_asked(const run_record& run) -> void
    {
        const auto found = m_seen.jobs.find(job_of(run.task));
        if (found == m_seen.jobs.end())
        {
            report("UNASKED", job_of(run.task), run.task, "no such job");
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
            report("REFUSED", job.id, run.task, "each submission was refused");
        }
        const auto cancelled = job.cancelled_at();
        if (cancelled && run.started > *cancelled + cancel_bound && !run.late &&
            in_touch(starter(run), run.started))
        {
            report("UNASKED", job.id, run.task,
                   "its cancelling was acknowledged " + wall_time(*cancelled));
        }
    }

    auto check_shown(const job_record& job) -> void
    {
        for (const auto& look : job.looks)
        {
            for (std::size_t i = 0;
                 look.state == "succeeded" && i < job.steps.size(); ++i)
            {
                const auto missing = undone(job, i, look.at);
                if (!missing.empty())
                {
                    report("MIXED", job.id, missing,
                           "shown as succeeded " + wall_time(look.at));
                    return;
                }
            }
        }
    }

    auto may_fail(const job_record& job) const -> bool
    {
        const auto most = soak_queues().front().most_failures;
        return std::any_of(
            m_tasks.begin(), m_tasks.end(),
            [&](const auto& task)
            {
                const auto failed =
                    std::count_if(task.second.begin(), task.second.end(),
                                  [](const run_record* run)
                                  {
                                      return run->how == "failed";
                                  });
                return job_of(task.first) == job.id && failed >= most;
            });
    }

    auto check_lost(const job_record& job) -> void
    {
        const auto accepted = job.accepted_at();
        if (!accepted || !job.cancels.empty())
        {
            return;
        }
        for (const auto& look : job.looks)
        {
            if (look.status == 410 && look.sent > *accepted + visible_bound &&
                in_touch(look.instance, look.sent))
            {
                report("LOST", job.id, "",
                       look.instance + " answers 410 " + wall_time(look.at));
                return;
            }
        }
        const auto state = job.looks.empty() ? "" : job.looks.back().state;
        if (state != "succeeded" && !(state == "failed" && may_fail(job)))
        {
            report("LOST", job.id, "",
                   "accepted " + wall_time(*accepted) + ", in the end '" +
                       state + "'");
        }
    }

    const soak_record& m_seen;
    std::map<std::string, std::vector<const run_record*>> m_tasks;
    std::vector<violation> m_out;
};

} // namespace

auto wall_time(time_point at) -> std::string
{
    using std::chrono::system_clock;
    const auto age = boot_clock::now() - at;
    const auto moment = system_clock::now() -
                        std::chrono::duration_cast<system_clock::duration>(age);
    const auto seconds = system_clock::to_time_t(moment);
    const auto rest =
        std::chrono::duration_cast<milliseconds>(moment.time_since_epoch())
            .count() %
        1'000;
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    char text[32];
    const auto length = std::strftime(text, sizeof text, "%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof text - length, ".%03d",
                  static_cast<int>(rest));
    return text;
}

auto check(const soak_record& seen) -> std::vector<violation>
{
    return judge(seen).verdict();
}

} // namespace pimentoshunt::soak
