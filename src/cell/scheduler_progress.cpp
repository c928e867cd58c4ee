// Progress: what must become durable, and what follows once it is.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/logging.hpp>

#include <algorithm> // max, min
#include <string>    // string, to_string
#include <utility>   // move

namespace pimentoshunt::cell
{
auto scheduler::mark_dirty(job_record& job) -> void
{
    if (!job.dirty)
    {
        job.dirty = true;
        m_dirty.push_back(job.spec->id);
    }
}

auto scheduler::progress_of(const job_record& job) const -> job_progress
{
    job_progress out;
    out.id = job.spec->id;
    out.state = job.state;
    if (out.state == job_state::queued && job.any_started)
    {
        out.state = job_state::running;
    }
    for (const auto& round : job.rounds)
    {
        round_progress stored;
        stored.round = round.number;
        for (const auto& step : round.steps)
        {
            std::vector<std::uint32_t> done;
            for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
            {
                const auto& task = step.tasks[i];
                const task_ref ref{{out.id, round.number, step.number}, i};
                if (task.done)
                {
                    done.push_back(i);
                    continue;
                }
                for (const auto number : task.failures)
                {
                    stored.failures.push_back({ref, number});
                }
                for (const auto& [number, crash] : task.crashes)
                {
                    stored.crashes[{ref, number}] = crash;
                }
                if (!task.checkpoint.empty() && task.runs.empty())
                {
                    stored.checkpoints[ref] = task.checkpoint;
                }
            }
            if (!done.empty())
            {
                stored.done[step.number] = std::move(done);
            }
        }
        out.rounds.push_back(std::move(stored));
    }
    return out;
}

auto scheduler::take_progress(std::size_t limit)
    -> std::optional<progress_batch>
{
    if (!has_unsaved_progress())
    {
        return std::nullopt;
    }
    progress_batch batch;
    batch.number = ++m_last_batch;
    m_has_unsaved_end = false;
    const auto count = std::min(limit, m_dirty.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto found = m_jobs.find(m_dirty[i]);
        if (found == m_jobs.end())
        {
            continue;
        }
        auto& job = found->second;
        job.dirty = false;
        if (job.has_unsaved_crash && job.crash_batch == 0)
        {
            job.crash_batch = batch.number;
        }
        batch.jobs.push_back(progress_of(found->second));
    }
    m_dirty.erase(m_dirty.begin(),
                  m_dirty.begin() + static_cast<std::ptrdiff_t>(count));
    // Ends may be acknowledged only if this batch contains all their effects.
    if (m_dirty.empty())
    {
        auto& ends = m_ends_of_batch[batch.number];
        for (const auto& id : m_with_unsaved_ends)
        {
            const auto found = m_workers.find(id);
            if (found != m_workers.end() &&
                found->second.ends_received > found->second.ends_durable)
            {
                ends.emplace_back(id, found->second.ends_received);
            }
        }
    }
    return batch;
}

auto scheduler::has_unsaved_progress() const -> bool
{
    return !m_dirty.empty() || !m_with_unsaved_ends.empty();
}

auto scheduler::has_unsaved_end() const -> bool
{
    return m_has_unsaved_end;
}

auto scheduler::on_progress_stored(const progress_batch& batch, time_point now)
    -> void
{
    for (const auto& stored : batch.jobs)
    {
        const auto found = m_jobs.find(stored.id);
        if (found == m_jobs.end())
        {
            continue;
        }
        auto& job = found->second;
        if (job.crash_batch != 0 && batch.number >= job.crash_batch)
        {
            job.has_unsaved_crash = false;
            job.crash_batch = 0;
        }
        if (!is_final(found->second.published_state))
        {
            found->second.published_state = stored.state;
            // The retention begins when callers can see the end.
            found->second.ended_at = now;
        }
    }
    log_stored(batch);
    for (const auto& [id, number] : m_ends_of_batch[batch.number])
    {
        const auto worker = m_workers.find(id);
        if (worker != m_workers.end() && worker->second.ends_received >= number)
        {
            auto& durable = worker->second.ends_durable;
            m_counts.ends_durable += number - std::min(durable, number);
            durable = std::max(durable, number);
            worker->second.next_heartbeat_at = now;
        }
    }
    m_ends_of_batch.erase(batch.number);
    std::erase_if(m_with_unsaved_ends,
                  [&](const worker_id& id)
                  {
                      const auto worker = m_workers.find(id);
                      return worker == m_workers.end() ||
                             worker->second.ends_received <=
                                 worker->second.ends_durable;
                  });
}

/// Logs the jobs, and the last end that each worker may forget.
auto scheduler::log_stored(const progress_batch& batch) const -> void
{
    if (!logging::is_enabled(logging::level::info))
    {
        return;
    }
    std::string jobs;
    for (const auto& stored : batch.jobs)
    {
        jobs += (jobs.empty() ? "" : " ") + stored.id.str();
    }
    std::string ends;
    const auto durable = m_ends_of_batch.find(batch.number);
    if (durable != m_ends_of_batch.end())
    {
        for (const auto& [worker, number] : durable->second)
        {
            ends += (ends.empty() ? "" : " ") + worker.str() + ":" +
                    std::to_string(number);
        }
    }
    logging::info("progress is durable")
        .with("epoch", m_epoch)
        .with("batch", batch.number)
        .with("jobs", jobs)
        .with("ends", ends);
}

auto scheduler::on_progress_write_failed(const progress_batch& batch) -> void
{
    m_ends_of_batch.erase(batch.number);
    for (const auto& stored : batch.jobs)
    {
        const auto found = m_jobs.find(stored.id);
        if (found != m_jobs.end())
        {
            found->second.crash_batch = 0;
            mark_dirty(found->second);
        }
    }
}

} // namespace pimentoshunt::cell
