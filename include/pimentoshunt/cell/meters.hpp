/// @file
/// Counters and latency histograms of one instance, as Prometheus text. Used
/// by the control thread only.
#pragma once

#include <pimentoshunt/metrics/log_histogram.hpp>

#include <chrono>  // nanoseconds
#include <cstdint> // uint64_t
#include <map>     // map
#include <string>  // string
#include <tuple>   // tuple

namespace pimentoshunt::cell
{

/// @brief One label of a series, such as queue="bookings".
struct meter_label
{
    std::string name;
    std::string value;

    friend auto operator<(const meter_label& left, const meter_label& right)
        -> bool
    {
        return std::tie(left.name, left.value) <
               std::tie(right.name, right.value);
    }
};

/// @brief All series of one instance; a series is created when it is first
/// used.
class meters
{
  public:
    /// @brief Adds to a counter; its name ends in "_total".
    auto add(const std::string& name, const meter_label& label,
             std::uint64_t amount = 1) -> void;

    /// @brief Removes all series of a gauge, whose values no longer hold.
    auto clear(const std::string& name) -> void;

    /// @brief Adds a duration to a histogram; its name ends in "_seconds".
    auto observe(const std::string& name, const meter_label& label,
                 std::chrono::nanoseconds time) -> void;

    /// @brief Sets a gauge; a label without a name is not written.
    auto set(const std::string& name, const meter_label& label, double value)
        -> void;

    /// @brief A counter's value, 0 if nothing was added.
    [[nodiscard]] auto value(const std::string& name,
                             const meter_label& label) const -> std::uint64_t;

    /// @brief All series in the Prometheus text format, version 0.0.4.
    [[nodiscard]] auto text() const -> std::string;

  private:
    using series = std::pair<std::string, meter_label>;
    std::map<series, std::uint64_t> m_counters;
    std::map<series, double> m_gauges;
    std::map<series, metrics::log_histogram> m_histograms;
};

} // namespace pimentoshunt::cell
