/// @file
/// Inbox writes of this instance's callers. Each goes to the store and, if that
/// fails, to another instance, or the other way round while the store fails
/// here. Used by the control thread only.
#pragma once

#include <pimentoshunt/cell/forwarded_writes.hpp>
#include <pimentoshunt/cell/inbox_writer.hpp>
#include <pimentoshunt/cell/row_codec.hpp>
#include <pimentoshunt/cell/store_health.hpp>

#include <algorithm>  // min
#include <functional> // function
#include <utility>    // move

namespace pimentoshunt::cell
{

/// @brief What is known of a write that two instances have tried.
[[nodiscard]] inline auto combine(inbox_write_result one,
                                  inbox_write_result other)
    -> inbox_write_result
{
    for (const auto settled :
         {inbox_write_result::stored, inbox_write_result::cancelled})
    {
        if (one == settled || other == settled)
        {
            return settled;
        }
    }
    return one == inbox_write_result::refused ? other : one;
}

/// @brief Stores submissions and cancellations here or at another instance. The
/// result is @c refused only if neither has sent the write to the store.
template<class Platform>
class routed_writes
{
  public:
    using handler = forwarded_writes::handler;

    /// @param announce  called for each row stored here
    /// @param send  forwards a write to an instance that can probably reach the
    ///              store
    routed_writes(
        Platform& platform, boost::asio::io_context& control,
        store_health& health,
        const typename inbox_writer<Platform>::stored_handler& announce,
        forwarded_writes::sender send, std::uint64_t first_number)
        : m_health(health), m_writer(platform, control, health, announce),
          m_forwarded(control, std::move(send), first_number)
    {
    }

    /// @param reply_deadline  when the caller has to be answered
    auto submit(const job_spec& job, time_point reply_deadline, handler done)
        -> void
    {
        wire::cell_deposit forwarded;
        forwarded.set_job(to_bytes(job));
        route(
            std::move(forwarded),
            [this, job](time_point limit, handler on_end)
            {
                m_writer.submit(job, limit, std::move(on_end));
            },
            reply_deadline, std::move(done));
    }

    auto cancel(const job_id& job, time_point reply_deadline, handler done)
        -> void
    {
        wire::cell_deposit forwarded;
        forwarded.set_cancelled(job.str());
        route(
            std::move(forwarded),
            [this, job](time_point limit, handler on_end)
            {
                m_writer.cancel(job, limit, std::move(on_end));
            },
            reply_deadline, std::move(done));
    }

    /// @brief Stores a job on behalf of another instance.
    auto store_forwarded_job(const job_spec& job, handler done) -> void
    {
        m_writer.submit(job, boot_clock::now() + attempt_timeout,
                        std::move(done));
    }

    /// @brief Stores a cancellation on behalf of another instance.
    auto store_forwarded_cancellation(const job_id& job, handler done) -> void
    {
        m_writer.cancel(job, boot_clock::now() + attempt_timeout,
                        std::move(done));
    }

    /// @brief Handles another instance's answer to a forwarded write.
    auto on_forward_answer(std::uint64_t number, inbox_write_result result)
        -> void
    {
        m_forwarded.on_answer(number, result);
    }

  private:
    /// Writes to the store from here until a time limit.
    using attempt = std::function<void(time_point, handler)>;

    /// Time for one instance's attempt to write to the store.
    static constexpr milliseconds attempt_timeout{600};
    /// With less time left no second attempt is made; about ten times the usual
    /// round trip.
    static constexpr milliseconds min_attempt_time{100};

    /// End of one attempt, by this instance or by another one within the time
    /// that is left.
    static auto attempt_deadline(time_point reply_deadline) -> time_point
    {
        return std::min(reply_deadline, boot_clock::now() + attempt_timeout);
    }

    static auto has_time(time_point reply_deadline) -> bool
    {
        return reply_deadline > boot_clock::now() + min_attempt_time;
    }

    auto route(wire::cell_deposit write, const attempt& store_here,
               time_point reply_deadline, handler done) -> void
    {
        const auto after_forward =
            [store_here, reply_deadline, done](inbox_write_result theirs)
        {
            if (is_settled(theirs) || !has_time(reply_deadline))
            {
                done(theirs);
                return;
            }
            store_here(attempt_deadline(reply_deadline),
                       [theirs, done](inbox_write_result own)
                       {
                           done(combine(own, theirs));
                       });
        };
        const bool forwards_first =
            m_health.fails_now(boot_clock::now()) && has_time(reply_deadline);
        if (forwards_first &&
            m_forwarded.forward(write, attempt_deadline(reply_deadline),
                                after_forward))
        {
            return;
        }
        store_here(attempt_deadline(reply_deadline),
                   [this, write = std::move(write), reply_deadline,
                    done](inbox_write_result own)
                   {
                       after_attempt(write, own, reply_deadline, done);
                   });
    }

    auto after_attempt(const wire::cell_deposit& write, inbox_write_result own,
                       time_point reply_deadline, const handler& done) -> void
    {
        const bool forwards = !is_settled(own) && has_time(reply_deadline);
        const auto on_end = [own, done](inbox_write_result theirs)
        {
            done(combine(own, theirs));
        };
        if (!forwards || !m_forwarded.forward(
                             write, attempt_deadline(reply_deadline), on_end))
        {
            done(own);
        }
    }

    store_health& m_health;
    inbox_writer<Platform> m_writer;
    forwarded_writes m_forwarded;
};

} // namespace pimentoshunt::cell
