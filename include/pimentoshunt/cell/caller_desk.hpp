/// @file
/// Answers callers at any instance: submissions and cancellations go to the
/// store, look-ups to the owner and, where it does not answer, to the store.
#pragma once

#include <pimentoshunt/cell/deposits.hpp>
#include <pimentoshunt/cell/intake.hpp>
#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/cell/store_reader.hpp>
#include <pimentoshunt/cell/stored.hpp>
#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/logging.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>     // any_of, min
#include <functional>    // function
#include <map>           // map
#include <memory>        // shared_ptr
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <utility>       // move

namespace pimentoshunt::cell
{

/// @brief What the desk asks of the instance around it.
struct caller_desk_context
{
    /// A job's state as the owner has it, when the owner is here.
    std::function<std::optional<job_state>(const job_id&)> owner_state;
    /// Whether the owner is here and has loaded everything.
    std::function<bool()> owner_here;
    /// Sends a look-up to the owner elsewhere; false when it isn't known.
    std::function<bool(std::uint64_t number, const job_id&)> ask_owner;
    /// Jobs of a queue that have not begun; nothing when that is not known.
    std::function<std::optional<std::uint64_t>(const queue_name&)> pending;
    /// Tells the owner of a row of the inbox that is stored.
    std::function<void(const stored_row&)> announce;
    /// Asks an instance that should reach the store.
    deposits::sender deposit;
};

/// @brief The callers' requests of one instance. Control thread only.
template<class Platform>
class caller_desk
{
  public:
    using reply = net::http_server::reply;

    /// @param first_number  of questions to other instances; differs
    ///                      from life to life, as answers may come late
    caller_desk(Platform& outside, boost::asio::io_context& control,
                store_health& health, caller_desk_context around,
                std::uint64_t first_number)
        : m_outside(outside), m_control(control), m_health(health),
          m_around(std::move(around)),
          m_intake(outside, control, health, m_around.announce),
          m_deposits(control, m_around.deposit, first_number),
          m_last_lookup(first_number)
    {
    }

    /// @param in_force  nullptr before the first configuration
    auto serve(const net::server_request& request,
               const configuration* in_force, reply answer) -> void
    {
        if (in_force == nullptr)
        {
            answer(come_back("no configuration has been read yet"));
            return;
        }
        auto wanted = m_outside.read_caller(request, *in_force);
        const auto limit =
            request.deadline.count() > 0
                ? std::min(request.deadline - answer_margin, longest_wait)
                : longest_wait;
        const auto until = boot_clock::now() + limit;
        switch (wanted.wish)
        {
        case caller_wish::submit:
            submit(*wanted.spec, until, std::move(answer));
            return;
        case caller_wish::look_up:
            look_up(wanted.job, std::move(answer));
            return;
        case caller_wish::cancel:
            cancel(wanted.job, until, std::move(answer));
            return;
        case caller_wish::count:
            count(wanted.route->queue.name, answer);
            return;
        case caller_wish::no_queue:
            answer(m_outside.complaint_answer(not_found,
                                              "no queue has this address"));
            return;
        case caller_wish::bad_id:
        case caller_wish::bad_job:
            logging::info("request refused").with("why", wanted.complaint);
            answer(m_outside.complaint_answer(bad_request, wanted.complaint));
            return;
        case caller_wish::bad_method:
            break;
        }
        answer(m_outside.complaint_answer(
            method_not_allowed, "use POST, GET or DELETE with a job's ID"));
    }

