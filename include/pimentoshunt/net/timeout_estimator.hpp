/// @file
/// How long to wait for a peer, learned from its answers.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <cstdint>  // uint32_t
#include <optional> // optional

namespace pimentoshunt::net
{

/// @brief The retransmission timer of TCP (RFC 6298), for calls.
///
/// A lost answer is noticed within a few times what answers usually take, and
/// a peer that has become slow is not given up again and again: the limit
/// doubles with each call in a row that had no answer.
class timeout_estimator
{
  public:
    /// @brief An answer came.
    auto record_response(milliseconds took) -> void;

    /// @brief A call had no answer; its time says nothing. Calls that were
    /// under way together count as one.
    /// @param began  when the call was sent
    auto record_timeout(time_point began, time_point now) -> void;

    /// @brief When to give a call up.
    /// @param min_timeout  never before
    /// @param max_timeout   never after; also the limit until an answer has come
    [[nodiscard]] auto current_timeout(milliseconds min_timeout,
                                       milliseconds max_timeout) const
        -> milliseconds;

  private:
    using real_milliseconds = std::chrono::duration<double, std::milli>;

    std::optional<real_milliseconds> m_mean;
    real_milliseconds m_deviation{0};
    std::uint32_t m_timeouts_in_a_row = 0;
    /// When the limit was doubled last.
    time_point m_doubled_at;
};

} // namespace pimentoshunt::net
