/// @file
/// Tombstones of jobs that were cancelled before they were stored. A submission
/// may still be on its way then: a transaction without an answer, a write that
/// another instance holds, a repeated request. Its row must not exist when it is
/// written, so that a tombstone in its place keeps it out for good.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/clock.hpp>

#include <algorithm>  // all_of
#include <cstddef>    // size_t
#include <functional> // function
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief How the write of a tombstone ended.
enum class tombstone_result
{
    /// No submission of the job that was sent before, or is sent while the
    /// tombstone is kept, will ever be stored.
    durable,
    /// The job has been stored meanwhile; nothing was written.
    job_is_stored,
    /// The store did not answer or did not take the write.
    failed
};

/// @brief Writes tombstones to all parts in which a job may be stored, in one
/// transaction. Used by the control thread only.
template<class Platform>
class tombstone_writer
{
  public:
    using handler = std::function<void(tombstone_result)>;

    tombstone_writer(Platform& platform, store_health& health)
        : m_platform(platform), m_health(health)
    {
    }

    /// @param found  rows of the job as they were read; none is of a stored job.
    ///               Earlier tombstones among them are renewed.
    auto write(const job_id& job, const std::vector<stored_row>& found,
               handler done) -> void
    {
        row_transaction transaction;
        for (std::size_t i = 0; i < parts_per_job; ++i)
        {
            const auto at = job_row(job, i);
            const auto* const row = find_row(found, at);
            transaction.conditions.push_back(
                {at, row == nullptr ? 0 : row->version});
            transaction.writes.push_back({at, tombstone_value});
        }
        m_platform.commit(
            transaction, commit_timeout,
            [this, done = std::move(done)](const commit_result& result)
            {
                const bool answered = result.state == commit_state::committed ||
                                      result.state == commit_state::conflict;
                m_health.record(answered, boot_clock::now());
                done(result_of(result));
            });
    }

  private:
    static constexpr milliseconds commit_timeout{700};

    static auto result_of(const commit_result& result) -> tombstone_result
    {
        if (result.state == commit_state::committed)
        {
            return tombstone_result::durable;
        }
        if (result.state == commit_state::conflict)
        {
            if (holds_job(result.current))
            {
                return tombstone_result::job_is_stored;
            }
            // Another instance has written them at the same time.
            const bool is_complete =
                result.current.size() == parts_per_job &&
                std::all_of(result.current.begin(), result.current.end(),
                            is_tombstone);
            if (is_complete)
            {
                return tombstone_result::durable;
            }
        }
        return tombstone_result::failed;
    }

    Platform& m_platform;
    store_health& m_health;
};

} // namespace pimentoshunt::cell
