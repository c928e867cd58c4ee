/// @file
/// Instances that answer callers' requests for jobs on a fake store, and know no
/// owner. Used on the test's own thread.
#pragma once

#include "fakes/fake_cell_pool.hpp"

#include <pimentoshunt/cell/job_request_handler.hpp>

#include <criterion/criterion.h>

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <utility>  // move

namespace pimentoshunt::fakes
{

/// @brief Reads each request as a look-up of the job that its target names, with
/// POST as its submission and with DELETE as its cancellation.
class fake_caller_platform : public fake_cell_platform
{
  public:
    using fake_cell_platform::fake_cell_platform;
    /// Whether reads get no answer.
    bool drops_reads = false;

    auto read(const cell::row_range& range, milliseconds limit,
              cell::read_handler done) -> void
    {
        if (!drops_reads)
        {
            fake_cell_platform::read(range, limit, std::move(done));
        }
    }

    [[nodiscard]] auto read_caller(const net::server_request& request,
                                   const cell::configuration&) const
        -> cell::caller_request
    {
        cell::caller_request out;
        out.request_kind = cell::caller_request_kind::look_up;
        out.job = job_id(request.target);
        if (request.method == "POST")
        {
            out.request_kind = cell::caller_request_kind::submit;
            out.spec = simple_job(request.target, 1, 1);
        }
        if (request.method == "DELETE")
        {
            out.request_kind = cell::caller_request_kind::cancel;
        }
        return out;
    }

    [[nodiscard]] auto state_answer(cell::job_state state) const
        -> net::server_response
    {
        return {200, cell::to_string(state)};
    }

    [[nodiscard]] auto count_answer(std::uint64_t) const -> net::server_response
    {
        return {};
    }

    [[nodiscard]] auto error_answer(int status, const std::string& text) const
        -> net::server_response
    {
        return {status, text};
    }
};

/// @brief One instance that takes callers' requests.
struct caller_instance
{
    caller_instance(boost::asio::io_context& control, fake_cell_store& store,
                    fake_cell_pool& pool)
        : platform(control, store, pool), m_control(control)
    {
    }

    fake_caller_platform platform;
    cell::store_health health;
    /// What the owner's view says of each new job.
    std::optional<cell::policy::refusal> refusal;
    /// How long callers wait.
    milliseconds deadline{0};

    /// @brief Takes a request; @ref answer is empty until it is answered.
    auto take(const std::string& method, const job_id& job) -> void
    {
        net::server_request request;
        request.method = method;
        request.target = job.str();
        request.deadline = deadline;
        answer.reset();
        m_handler.serve(request, &m_in_force,
                        [this](net::server_response to)
                        {
                            answer = std::move(to);
                        });
    }

    /// @brief Takes a request and waits for its answer, for at most 5 s.
    auto ask(const std::string& method, const job_id& job)
        -> net::server_response
    {
        take(method, job);
        const auto limit = boot_clock::now() + std::chrono::seconds(5);
        while (!answer && boot_clock::now() < limit)
        {
            m_control.restart();
            m_control.run_one_for(milliseconds(50));
        }
        cr_assert(answer.has_value());
        return *answer;
    }

    std::optional<net::server_response> answer;

  private:
    auto context() -> cell::job_request_context
    {
        cell::job_request_context out;
        out.is_owner_loaded = []
        {
            return false;
        };
        out.ask_owner = [](std::uint64_t, const job_id&)
        {
            return false;
        };
        out.refusal_of = [this](const cell::job_spec&)
        {
            return refusal;
        };
        out.announce = [](const cell::stored_row&) {};
        out.send_forwarded_write = [](const wire::cell_deposit&)
        {
            return false;
        };
        return out;
    }

    boost::asio::io_context& m_control;
    cell::configuration m_in_force;
    cell::job_request_handler<fake_caller_platform> m_handler{
        platform, m_control, health, context(), 1};
};

} // namespace pimentoshunt::fakes