    /// @brief The owner elsewhere has answered a look-up.
    auto owner_answered(std::uint64_t number, std::optional<job_state> state)
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
            tell(item->job, *state, item->answer);
            return;
        }
        read_state(item->job, std::move(item->answer));
    }

    /// @brief Stores a job for another instance.
    auto deposit_job(const job_spec& job, deposits::handler done) -> void
    {
        m_intake.submit(job, boot_clock::now() + deposit_limit,
                        std::move(done));
    }

    /// @brief Stores a cancellation for another instance.
    auto deposit_cancellation(const job_id& job, deposits::handler done) -> void
    {
        m_intake.cancel(job, boot_clock::now() + deposit_limit,
                        std::move(done));
    }

    /// @brief Another instance has answered a deposit.
    auto deposit_answered(std::uint64_t number, intake_result result) -> void
    {
        m_deposits.answered(number, result);
    }

  private:
    static constexpr int bad_request = 400;
    static constexpr int not_found = 404;
    static constexpr int method_not_allowed = 405;
    static constexpr int gone = 410;
    static constexpr int unavailable = 503;
    static constexpr int no_answer = 504;
    /// Longest time that a submission's outcome is waited for: a caller that
    /// is told sooner can go to another instance within its own deadline.
    static constexpr milliseconds longest_wait{1'500};
    /// Time for the answer to travel.
    static constexpr milliseconds answer_margin{200};
    /// For the store's answer to an instance that reaches it.
    static constexpr milliseconds deposit_limit{600};
    /// With less time left no other instance is asked: some ten times what
    /// its answer takes.
    static constexpr milliseconds least_for_deposit{100};
    /// The owner answers within a few milliseconds or not at all.
    static constexpr milliseconds owner_limit{250};
    static constexpr milliseconds read_limit{700};
    static constexpr std::chrono::seconds come_back_after{1};
    /// Jobs of which this instance remembers that they exist, or their end.
    static constexpr std::size_t most_remembered = 20'000;

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

    auto come_back(const std::string& why) const -> net::server_response
    {
        auto out = m_outside.complaint_answer(unavailable, why);
        out.retry_after = come_back_after;
        return out;
    }

    auto remember(const job_id& job, job_state state) -> void
    {
        if (m_seen.size() >= most_remembered)
        {
            m_seen.clear();
        }
        m_seen[job] = state;
    }

    auto submit(const job_spec& job, time_point until, reply answer) -> void
    {
        const auto began = boot_clock::now();
        wire::cell_deposit elsewhere;
        elsewhere.set_job(to_bytes(job));
        auto settled = [this, id = job.id, queue = job.queue.name, began,
                        answer = std::move(answer)](intake_result result)
        {
            answer(answer_submission(id, queue, result,
                                     boot_clock::now() - began));
        };
        m_intake.submit(
            job, end_of_try(until),
            or_elsewhere(std::move(elsewhere), until, std::move(settled)));
    }

    auto answer_submission(const job_id& job, const queue_name& queue,
                           intake_result result, boot_clock::duration took)
        -> net::server_response
    {
        switch (result)
        {
        case intake_result::stored:
            logging::info("job accepted")
                .with("job", job)
                .with("queue", queue)
                .with("took", took);
            m_seen.try_emplace(job, job_state::queued);
            return m_outside.state_answer(job_state::queued);
        case intake_result::refused:
            logging::warn("job refused: the store took no write")
                .with("job", job)
                .with("took", took);
            return come_back("the store does not answer; the job was not "
                             "accepted");
        case intake_result::unsettled:
            break;
        }
        logging::warn("job's acceptance is not settled")
            .with("job", job)
            .with("took", took);
        return m_outside.complaint_answer(
            no_answer, "it is not known whether the job was accepted; "
                       "send it again with the same ID");
    }

    /// When one instance's try ends: this one's, or that of another in the time
    /// that is left.
    static auto end_of_try(time_point until) -> time_point
    {
        return std::min(until, boot_clock::now() + deposit_limit);
    }

    /// What this instance could not store, another one may. The row is refused
    /// only if neither has sent it anywhere.
    auto or_elsewhere(wire::cell_deposit what, time_point until,
                      deposits::handler done) -> deposits::handler
    {
        return [this, what = std::move(what), until,
                done = std::move(done)](intake_result own)
        {
            const auto limit = end_of_try(until);
            const auto settled = [own, done](intake_result theirs)
            {
                const bool doubt = own == intake_result::unsettled &&
                                   theirs == intake_result::refused;
                done(doubt ? own : theirs);
            };
            const bool worth_it = own != intake_result::stored &&
                                  limit > boot_clock::now() + least_for_deposit;
            if (!worth_it || !m_deposits.ask(what, limit, settled))
            {
                done(own);
            }
        };
    }

    auto cancel(const job_id& job, time_point until, reply answer) -> void
    {
        const auto seen = m_seen.find(job);
        if (seen != m_seen.end())
        {
            store_cancel(job, until, std::move(answer));
            return;
        }
        read_ranges(
            m_outside, job_ranges(job), read_limit,
            [this, job, until,
             answer = std::move(answer)](std::optional<table_rows> found)
            {
                m_health.record(found.has_value(), boot_clock::now());
                if (!found)
                {
                    answer(come_back("the store does not answer; the job "
                                     "goes on"));
                    return;
                }
                if (found->rows.empty())
                {
                    answer(no_such_job());
                    return;
                }
                store_cancel(job, until, answer);
            });
    }

    auto store_cancel(const job_id& job, time_point until, reply answer) -> void
    {
        wire::cell_deposit elsewhere;
        elsewhere.set_cancelled(job.str());
        m_intake.cancel(
            job, end_of_try(until),
            or_elsewhere(
                std::move(elsewhere), until,
                [this, job, answer = std::move(answer)](intake_result result)
                {
                    logging::info("cancellation")
                        .with("job", job)
                        .with("stored", result == intake_result::stored);
                    if (result == intake_result::stored)
                    {
                        answer(m_outside.state_answer(job_state::cancelled));
                        return;
                    }
                    answer(
                        come_back("the store does not answer; cancel the job "
                                  "again"));
                }));
    }

    auto tell(const job_id& job, job_state state, const reply& answer) -> void
    {
        remember(job, state);
        answer(m_outside.state_answer(state));
    }

    auto look_up(const job_id& job, reply answer) -> void
    {
        const auto seen = m_seen.find(job);
        if (seen != m_seen.end() && is_final(seen->second))
        {
            answer(m_outside.state_answer(seen->second));
            return;
        }
        if (m_around.owner_here())
        {
            const auto state = m_around.owner_state(job);
            if (state)
            {
                tell(job, *state, answer);
                return;
            }
            read_state(job, std::move(answer));
            return;
        }
        const auto number = ++m_last_lookup;
        if (!m_around.ask_owner(number, job))
        {
            read_state(job, std::move(answer));
            return;
        }
        auto item = std::make_shared<lookup>(m_control, job, std::move(answer));
        m_lookups[number] = item;
        item->timer.expires_after(owner_limit);
        item->timer.async_wait(
            [this, number](auto fault)
            {
                if (!fault)
                {
                    owner_answered(number, std::nullopt);
                }
            });
    }

    /// The state as the store has it.
    auto read_state(const job_id& job, reply answer) -> void
    {
        read_ranges(m_outside, job_ranges(job), read_limit,
                    [this, job, answer = std::move(answer)](
                        std::optional<table_rows> found)
                    {
                        m_health.record(found.has_value(), boot_clock::now());
                        if (!found)
                        {
                            answer(come_back("the store does not answer"));
                            return;
                        }
                        if (found->rows.empty())
                        {
                            answer(no_such_job());
                            return;
                        }
                        const bool cancelled = std::any_of(
                            found->rows.begin(), found->rows.end(),
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
            progress_ranges(job), answer,
            [this, job, cancelled, answer](const std::vector<stored_row>& rows)
            {
                if (rows.empty())
                {
                    tell_if_there(job, cancelled, answer);
                    return;
                }
                tell(job, state_in(rows, cancelled), answer);
            });
    }

    /// No progress: it has none yet, or the job was removed between the two
    /// readings. Its rows in the inbox go first.
    auto tell_if_there(const job_id& job, bool cancelled, const reply& answer)
        -> void
    {
        read_rows(
            job_ranges(job), answer,
            [this, job, cancelled, answer](const std::vector<stored_row>& rows)
            {
                if (rows.empty())
                {
                    answer(no_such_job());
                    return;
                }
                tell(job, state_in({}, cancelled), answer);
            });
    }

    /// Reads rows for an answer, which is to come back when the store fails.
    template<class Step>
    auto read_rows(const std::vector<row_range>& ranges, const reply& answer,
                   Step step) -> void
    {
        read_ranges(m_outside, ranges, read_limit,
                    [this, answer, step = std::move(step)](
                        const std::optional<table_rows>& found)
                    {
                        if (!found)
                        {
                            answer(come_back("the store does not answer"));
                            return;
                        }
                        step(found->rows);
                    });
    }

    [[nodiscard]] auto no_such_job() const -> net::server_response
    {
        return m_outside.complaint_answer(gone, "there is no such job");
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
        const auto jobs = m_around.pending(queue);
        if (!jobs)
        {
            answer(come_back("the owner of the cell is not known"));
            return;
        }
        answer(m_outside.count_answer(*jobs));
    }

    Platform& m_outside;
    boost::asio::io_context& m_control;
    store_health& m_health;
    caller_desk_context m_around;
    intake<Platform> m_intake;
    deposits m_deposits;
    std::uint64_t m_last_lookup;
    std::map<std::uint64_t, std::shared_ptr<lookup>> m_lookups;
    std::unordered_map<job_id, job_state> m_seen;
};

} // namespace pimentoshunt::cell
