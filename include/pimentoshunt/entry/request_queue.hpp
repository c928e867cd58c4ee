/// @file
/// The requests that wait at one entry: whom they are asked of, and which of
/// them a grant goes to (late binding).
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/queued_request.hpp>
#include <pimentoshunt/identifier.hpp>

#include <cstdint>       // uint64_t
#include <map>           // map
#include <optional>      // optional
#include <random>        // minstd_rand
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::entry
{

/// @brief Limits of the desk.
struct request_queue_limits
{
    /// Waiting requests, then new ones are refused.
    std::size_t queue_limit = 4096;
    /// A request asked of one owner only is asked of all after this.
    milliseconds ask_all_after{4};
    /// What a refused caller is told to wait.
    milliseconds retry_after{1'000};
};

/// @brief What one owner is asked for, of one workload.
struct workload_demand
{
    workload_name workload;
    std::int64_t count = 0;
    time_point deadline;
    time_point waiting_since;

    friend auto operator==(const workload_demand&, const workload_demand&)
        -> bool = default;
};

/// @brief Queue and binding of one entry. Single-threaded: it belongs to the
/// control thread.
///
/// While some owner seems to have room, a request is asked of that owner
/// alone, so that one request does not take a slot at each owner; otherwise,
/// and when the answer is late, it is asked of all.
class request_queue
{
  public:
    request_queue(request_queue_limits limits, std::uint64_t seed)
        : m_limits(limits), m_random(static_cast<unsigned>(seed))
    {
    }

    /// @brief Queues a request, or refuses it at once.
    auto enqueue(const queued_request_ptr& item, time_point now) -> void;

    /// @brief Takes a request out that its caller has given up.
    auto cancelled(std::uint64_t number) -> void;

    /// @brief Gives a grant to the most urgent request of its workload.
    /// @return false when nothing of that workload waits: give it back
    auto bind(const grant& item) -> bool;

    /// @brief Takes the time that runs of a workload may need; what could no
    ///        longer end in time is not started.
    /// @param run_time  0 where nothing is known
    auto set_expected_run_time(const workload_name& name, milliseconds run_time)
        -> void;

    /// @brief Refuses those that are too late to start, and opens to all
    ///        owners what was asked of one for too long.
    auto tick(time_point now) -> void;

    /// @brief Refuses everything that waits.
    auto refuse_all(refusal refused) -> void;

    /// @brief The owners that may be asked, with their free slots.
    auto update_owner(const instance_id& owner, std::int64_t free_slots)
        -> void;
    /// @brief Forgets an owner; what was asked of it is asked of all.
    auto remove_owner(const instance_id& owner) -> void;

    /// @brief What @p owner is to be told now; empty when nothing waits.
    [[nodiscard]] auto demand_for(const instance_id& owner) const
        -> std::vector<workload_demand>;

    [[nodiscard]] auto owners() const -> std::vector<instance_id>;
    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return m_entries.size();
    }

    /// @brief Requests of one workload that wait.
    [[nodiscard]] auto waiting(const workload_name& name) const -> std::size_t;

  private:
    /// Highest priority first, then the earliest deadline, then arrival.
    struct urgency
    {
        int negative_priority = 0;
        time_point deadline;
        std::uint64_t number = 0;

        // The check takes the zero inside the generated operator for a
        // pointer.
        friend auto operator<=>(const urgency&, const urgency&)
            -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
    };

    struct queue_entry
    {
        queued_request_ptr item;
        /// Empty: asked of all.
        instance_id asked_of;
    };

    struct workload_queue
    {
        std::map<urgency, queue_entry> items;
        std::int64_t asked_of_all = 0;
    };

    struct owner_state
    {
        std::int64_t free_slots = 0;
        std::unordered_map<workload_name, std::int64_t> asked;
    };

    /// Where a ticket stands, to find it by its number.
    struct position
    {
        workload_name workload;
        urgency place;
    };

    auto choose_owner() -> instance_id;
    [[nodiscard]] auto expected_run_time(const workload_name& name) const
        -> milliseconds;
    auto remove(std::uint64_t number) -> queued_request_ptr;
    auto remove_demand(workload_queue& from, const workload_name& name,
                       queue_entry& entry) -> void;
    auto ask_all_if_late(workload_queue& queue, const workload_name& name,
                         time_point now) -> void;

    request_queue_limits m_limits;
    std::minstd_rand m_random;
    std::unordered_map<std::uint64_t, position> m_entries;
    std::unordered_map<workload_name, workload_queue> m_queues;
    std::map<instance_id, owner_state> m_owners;
    std::unordered_map<workload_name, milliseconds> m_expected_run_times;
};

} // namespace pimentoshunt::entry
