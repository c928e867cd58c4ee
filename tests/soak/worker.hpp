/// @file
/// One worker of the platform: its fence, leases, runs and ends. Time comes in
/// as an argument; used by one thread.
#pragma once

#include "record.hpp"

#include <deque>      // deque
#include <functional> // function
#include <map>        // map
#include <set>        // set
#include <string>     // string

namespace pimentoshunt::soak
{

/// @brief What a payload makes a task do; the worker reads it.
struct task_plan
{
    milliseconds run_time{0};
    bool fails = false;
};

/// @brief The plan of one run, the same for the same run each time.
[[nodiscard]] auto plan_of(const worker_order& order) -> task_plan;

/// @brief A worker that starts whatever it is told to and obeys the highest
/// epoch.
class worker
{
  public:
    using responder = std::function<void(worker_answer)>;

    /// @param clock_rate  how fast its own clock goes
    worker(worker_facts facts, double clock_rate, time_point now,
           std::vector<run_record>& record);

    /// @brief Carries an order out.
    /// @param delayed  it was held up on its way
    auto handle_order(const worker_order& order, bool delayed, time_point now,
                      responder answer) -> void;
    /// @brief The service handed out a ticket for a step.
    auto add_ticket(const std::string& step, const std::string& ticket,
                    time_point now) -> void;
    /// @brief Tasks of these jobs need a ticket.
    auto require_tickets(std::string prefix) -> void;
    /// @brief Ends what is over and answers those who wait for it.
    auto tick(time_point now) -> void;

    [[nodiscard]] auto facts() const -> const worker_facts&
    {
        return m_facts;
    }
    [[nodiscard]] auto clock(time_point now) const -> milliseconds;

  private:
    struct running_task
    {
        /// Its place in the record.
        std::size_t record_index = 0;
        resources need;
        time_point ends_at;
        std::string outcome;
        bool stopping = false;
    };

    struct pending_end
    {
        listed_end listed;
        std::size_t record_index = 0;
        bool lease_expired_since = false;
    };

    struct waiting_heartbeat
    {
        responder answer;
        time_point until;
    };

    using run_key = std::pair<std::string, std::uint64_t>;

    [[nodiscard]] auto is_fenced(std::uint64_t epoch) -> bool;
    [[nodiscard]] auto refusal_reason(const worker_order& order, time_point now)
        -> std::string;
    [[nodiscard]] auto has_ticket(const worker_order& order,
                                  time_point now) const -> bool;
    auto extend_lease(milliseconds lease_end, time_point now) -> void;
    auto start(const worker_order& order, bool delayed, time_point now) -> void;
    auto stop(const worker_order& order, time_point now) -> void;
    auto heartbeat(const worker_order& order, time_point now, responder answer)
        -> void;
    auto remove_durable_ends(std::uint64_t up_to, time_point now) -> void;
    auto end(std::map<run_key, running_task>::iterator entry,
             const std::string& outcome, time_point now) -> void;
    auto expire_lease(time_point now) -> void;
    [[nodiscard]] auto make_answer(time_point now) const -> worker_answer;
    [[nodiscard]] auto make_answer_with_lists(time_point now) const
        -> worker_answer;
    [[nodiscard]] auto used() const -> resources;

    worker_facts m_facts;
    double m_clock_rate;
    time_point m_born;
    std::vector<run_record>& m_record;
    std::string m_ticket_prefix;
    std::map<std::pair<std::string, std::string>, time_point> m_tickets;
    std::uint64_t m_epoch = 0;
    milliseconds m_lease_end{0};
    std::map<run_key, running_task> m_running;
    /// The highest run of a task that was stopped or ended here.
    std::map<std::string, std::uint64_t> m_highest_ended_run;
    std::deque<pending_end> m_ended;
    std::uint64_t m_end_number = 0;
    std::vector<waiting_heartbeat> m_waiting;
};

} // namespace pimentoshunt::soak
