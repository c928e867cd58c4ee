/// @file
/// Spreads questions to the approval service over the instances. The service
/// serves one call at a time for each of them, so a question for short work
/// must not wait behind one that takes a second. Answers the crest of short work
/// while some instances are away.
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

/// @brief Limits of the desk.
struct approval_dispatcher_options
{
    /// A call expected to take longer is a slow one.
    milliseconds slow_threshold = slow_approval_threshold;
    /// Largest share of the askers that slow calls may hold at once.
    double max_slow_share = 0.75;
    /// Askers kept for quick calls, as a multiple of those that quick calls
    /// have kept busy of late.
    double quick_reserve = 1.6;
    /// Time over which the load of quick calls is averaged.
    milliseconds load_window{1'000};
    /// Added to the expected time before a call counts as lost: the way there
    /// and back, and a slow asker.
    milliseconds timeout_margin{500};
    /// An asker that lost a call rests this long.
    milliseconds cooldown{1'500};
};

/// @brief A question and who is to ask it.
struct assigned_request
{
    std::uint64_t number = 0;
    std::string instance;
    approval_request request;
};

/// @brief The questions that wait and those that are being asked. No I/O.
class approval_dispatcher
{
  public:
    /// @param epoch  of the ownership: an answer to a question of an earlier
    ///               owner, which may have used the same numbers, is no answer
    explicit approval_dispatcher(std::uint64_t epoch)
        : m_last_number(epoch << request_number_bits)
    {
    }

    explicit approval_dispatcher(approval_dispatcher_options options = {})
        : m_options(options)
    {
    }

    auto add(approval_request request, time_point now) -> void;

    /// @brief Hands waiting questions to idle askers.
    /// @param instances  names of the instances that can ask now
    [[nodiscard]] auto assign(const std::vector<std::string>& instances,
                              time_point now) -> std::vector<assigned_request>;

    /// @brief An answer came; nothing if it was given up before.
    auto answered(std::uint64_t number) -> std::optional<approval_request>;

    /// @brief Questions whose answer is overdue; they count as failed.
    [[nodiscard]] auto take_timed_out(time_point now)
        -> std::vector<approval_request>;

    /// @brief How many slow calls more could be asked at once.
    /// @param instances  number of the instances that can ask now
    [[nodiscard]] auto free_slow_slots(std::size_t instances) const
        -> std::size_t;

    [[nodiscard]] auto waiting() const noexcept -> std::size_t
    {
        return m_waiting.size();
    }

  private:
    struct in_flight_call
    {
        std::string instance;
        approval_request request;
        time_point times_out_at;
    };

    [[nodiscard]] auto is_slow(const approval_request& request) const -> bool
    {
        return request.expected >= m_options.slow_threshold;
    }

    /// How many slow calls are under way, and how many may be.
    [[nodiscard]] auto slow_calls_in_flight() const -> std::size_t;
    [[nodiscard]] auto max_slow_calls(std::size_t instances) const
        -> std::size_t;
    auto decay_quick_load(time_point now) -> void;

    approval_dispatcher_options m_options;
    /// Askers that quick calls keep busy, averaged.
    double m_quick_load = 0;
    time_point m_decayed_at;
    std::vector<approval_request> m_waiting;
    std::map<std::uint64_t, in_flight_call> m_in_flight;
    std::map<std::string, time_point> m_cooldown_until;
    /// Bits for the questions of one epoch: more than it can ask.
    static constexpr unsigned request_number_bits = 32;

    std::uint64_t m_last_number;
};

} // namespace pimentoshunt::cell
