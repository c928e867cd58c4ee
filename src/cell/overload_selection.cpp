#include <pimentoshunt/cell/policy/overload_selection.hpp>

#include <algorithm> // clamp, max, min, sort
#include <cmath>     // exp, pow
#include <queue>     // priority_queue
#include <tuple>     // tuple
#include <utility>   // move

namespace pimentoshunt::cell::policy
{
namespace
{

using real_s = std::chrono::duration<double>;

/// A job is worth at most this many times a mean one of its queue.
constexpr double most_worth = 4.0;
/// Part of the value that does not depend on the work, and part that does.
constexpr double fixed_worth = 0.3;
constexpr double worth_of_mean_work = 0.7;
/// Weight of one job in the mean work of its queue.
constexpr double mean_weight = 0.02;

auto seconds_between(time_point from, time_point to) -> double
{
    return real_s(to - from).count();
}

/// Accumulates work in the order of a deadline, and takes out the least valuable
/// per unit of work where it does not fit.
class fluid_schedule
{
  public:
    /// @param before    work that is served earlier
    /// @param share     of the capacity
    /// @param exponent  of the work by which values are divided
    fluid_schedule(double before, double share, double exponent, time_point now)
        : m_work(before), m_fixed_work(before), m_share(share),
          m_exponent(exponent), m_now(now)
    {
    }

    /// Adds a job that must not be taken out.
    auto add_fixed(const backlog_job& job) -> void
    {
        m_work += job.work;
        m_fixed_work += job.work;
    }

    /// @param rejected  lateness class of jobs that are taken out
    auto add(backlog_job& job, time_point deadline, lateness_class rejected)
        -> void
    {
        m_work += job.work;
        m_candidates.push(
            {job.worth / std::pow(std::max(job.work, least_work), m_exponent),
             deadline, &job});
        const auto room = m_share * seconds_between(m_now, deadline);
        // A job that is alone is limited by its chain, not by the capacity: tasks
        // may be as large as workers.
        const std::size_t kept = m_fixed_work > 0 ? 0 : 1;
        while (m_work > room && m_candidates.size() > kept)
        {
            auto& least = *m_candidates.top().job;
            m_candidates.pop();
            least.lateness = rejected;
            m_work -= least.work;
        }
    }

    [[nodiscard]] auto work() const -> double
    {
        return m_work;
    }

  private:
    static constexpr double least_work = 1e-9;
    struct entry
    {
        double density = 0;
        time_point deadline;
        backlog_job* job = nullptr;

        /// Whether @p other is taken out first: of equals, the later one.
        friend auto operator<(const entry& left, const entry& other) -> bool
        {
            return std::tuple(-left.density, left.deadline, left.job->arrival) <
                   std::tuple(-other.density, other.deadline,
                              other.job->arrival);
        }
    };

