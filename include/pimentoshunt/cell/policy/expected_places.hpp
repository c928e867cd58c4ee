/// @file
/// Estimate of the places that an approval request will yield. A request that
/// names few workers yields none at times, and the next one costs its step the
/// time of another call. Used by the scheduler on the control thread; no I/O.
#pragma once

#include <cmath>   // sqrt
#include <cstddef> // size_t
#include <cstdint> // uint32_t

namespace pimentoshunt::cell::policy
{

/// @brief Sum of the places on workers that are approved independently.
class expected_places
{
  public:
    /// @param deviations  how many standard deviations below its mean the
    ///                    number of places may lie
    explicit expected_places(double deviations) : m_deviations(deviations)
    {
    }

    /// @brief Adds a worker that is approved with the given probability.
    auto add(std::uint32_t places, double probability) -> void
    {
        m_mean += probability * places;
        m_variance += probability * (1 - probability) * places * places;
    }

    /// @brief Whether there will probably be @p needed places.
    [[nodiscard]] auto covers(std::size_t needed) const -> bool
    {
        return m_mean - m_deviations * std::sqrt(m_variance) >=
               static_cast<double>(needed);
    }

  private:
    double m_deviations;
    double m_mean = 0;
    double m_variance = 0;
};

} // namespace pimentoshunt::cell::policy
