/// @file
/// Estimates the timeout of calls to one peer from its response times.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <cstdint>  // uint32_t
#include <optional> // optional

namespace pimentoshunt::net
{

/// @brief TCP's retransmission timer (RFC 6298), applied to calls. Not
/// thread-safe.
///
/// A lost response is detected within a small multiple of the usual response
/// time. The timeout doubles with each consecutive call without a response, so
/// that calls to a peer that has become slow do not time out repeatedly.
class timeout_estimator
{
  public:
    /// @brief Records the time of a call that was answered.
    auto record_response(milliseconds took) -> void;

    /// @brief Records a call without a response, whose duration is not a sample
    /// of the response time. Calls that were in flight together count as one.
    /// @param began  when the call was sent
    /// @param now  when the call timed out
    auto record_timeout(time_point began, time_point now) -> void;

    /// @brief The timeout of the next call.
    /// @param min_timeout  lower bound before doubling
    /// @param max_timeout  upper bound; also the timeout until the first
    ///        response
    [[nodiscard]] auto current_timeout(milliseconds min_timeout,
                                       milliseconds max_timeout) const
        -> milliseconds;

  private:
    using real_milliseconds = std::chrono::duration<double, std::milli>;

    std::optional<real_milliseconds> m_mean;
    real_milliseconds m_deviation{0};
    std::uint32_t m_timeouts_in_a_row = 0;
    /// When the timeout was doubled last.
    time_point m_doubled_at;
};

} // namespace pimentoshunt::net