    double m_work;
    double m_fixed_work;
    double m_share;
    double m_exponent;
    time_point m_now;
    std::priority_queue<entry> m_candidates;
};

} // namespace

auto backlog_job::order_time() const -> time_point
{
    switch (lateness)
    {
    case lateness_class::under_way:
    case lateness_class::chosen:
        return due - chain;
    case lateness_class::delayed:
    case lateness_class::unlikely:
    case lateness_class::expired:
        break;
    }
    return worthless_at - chain;
}

auto overload_selection::on_arrival(const queue_name& queue,
                                    std::uint32_t priority, double work,
                                    time_point now) -> void
{
    const auto window = real_s(m_options.rate_window).count();
    auto& rate = m_rates[priority];
    if (rate.at != time_point{})
    {
        rate.value *= std::exp(-seconds_between(rate.at, now) / window);
    }
    rate.value += work / window;
    rate.at = now;
    const auto mean = m_mean_work.try_emplace(queue, work).first;
    mean->second += mean_weight * (work - mean->second);
}

auto overload_selection::worth_of(const queue_name& queue, double work) const
    -> double
{
    const auto mean = m_mean_work.find(queue);
    if (mean == m_mean_work.end() || mean->second <= 0)
    {
        return fixed_worth + worth_of_mean_work;
    }
    return std::min(most_worth,
                    fixed_worth + worth_of_mean_work * work / mean->second);
}

auto overload_selection::expected_share(std::uint32_t priority,
                                        time_point now) const -> double
{
    const auto window = real_s(m_options.rate_window).count();
    double taken = 0;
    for (const auto& [other, rate] : m_rates)
    {
        if (other < priority)
        {
            taken +=
                rate.value * std::exp(-seconds_between(rate.at, now) / window);
        }
    }
    return std::max(m_options.least_share, 1 - taken);
}

auto overload_selection::fits(const std::vector<backlog_job*>& by_due,
                              double utilisation, time_point now) const -> bool
{
    double work = 0;
    std::optional<std::uint32_t> priority;
    double share = 0;
    for (const auto* const job : by_due)
    {
        if (priority != job->priority)
        {
            priority = job->priority;
            share = utilisation * expected_share(job->priority, now);
        }
        if (job->expired)
        {
            continue;
        }
        // What is late already, perhaps after an outage, does not show that others
        // will be; a job that is alone is limited by its chain.
        const bool is_late = job->due - job->chain < now;
        const auto deadline = is_late ? job->worthless_at : job->due;
        const bool is_first = work <= 0;
        work += job->work;
        if (!is_first && work > share * seconds_between(now, deadline))
        {
            return false;
        }
    }
    return true;
}

auto overload_selection::update_state(const std::vector<backlog_job*>& by_due,
                                      time_point now) -> void
{
    if (!m_short)
    {
        m_short = !fits(by_due, m_options.utilisation, now);
        m_fits_since.reset();
        return;
    }
    if (!fits(by_due, m_options.calm_utilisation, now))
    {
        m_fits_since.reset();
        return;
    }
    if (!m_fits_since)
    {
        m_fits_since = now;
    }
    m_short = now - *m_fits_since < m_options.calm_for;
}

auto overload_selection::choose(const std::vector<backlog_job*>& by_due,
                                time_point now) -> void
{
    const auto margin_of = [&](const backlog_job& job)
    {
        return std::chrono::duration_cast<milliseconds>(m_options.chain_margin *
                                                        real_s(job.chain));
    };
    double before = 0;
    for (std::size_t begin = 0; begin < by_due.size();)
    {
        const auto priority = by_due[begin]->priority;
        auto end = begin;
        const auto share =
            m_options.utilisation * expected_share(priority, now);
        fluid_schedule in_time(before, share, 1, now);
        for (; end < by_due.size() && by_due[end]->priority == priority; ++end)
        {
            if (by_due[end]->lateness == lateness_class::under_way)
            {
                in_time.add_fixed(*by_due[end]);
            }
        }
        std::vector<backlog_job*> late;
        for (auto i = begin; i < end; ++i)
        {
            auto& job = *by_due[i];
            if (job.lateness != lateness_class::chosen)
            {
                continue;
            }
            if (job.due - job.chain < now)
            {
                job.lateness = lateness_class::delayed;
                continue;
            }
            in_time.add(job, job.due - margin_of(job), lateness_class::delayed);
        }
        for (auto i = begin; i < end; ++i)
        {
            if (by_due[i]->lateness == lateness_class::delayed)
            {
                late.push_back(by_due[i]);
            }
        }
        std::sort(late.begin(), late.end(),
                  [](const backlog_job* left, const backlog_job* right)
                  {
                      return std::tuple(left->worthless_at, left->arrival) <
                             std::tuple(right->worthless_at, right->arrival);
                  });
        fluid_schedule in_late(in_time.work(), share, m_options.late_exponent,
                               now);
        for (auto* const job : late)
        {
            in_late.add(*job, job->worthless_at - margin_of(*job),
                        lateness_class::unlikely);
        }
        before = in_time.work();
        begin = end;
    }
}

/// Takes the oldest jobs out of the delayed set while it has credit.
auto overload_selection::promote_oldest(std::vector<backlog_job>& jobs,
                                        time_point now) -> void
{
    std::map<std::uint32_t, std::vector<backlog_job*>> delayed;
    for (auto& job : jobs)
    {
        if (job.lateness == lateness_class::delayed ||
            job.lateness == lateness_class::unlikely)
        {
            delayed[job.priority].push_back(&job);
        }
    }
    const auto is_late = [&](const backlog_job& job)
    {
        return job.due - job.chain < now;
    };
    const auto passed =
        m_selected_at
            ? std::clamp(seconds_between(*m_selected_at, now), 0.0, 1.0)
            : 0.0;
    for (auto& [priority, waiting] : delayed)
    {
        auto& credit = m_credit[priority];
        credit = std::min(1.0, credit + passed * m_options.aged_share *
                                            expected_share(priority, now));
        std::sort(waiting.begin(), waiting.end(),
                  [&](const backlog_job* left, const backlog_job* right)
                  {
                      return std::tuple(is_late(*left), left->arrival) <
                             std::tuple(is_late(*right), right->arrival);
                  });
        for (auto* const job : waiting)
        {
            if (credit <= 0)
            {
                break;
            }
            credit -= job->work;
            job->lateness = lateness_class::under_way;
            m_promoted.insert(job->arrival);
        }
    }
}

auto overload_selection::select(std::vector<backlog_job>& jobs, time_point now)
    -> overload_summary
{
    std::vector<backlog_job*> by_due;
    by_due.reserve(jobs.size());
    for (auto& job : jobs)
    {
        by_due.push_back(&job);
    }
    std::sort(by_due.begin(), by_due.end(),
              [](const backlog_job* left, const backlog_job* right)
              {
                  return std::tuple(left->priority, left->due, left->arrival) <
                         std::tuple(right->priority, right->due,
                                    right->arrival);
              });
    update_state(by_due, now);
    if (!m_short)
    {
        m_promoted.clear();
        m_credit.clear();
    }
    std::set<std::uint64_t> still_promoted;
    for (auto& job : jobs)
    {
        const bool promoted = m_promoted.contains(job.arrival);
        job.lateness =
            job.expired ? lateness_class::expired : lateness_class::chosen;
        if (m_short && (promoted || (job.under_way && !job.expired)))
        {
            job.lateness = lateness_class::under_way;
        }
        if (promoted)
        {
            still_promoted.insert(job.arrival);
        }
    }
    m_promoted = std::move(still_promoted);
    if (m_short)
    {
        choose(by_due, now);
        promote_oldest(jobs, now);
    }
    m_selected_at = now;
    overload_summary out;
    for (const auto& job : jobs)
    {
        const bool in_time = job.lateness <= lateness_class::chosen;
        out.chosen += in_time ? 1 : 0;
        out.expired += job.lateness == lateness_class::expired ? 1 : 0;
        out.delayed +=
            !in_time && job.lateness != lateness_class::expired ? 1 : 0;
        if (!job.expired)
        {
            out.waiting_work[job.priority] += job.work;
        }
    }
    return out;
}

} // namespace pimentoshunt::cell::policy
