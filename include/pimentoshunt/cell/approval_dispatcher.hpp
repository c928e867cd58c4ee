/// @file
/// Distributes requests to the approval service over the instances. The service
/// handles one call at a time for each instance, so that slow calls are limited
/// to a share of them: quick requests must not wait behind a call that takes a
/// second, even in a burst of short work while some instances are unavailable.
/// Used by the owner on the control thread; no I/O.
#pragma once

#include <pimentoshunt/cell/orders.hpp>
#include <pimentoshunt/clock.hpp>

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::cell
{

/// @brief Limits of an @ref approval_dispatcher.
struct approval_dispatcher_options
{
    /// Calls with this expected duration or a longer one are slow.
    milliseconds slow_threshold = slow_approval_threshold;
    /// Maximum share of the instances that slow calls may occupy at one time.
    double max_slow_share = 0.75;
    /// Instances kept free for quick calls, as a multiple of the number that
    /// quick calls have recently occupied on average.
    double quick_reserve = 1.6;
    /// Time over which the load of quick calls is averaged.
    milliseconds load_window{1'000};
    /// Added to the expected duration before a call times out: the way to a
    /// slow instance and back.
    milliseconds timeout_margin{500};
    /// An instance whose call timed out gets no further calls for this time.
    milliseconds cooldown{1'500};
    /// The same for an instance that reported a failed call: the service was
    /// busy or out of its reach.
    milliseconds failure_cooldown{250};
    /// An answer that arrives this long after the time-out is still used.
    milliseconds late_answer_limit{5'000};
};

/// @brief A request and the instance that sends it to the service.
struct assigned_request
{
    std::uint64_t number = 0;
    std::string instance;
    approval_request request;
};

/// @brief A request that an instance has answered.
struct answered_request
{
    approval_request request;
    /// Longest time since the service can have issued the tickets.
    milliseconds age{0};
    /// Whether the request has already been taken as timed out.
    bool late = false;
};

/// @brief Queue of approval requests that wait or are being served.
class approval_dispatcher
{
  public:
    /// @param epoch  of the ownership; it is the upper part of request numbers,
    ///               so that answers to requests of an earlier owner are not
    ///               mistaken for current ones
    explicit approval_dispatcher(std::uint64_t epoch)
        : m_last_number(epoch << request_number_bits)
    {
    }

    explicit approval_dispatcher(approval_dispatcher_options options = {})
        : m_options(options)
    {
    }

    /// @brief Queues a request behind those of the same or a lower priority
    /// value. A waiting request for the same step is replaced; if the step's
    /// request is being served, the new one is dropped.
    auto add(approval_request request, time_point now) -> void;

    /// @brief Assigns waiting requests to idle instances, first to those whose
    /// calls have been answered.
    /// @param instances  names of the instances that can call the service now;
    ///                   the first one is the owner, to which no message can get
    ///                   lost
    [[nodiscard]] auto assign(const std::vector<std::string>& instances,
                              time_point now) -> std::vector<assigned_request>;

    /// @brief Removes an answered request and returns it; nothing if it is
    /// unknown or timed out too long ago.
    auto answered(std::uint64_t number, time_point now)
        -> std::optional<answered_request>;

    /// @brief Removes a request for which the instance got no answer of the
    /// service, and returns it; nothing if it is unknown or has timed out. The
    /// instance cools down.
    auto failed(std::uint64_t number, time_point now)
        -> std::optional<approval_request>;

    /// @brief Removes the requests whose answer is overdue; they count as
    /// failed.
    [[nodiscard]] auto take_timed_out(time_point now)
        -> std::vector<assigned_request>;

    /// @brief Number of further slow calls that could be made at once.
    /// @param instances  number of instances that can call the service now
    [[nodiscard]] auto free_slow_slots(std::size_t instances) const
        -> std::size_t;

    /// @brief Number of requests that are not assigned yet.
    [[nodiscard]] auto waiting() const noexcept -> std::size_t
    {
        return m_waiting.size();
    }

  private:
    /// A request that an instance is sending to the service.
    struct in_flight_call
    {
        std::string instance;
        approval_request request;
        /// Earliest time at which the service can answer.
        time_point due_at;
        time_point times_out_at;
    };

    /// What is known of an instance from its earlier calls.
    struct instance_record
    {
        /// Calls without an answer since the last answer.
        unsigned unanswered = 0;
        time_point answered_at;
        time_point cooldown_until;
    };

    /// Takes the instance for @p request from the names of idle ones.
    auto take_instance(std::vector<std::string>& idle, const std::string& owner,
                       const approval_request& request) -> std::string;
    [[nodiscard]] auto is_slow(const approval_request& request) const -> bool
    {
        return request.expected >= m_options.slow_threshold;
    }

    /// Number of slow calls in flight, and their limit.
    [[nodiscard]] auto slow_calls_in_flight() const -> std::size_t;
    [[nodiscard]] auto max_slow_calls(std::size_t instances) const
        -> std::size_t;
    /// Ages the average load of quick calls up to @p now.
    auto decay_quick_load(time_point now) -> void;

    approval_dispatcher_options m_options;
    /// Average number of instances that quick calls occupy.
    double m_quick_load = 0;
    time_point m_decayed_at;
    std::vector<approval_request> m_waiting;
    std::map<std::uint64_t, in_flight_call> m_in_flight;
    /// Calls that have timed out and may still be answered.
    std::map<std::uint64_t, in_flight_call> m_late;
    std::map<std::string, instance_record> m_instances;
    /// Bits of a request number below the epoch: more than an owner can use up.
    static constexpr unsigned request_number_bits = 32;

    std::uint64_t m_last_number;
};

} // namespace pimentoshunt::cell
