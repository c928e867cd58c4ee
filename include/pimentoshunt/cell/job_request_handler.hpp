/// @file
/// Answers callers' requests for jobs at any instance. Submissions and
/// cancellations are written to the store, or forwarded to another instance if
/// the store is unreachable; look-ups ask the owner, then the store.
#pragma once

#include <pimentoshunt/cell/job_canceller.hpp>
#include <pimentoshunt/cell/outage_answer.hpp>
#include <pimentoshunt/cell/policy/refusals.hpp>
#include <pimentoshunt/cell/policy/uncertain_writes.hpp>
#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/request_authorizer.hpp>
#include <pimentoshunt/cell/routed_writes.hpp>
#include <pimentoshunt/cell/row_codec.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/cell/store_reader.hpp>
#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/cell/timed_reply.hpp>
#include <pimentoshunt/logging.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>     // any_of, min
#include <chrono>        // floor, system_clock
#include <functional>    // function
#include <map>           // map
#include <memory>        // shared_ptr
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <utility>       // move

namespace pimentoshunt::cell
{

/// @brief Callbacks into the instance that the request handler needs.
struct job_request_context
{
    /// State of a job according to the owner role of this instance. Called only
    /// if @ref is_owner_loaded is true.
    std::function<std::optional<job_state>(const job_id&)> owner_state;
    /// Whether this instance owns the cell and has loaded its state.
    std::function<bool()> is_owner_loaded;
    /// Sends a look-up to the owner at another instance; false if the owner is
    /// unknown.
    std::function<bool(std::uint64_t number, const job_id&)> ask_owner;
    /// Number of jobs of a queue that have not started; empty if not known.
    std::function<std::optional<std::uint64_t>(const queue_name&)> pending;
    /// Why a new job is refused, if it is.
    std::function<std::optional<policy::refusal>(const job_spec&)> refusal_of =
        [](const job_spec&)
    {
        return std::optional<policy::refusal>();
    };
    /// Announces a stored inbox row to the owner.
    std::function<void(const stored_row&)> announce;
    /// Forwards a write to an instance that can probably reach the store.
    forwarded_writes::sender send_forwarded_write;
    authorization_context authorization = {};
};

/// @brief Handles the requests of this instance's callers. Used by the control
/// thread only.
template<class Platform>
class job_request_handler
{
  public:
    using reply = net::http_server::reply;

    /// @param first_number  number before the first request to another
    ///                      instance; must differ between incarnations, since
    ///                      late answers may arrive after a restart
    job_request_handler(Platform& platform, boost::asio::io_context& control,
                        store_health& health, job_request_context context,
                        std::uint64_t first_number)
        : m_platform(platform), m_control(control), m_health(health),
          m_context(std::move(context)),
          m_authorizer(platform, m_context.authorization),
          m_writes(platform, control, health, m_context.announce,
                   m_context.send_forwarded_write, first_number),
          m_canceller(platform, health, m_writes,
                      [this](const job_id& job)
                      {
                          m_uncertain.settle(job);
                      }),
          m_last_lookup(first_number)
    {
    }

    /// @param in_force  the current configuration; nullptr before the first one
    auto serve(const net::server_request& request,
               const configuration* in_force, reply answer) -> void
    {
        if (in_force == nullptr)
        {
            answer(unavailable_answer("no configuration has been read yet"));
            return;
        }
        const auto limit =
            request.deadline.count() > 0
                ? std::min(request.deadline - answer_margin, max_wait)
                : max_wait;
        const auto reply_deadline = boot_clock::now() + limit;
        m_authorizer.authorize(
            request, *in_force, std::move(answer),
            [this, reply_deadline](caller_request parsed, reply to)
            {
                serve_authorized(std::move(parsed), reply_deadline,
                                 std::move(to));
            });
    }

    /// @brief Handles the owner's answer to a look-up; without a state the
    /// store is read.
    auto on_owner_answer(std::uint64_t number, std::optional<job_state> state)
        -> void
    {
        const auto found = m_lookups.find(number);
        if (found == m_lookups.end())
        {
            return;
        }
        auto item = std::move(found->second);
        m_lookups.erase(found);
        if (state)
        {
            answer_state(item->job, *state, item->answer);
            return;
        }
        read_state(item->job, std::move(item->answer));
    }

    /// @brief Stores a job on behalf of another instance.
    auto store_forwarded_job(const job_spec& job,
                             forwarded_writes::handler done) -> void
    {
        m_writes.store_forwarded_job(job, std::move(done));
    }

