/// @file
/// Queue of the requests waiting at one instance for a worker. Decides which
/// worker owners are asked for grants, and which request a grant goes to: a
/// grant names a workload, and the request is chosen when the grant arrives
/// (late binding).
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

/// @brief Limits of a request queue.
struct request_queue_limits
{
    /// Most waiting requests; further ones are refused.
    std::size_t queue_limit = 4096;
    /// A request for which one owner was asked is asked of all owners after
    /// this time.
    milliseconds ask_all_after{4};
    /// Retry-After of refused requests.
    milliseconds retry_after{1'000};
};

/// @brief The demand for one workload that is sent to one owner.
struct workload_demand
{
    workload_name workload;
    /// Number of waiting requests; for jobs the number of placements.
    std::int64_t count = 0;
    /// Deadline of the most urgent request.
    time_point deadline;
    /// Arrival of that request; for jobs the start of the longest wait.
    time_point waiting_since;

    friend auto operator==(const workload_demand&, const workload_demand&)
        -> bool = default;
};

/// @brief The queue of one instance. Not thread-safe: used only by the control
/// thread.
///
/// While some owner appears to have free slots, a request is asked of that
/// owner alone, so that one request does not take a slot at each owner.
/// Otherwise, and when the grant is late, it is asked of all owners.
class request_queue
{
  public:
    request_queue(request_queue_limits limits, std::uint64_t seed)
        : m_limits(limits), m_random(static_cast<unsigned>(seed))
    {
    }

    /// @brief Queues a request, or refuses it immediately when its deadline has
    ///        passed or the queue is full.
    auto enqueue(const queued_request_ptr& item, time_point now) -> void;

    /// @brief Removes a request whose caller no longer waits.
    auto cancelled(std::uint64_t number) -> void;

    /// @brief Assigns a grant to the most urgent request of its workload.
    /// @return false when no request of that workload waits; the grant has to
    ///         be returned to its owner
    auto bind(const grant& item) -> bool;

    /// @brief Sets the expected run time of a workload. Requests that could no
    ///        longer end before their deadline are refused by tick().
    /// @param run_time  0 when unknown
    auto set_expected_run_time(const workload_name& name, milliseconds run_time)
        -> void;

    /// @brief Refuses requests that are too late to start, and asks all owners
    ///        for requests that were asked of one owner for too long.
    auto tick(time_point now) -> void;

    /// @brief Refuses all waiting requests.
    auto refuse_all(refusal refused) -> void;

    /// @brief Adds an owner that may be asked, or updates its free slots.
    auto update_owner(const instance_id& owner, std::int64_t free_slots)
        -> void;
    /// @brief Removes an owner; its requests are asked of all owners.
    auto remove_owner(const instance_id& owner) -> void;

    /// @brief The current demand for @p owner, one entry for each workload;
    ///        empty when no request waits.
    [[nodiscard]] auto demand_for(const instance_id& owner) const
        -> std::vector<workload_demand>;

    [[nodiscard]] auto owners() const -> std::vector<instance_id>;
    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return m_entries.size();
    }

    /// @brief Number of waiting requests of one workload.
    [[nodiscard]] auto waiting(const workload_name& name) const -> std::size_t;

  private:
    /// Orders requests by highest priority, then earliest deadline, then
    /// arrival.
    struct urgency
    {
        int negative_priority = 0;
        time_point deadline;
        std::uint64_t number = 0;

        // clang-tidy mistakes the zero in the generated operator for a null
        // pointer.
        friend auto operator<=>(const urgency&, const urgency&)
            -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
    };

    struct queue_entry
    {
        /// The waiting request.
        queued_request_ptr item;
        /// The owner that was asked; empty when all owners are asked.
        instance_id asked_of;
    };

    /// The waiting requests of one workload.
    struct workload_queue
    {
        std::map<urgency, queue_entry> items;
        /// Number of requests for which all owners are asked.
        std::int64_t asked_of_all = 0;
    };

    struct owner_state
    {
        /// As last reported, less the slots asked for since.
        std::int64_t free_slots = 0;
        /// Number of requests, by workload, for which only this owner is asked.
        std::unordered_map<workload_name, std::int64_t> asked;
    };

    /// Where a request is queued, to find it by its number.
    struct position
    {
        workload_name workload;
        urgency place;
    };

    /// The owner to ask for a request; empty to ask all owners.
    auto choose_owner() -> instance_id;
    [[nodiscard]] auto expected_run_time(const workload_name& name) const
        -> milliseconds;
    /// Removes a request; returns nullptr when it is not queued.
    auto remove(std::uint64_t number) -> queued_request_ptr;
    /// Stops counting an entry in the demand for the owners asked.
    auto remove_demand(workload_queue& from, const workload_name& name,
                       queue_entry& entry) -> void;
    /// Asks all owners for the requests that were asked of one for too long.
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
