/// @file
/// Removes jobs from the store once their retention time is over, for the owner
/// of the cell.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/scheduler.hpp>
#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/logging.hpp>

#include <algorithm>     // find, min
#include <array>         // array
#include <cstdint>       // uint64_t
#include <memory>        // enable_shared_from_this, make_shared
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <utility>       // exchange
#include <vector>        // vector

namespace pimentoshunt::cell
{

/// @brief Tracks which rows hold a job's progress, and removes the rows of
/// expired jobs. Used by the control thread only.
template<class Platform>
class job_remover : public std::enable_shared_from_this<job_remover<Platform>>
{
  public:
    /// Versions of the rows that name the owner of each part of the inbox.
    using inbox_versions = std::array<std::uint64_t, inbox_parts>;

    job_remover(Platform& platform, scheduler& jobs)
        : m_platform(platform), m_scheduler(jobs)
    {
    }

    /// @brief Sets the versions of the epoch rows once all parts of the inbox
    /// have been claimed.
    auto begin(const inbox_versions& versions) -> void
    {
        m_inbox_versions = versions;
    }

    /// @brief Removes nothing from now on.
    auto stop() -> void
    {
        m_ended = true;
    }

    /// @brief Notes that a progress row of a job has this key.
    auto remember_row(const job_id& job, const row_key& at) -> void
    {
        auto& rows = m_progress_rows[job];
        if (std::find(rows.begin(), rows.end(), at) == rows.end())
        {
            rows.push_back(at);
        }
    }

    /// @brief Removes expired jobs, at most @ref max_removals_at_once at a
    /// time.
    auto remove_due(time_point now) -> void
    {
        if (now < m_next_expiry)
        {
            return;
        }
        m_next_expiry = now + expire_interval;
        const auto room = max_removals_at_once -
                          std::min(max_removals_at_once, m_failed.size());
        for (const auto& job : m_scheduler.take_expired(now, room))
        {
            m_removing.insert(job);
            m_failed.push_back(job);
        }
        for (const auto& job : std::exchange(m_failed, {}))
        {
            remove_job(job);
        }
    }

    /// @brief Whether the scheduler has dropped a job whose rows may still
    /// exist; such a job has ended and must be ignored when it is read again.
    [[nodiscard]] auto is_removing(const job_id& job) const -> bool
    {
        return m_removing.contains(job);
    }

  private:
    static constexpr milliseconds commit_timeout{700};
    /// How often expired jobs are looked for.
    static constexpr milliseconds expire_interval{5'000};
    static constexpr std::size_t max_removals_at_once = 25;

    /// The pending removals of one job from its parts of the inbox.
    struct removal
    {
        std::size_t missing = parts_per_job;
        bool failed = false;
    };

    /// Removes the inbox rows first: a job without progress would run again. A
    /// later owner doesn't see such a job: it claims each part before it reads
    /// it, and the conditions of these removals fail after the claim.
    auto remove_job(const job_id& job) -> void
    {
        const auto state = std::make_shared<removal>();
        for (std::size_t i = 0; i < parts_per_job; ++i)
        {
            row_transaction inbox;
            const auto part = inbox_part_number(job, i);
            inbox.conditions.push_back(
                {inbox_epoch_row(inbox_part(part)), m_inbox_versions[part]});
            inbox.removals.push_back(job_row(job, i));
            inbox.removals.push_back(cancel_row(job, i));
            m_platform.commit(
                inbox, commit_timeout,
                [self = this->shared_from_this(), job,
                 state](const commit_result& result)
                {
                    state->failed = state->failed ||
                                    result.state != commit_state::committed;
                    if (--state->missing == 0 && !self->m_ended)
                    {
                        self->on_inbox_removed(job, state->failed);
                    }
                });
        }
    }

    auto on_inbox_removed(const job_id& job, bool failed) -> void
    {
        if (failed)
        {
            logging::info("expired job could not be removed; retrying later")
                .with("job", job);
            m_failed.push_back(job);
            return;
        }
        m_removing.erase(job);
        remove_progress(job);
    }

    auto remove_progress(const job_id& job) -> void
    {
        const auto rows = m_progress_rows[job];
        m_progress_rows.erase(job);
        for (const auto& at : rows)
        {
            row_transaction progress;
            progress.removals.push_back(at);
            m_platform.commit(
                progress, commit_timeout,
                [job](const commit_result& result)
                {
                    logging::debug("removal of an expired job ended")
                        .with("job", job)
                        .with("done", result.state == commit_state::committed);
                });
        }
    }

    Platform& m_platform;
    scheduler& m_scheduler;
    inbox_versions m_inbox_versions{};
    std::unordered_map<job_id, std::vector<row_key>> m_progress_rows;
    /// Dropped jobs whose inbox rows may exist, and those of them to be
    /// retried.
    std::unordered_set<job_id> m_removing;
    std::vector<job_id> m_failed;
    time_point m_next_expiry;
    bool m_ended = false;
};

} // namespace pimentoshunt::cell