    /// @brief Stores a cancellation on behalf of another instance.
    auto store_forwarded_cancellation(const job_id& job,
                                      forwarded_writes::handler done) -> void
    {
        m_writes.store_forwarded_cancellation(job, std::move(done));
    }

    /// @brief Handles another instance's answer to a forwarded write.
    auto on_forward_answer(std::uint64_t number, inbox_write_result result)
        -> void
    {
        m_writes.on_forward_answer(number, result);
    }

  private:
    static constexpr int bad_request = 400;
    static constexpr int not_found = 404;
    static constexpr int method_not_allowed = 405;
    static constexpr int gone = 410;
    static constexpr int unavailable = 503;
    static constexpr int no_answer = 504;
    /// Longest wait for the outcome of a submission. A caller that gets an
    /// answer before its own deadline can still try another instance.
    static constexpr milliseconds max_wait{1'500};
    /// Time reserved for the answer's way back to the caller.
    static constexpr milliseconds answer_margin{200};
    /// The owner answers within a few milliseconds or not at all.
    static constexpr milliseconds owner_timeout{250};
    /// Until the answer begins. The caller is answered after the longest wait
    /// while a large answer still arrives.
    static constexpr milliseconds read_timeout{700};
    /// Retry-After while no configuration or owner is known.
    static constexpr std::chrono::seconds retry_after_delay{1};
    /// Jobs whose existence or final state is cached.
    static constexpr std::size_t max_known_states = 20'000;

    struct lookup
    {
        lookup(boost::asio::io_context& control, job_id which, reply to)
            : timer(control), job(std::move(which)), answer(std::move(to))
        {
        }

        boost::asio::steady_timer timer;
        job_id job;
        reply answer;
    };

    auto serve_authorized(caller_request parsed, time_point reply_deadline,
                          reply answer) -> void
    {
        switch (parsed.request_kind)
        {
        case caller_request_kind::submit:
            check_and_submit(*parsed.spec, reply_deadline, std::move(answer));
            return;
        case caller_request_kind::look_up:
            look_up(parsed.job, in_time(parsed.job, std::move(answer)));
            return;
        case caller_request_kind::cancel:
            cancel({parsed.job, parsed.workspace, reply_deadline,
                    in_time(parsed.job, std::move(answer))});
            return;
        case caller_request_kind::count:
            count(parsed.route->queue.name, answer);
            return;
        case caller_request_kind::no_queue:
            answer(m_platform.error_answer(not_found,
                                           "no queue has this address"));
            return;
        case caller_request_kind::invalid_id:
        case caller_request_kind::invalid_job:
            logging::info("request refused").with("why", parsed.error_text);
            answer(m_platform.error_answer(bad_request, parsed.error_text));
            return;
        case caller_request_kind::unsupported_method:
            break;
        }
        answer(m_platform.error_answer(
            method_not_allowed, "use POST, GET or DELETE with a job's ID"));
    }

    auto unavailable_answer(const std::string& why) const
        -> net::server_response
    {
        auto out = m_platform.error_answer(unavailable, why);
        out.retry_after = retry_after_delay;
        return out;
    }

    auto answer_outage(const job_id& job, const std::string& why) const
        -> net::server_response
    {
        return outage_answer(m_platform, m_health, job, why);
    }

    /// Answers a caller after the longest wait if the store has not by then.
    auto in_time(const job_id& job, reply answer) -> reply
    {
        return reply_by(
            m_control, boot_clock::now() + max_wait, std::move(answer),
            [this, job]
            {
                return answer_outage(job, "the store does not answer in time");
            });
    }

    auto remember(const job_id& job, job_state state) -> void
    {
        if (m_known_states.size() >= max_known_states)
        {
            m_known_states.clear();
        }
        m_known_states[job] = state;
    }

    /// Refuses a job unless it has or may have been stored before: a caller may
    /// send it again after an answer was lost.
    auto check_and_submit(job_spec job, time_point reply_deadline, reply answer)
        -> void
    {
        const bool may_be_stored =
            m_known_states.contains(job.id) || m_uncertain.contains(job.id);
        const auto refused =
            may_be_stored ? std::nullopt : m_context.refusal_of(job);
        if (!refused)
        {
            submit(std::move(job), reply_deadline, std::move(answer));
            return;
        }
        auto timed = reply_by(m_control, reply_deadline, std::move(answer),
                              [this]
                              {
                                  return unknown_outcome();
                              });
        const auto ranges = job_ranges(job.id);
        read_ranges(m_platform, ranges, read_timeout,
                    [this, job = std::move(job), refused = *refused,
                     reply_deadline,
                     answer = std::move(timed)](std::optional<table_rows> found)
                    {
                        m_health.record(found.has_value(), boot_clock::now());
                        if (boot_clock::now() >= reply_deadline)
                        {
                            answer(unknown_outcome());
                            return;
                        }
                        if (!found || !found->rows.empty())
                        {
                            submit(job, reply_deadline, answer);
                            return;
                        }
                        logging::info("job refused")
                            .with("job", job.id)
                            .with("queue", job.queue.name)
                            .with("why", refused.why);
                        answer(refusal_answer(refused));
                    });
    }

    [[nodiscard]] auto refusal_answer(const policy::refusal& refused) const
        -> net::server_response
    {
        if (refused.never_runs)
        {
            return m_platform.error_answer(bad_request, refused.why);
        }
        auto out = m_platform.error_answer(unavailable, refused.why);
        out.retry_after = refused.retry_after;
        return out;
    }

    auto submit(job_spec job, time_point reply_deadline, reply answer) -> void
    {
        const auto began = boot_clock::now();
        job.accepted_at =
            std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
        m_writes.submit(job, reply_deadline,
                        [this, id = job.id, queue = job.queue.name, began,
                         answer = std::move(answer)](inbox_write_result result)
                        {
                            answer(answer_submission(
                                id, queue, result, boot_clock::now() - began));
                        });
    }

    auto answer_submission(const job_id& job, const queue_name& queue,
                           inbox_write_result result, boot_clock::duration took)
        -> net::server_response
    {
        if (result == inbox_write_result::cancelled)
        {
            logging::info("job refused: it was cancelled before it was stored")
                .with("job", job)
                .with("queue", queue);
            m_uncertain.settle(job);
            return m_platform.error_answer(
                gone, "the job was cancelled before it was accepted; submit "
                      "it again under another ID");
        }
        const auto known = m_known_states.find(job);
        const bool is_known = known != m_known_states.end();
        if (result != inbox_write_result::stored && is_known)
        {
            return m_platform.state_answer(known->second);
        }
        if (result == inbox_write_result::refused && m_uncertain.contains(job))
        {
            result = inbox_write_result::indeterminate;
        }
        switch (result)
        {
        case inbox_write_result::stored:
            logging::info("job accepted")
                .with("job", job)
                .with("queue", queue)
                .with("took", took);
            if (!is_known)
            {
                remember(job, job_state::queued);
            }
            m_uncertain.settle(job);
            return m_platform.state_answer(job_state::queued);
        case inbox_write_result::refused:
            logging::warn("job refused: the store did not accept the write")
                .with("job", job)
                .with("took", took);
            return answer_outage(job, "the store does not answer; the job "
                                      "was not accepted");
        case inbox_write_result::indeterminate:
        case inbox_write_result::cancelled:
            break;
        }
        logging::warn("job submission has an unknown outcome")
            .with("job", job)
            .with("took", took);
        m_uncertain.add(job, boot_clock::now());
        return unknown_outcome();
    }

    [[nodiscard]] auto unknown_outcome() const -> net::server_response
    {
        return m_platform.error_answer(
            no_answer, "it is not known whether the job was accepted; "
                       "send it again with the same ID");
    }

    auto cancel(const cancellation& request) -> void
    {
        if (m_known_states.contains(request.job))
        {
            m_canceller.cancel_stored(request);
            return;
        }
        m_canceller.cancel(request);
    }

    auto answer_state(const job_id& job, job_state state, const reply& answer)
        -> void
    {
        remember(job, state);
        answer(m_platform.state_answer(state));
    }

    auto look_up(const job_id& job, reply answer) -> void
    {
        const auto seen = m_known_states.find(job);
        if (seen != m_known_states.end() && is_final(seen->second))
        {
            answer(m_platform.state_answer(seen->second));
            return;
        }
        if (m_context.is_owner_loaded())
        {
            const auto state = m_context.owner_state(job);
            if (state)
            {
                answer_state(job, *state, answer);
                return;
            }
            read_state(job, std::move(answer));
            return;
        }
        const auto number = ++m_last_lookup;
        if (!m_context.ask_owner(number, job))
        {
            read_state(job, std::move(answer));
            return;
        }
        auto item = std::make_shared<lookup>(m_control, job, std::move(answer));
        m_lookups[number] = item;
        item->timer.expires_after(owner_timeout);
        item->timer.async_wait(
            [this, number](auto fault)
            {
                if (!fault)
                {
                    on_owner_answer(number, std::nullopt);
                }
            });
    }

    /// Reads the state from the store.
    auto read_state(const job_id& job, reply answer) -> void
    {
        read_ranges(
            m_platform, job_ranges(job), read_timeout,
            [this, job,
             answer = std::move(answer)](std::optional<table_rows> found)
            {
                m_health.record(found.has_value(), boot_clock::now());
                if (!found)
                {
                    answer(answer_outage(job, "the store does not answer"));
                    return;
                }
                if (!holds_job(found->rows))
                {
                    answer(answer_absent(job, found->rows));
                    return;
                }
                const bool cancelled =
                    std::any_of(found->rows.begin(), found->rows.end(),
                                [](const stored_row& row)
                                {
                                    return !cancelled_job(row.at).empty();
                                });
                read_stored_progress(job, cancelled, answer);
            });
    }

    auto read_stored_progress(const job_id& job, bool cancelled,
                              const reply& answer) -> void
    {
        read_rows(
            job, progress_ranges(job), answer,
            [this, job, cancelled, answer](const std::vector<stored_row>& rows)
            {
                if (rows.empty())
                {
                    answer_if_stored(job, cancelled, answer);
                    return;
                }
                answer_state(job, state_in(rows, cancelled), answer);
            });
    }

    /// Handles a job without stored progress: either it has none yet, or it was
    /// removed between the two reads. A removal deletes the inbox rows first,
    /// so they tell which.
    auto answer_if_stored(const job_id& job, bool cancelled,
                          const reply& answer) -> void
    {
        read_rows(
            job, job_ranges(job), answer,
            [this, job, cancelled, answer](const std::vector<stored_row>& rows)
            {
                if (!holds_job(rows))
                {
                    answer(answer_absent(job, rows));
                    return;
                }
                answer_state(job, state_in({}, cancelled), answer);
            });
    }

    /// Reads rows; answers 503 if the store does not respond.
    template<class Step>
    auto read_rows(const job_id& job, const std::vector<row_range>& ranges,
                   const reply& answer, Step step) -> void
    {
        read_ranges(
            m_platform, ranges, read_timeout,
            [this, job, answer,
             step = std::move(step)](const std::optional<table_rows>& found)
            {
                if (!found)
                {
                    answer(answer_outage(job, "the store does not answer"));
                    return;
                }
                step(found->rows);
            });
    }

    /// The answer for a job that a read has not found.
    /// @param rows  what the read has found instead
    [[nodiscard]] auto answer_absent(const job_id& job,
                                     const std::vector<stored_row>& rows) const
        -> net::server_response
    {
        const bool is_kept_out =
            std::any_of(rows.begin(), rows.end(), is_tombstone);
        return !is_kept_out && m_uncertain.may_arrive(job, boot_clock::now())
                   ? unavailable_answer(
                         "it is not known yet whether the job was accepted")
                   : m_platform.error_answer(gone, "there is no such job");
    }

    static auto state_in(const std::vector<stored_row>& rows, bool cancelled)
        -> job_state
    {
        auto state = cancelled ? job_state::cancelled : job_state::queued;
        for (const auto& row : rows)
        {
            const auto stored = read_progress(row.value);
            if (stored && is_final(stored->state) &&
                stored->state != job_state::cancelled)
            {
                return stored->state;
            }
            if (stored && !cancelled && stored->state != job_state::queued)
            {
                state = stored->state;
            }
        }
        return state;
    }

    auto count(const queue_name& queue, const reply& answer) -> void
    {
        const auto jobs = m_context.pending(queue);
        if (!jobs)
        {
            answer(unavailable_answer("the owner of the cell is not known"));
            return;
        }
        answer(m_platform.count_answer(*jobs));
    }

    Platform& m_platform;
    boost::asio::io_context& m_control;
    store_health& m_health;
    job_request_context m_context;
    request_authorizer<Platform> m_authorizer;
    routed_writes<Platform> m_writes;
    job_canceller<Platform> m_canceller;
    std::uint64_t m_last_lookup;
    std::map<std::uint64_t, std::shared_ptr<lookup>> m_lookups;
    std::unordered_map<job_id, job_state> m_known_states;
    /// Jobs of a write with an unknown outcome. It may still reach the store
    /// after a read that did not find the job.
    policy::uncertain_writes m_uncertain;
};

} // namespace pimentoshunt::cell
