/// @file
/// Model of one worker of the platform: fencing by epoch, lease, running tasks and
/// ended runs. The time is passed as an argument. Used by the platform's thread
/// only.
#pragma once

#include "record.hpp"

#include <deque>      // deque
#include <functional> // function
#include <map>        // map
#include <set>        // set
#include <string>     // string

namespace pimentoshunt::soak
{

/// @brief Duration and result of a run, derived from its payload.
struct task_plan
{
    milliseconds run_time{0};
    bool fails = false;
};

/// @brief The plan of one run; always the same for the same task and run.
[[nodiscard]] auto plan_of(const worker_order& order) -> task_plan;

/// @brief A worker that refuses orders of an epoch lower than the highest received
/// so far. It does not check its capacity: the checker reports overcommitment.
class worker
{
  public:
    using responder = std::function<void(worker_answer)>;

    /// @param clock_rate  speed of the worker's clock relative to real time
    /// @param record  receives all runs; outlives the worker
    worker(worker_facts facts, double clock_rate, time_point now,
           std::vector<run_record>& record);

    /// @brief Carries out or refuses an order. A heartbeat may be answered later,
    /// by tick().
    /// @param delayed  whether a fault delayed the order
    auto handle_order(const worker_order& order, bool delayed, time_point now,
                      responder answer) -> void;
    /// @brief Registers a ticket that the approval service issued for a step.
    auto add_ticket(const std::string& step, const std::string& ticket,
                    time_point now) -> void;
    /// @brief Requires a ticket for tasks whose payload contains @p prefix.
    auto require_tickets(std::string prefix) -> void;
    /// @brief Ends runs that are due or whose lease has expired, and answers
    /// waiting heartbeats.
    auto tick(time_point now) -> void;

    [[nodiscard]] auto facts() const -> const worker_facts&
    {
        return m_facts;
    }
    /// @brief The time of the worker's own clock, since its start.
    [[nodiscard]] auto clock(time_point now) const -> milliseconds;

  private:
    struct running_task
    {
        /// Index in @ref m_record.
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

    /// Whether @p epoch is lower than the highest so far; raises that one.
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
    /// The highest run number that was stopped or ended here, by task. Starts up
    /// to it are refused.
    std::map<std::string, std::uint64_t> m_highest_ended_run;
    std::deque<pending_end> m_ended;
    std::uint64_t m_end_number = 0;
    std::vector<waiting_heartbeat> m_waiting;
};

} // namespace pimentoshunt::soak
