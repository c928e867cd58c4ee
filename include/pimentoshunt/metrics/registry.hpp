/// @file
/// All metrics of one instance. Any thread may write and read them.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/metrics/label_set.hpp>
#include <pimentoshunt/metrics/log_histogram.hpp>
#include <pimentoshunt/plan/document.hpp>

#include <array>        // array
#include <atomic>       // atomic
#include <chrono>       // nanoseconds
#include <cstdint>      // int64_t
#include <map>          // map
#include <memory>       // unique_ptr
#include <mutex>        // mutex
#include <shared_mutex> // shared_mutex
#include <string>       // string
#include <tuple>        // tie

namespace pimentoshunt::metrics
{

/// @brief Quantities that are recorded in a histogram for each workload.
enum class measure
{
    /// Time from the arrival to the grant of a slot.
    waiting,
    /// Time from the grant to the end of the request or task.
    service,
    /// Time that short requests waited while longer work held the slots.
    head_of_line,
    /// Number of attempts until the answer; not a time.
    attempts
};

/// @brief Metrics that can rise and fall.
enum class gauge
{
    slots_in_use,
    slots_free,
    queue_length,
    workers_held,
    plan_revision
};

/// @brief Metrics that only grow.
enum class counter
{
    answers,
    retries,
    refusals,
    table_calls,
    grants,
    bytes
};

/// @brief Histograms of one workload. Thread-safe.
class workload_series
{
  public:
    explicit workload_series(label_set labels);

    /// @brief Records a time; @p what must not be measure::attempts.
    auto observe(measure what, std::chrono::nanoseconds time) -> void;
    /// @brief Records the number of attempts that an answer took.
    auto observe_attempts(std::int64_t number) -> void;
    /// @brief Adds the histogram of @p what to @p total.
    auto merge_into(log_histogram& total, measure what) const -> void;

    [[nodiscard]] auto labels() const noexcept -> const label_set&
    {
        return m_labels;
    }

  private:
    static constexpr std::size_t measure_count = 4;

    label_set m_labels;
    mutable std::mutex m_mutex;
    std::array<log_histogram, measure_count> m_histograms;
};

/// @brief Holds and prints all metrics. Thread-safe.
class registry
{
  public:
    /// @brief Returns the histograms of a workload, created on first use.
    /// @note The reference stays valid for the registry's lifetime; look it up
    /// once and keep it.
    /// @complexity logarithmic in the number of workloads, one shared lock
    auto series(const plan::workload& item) -> workload_series&;

    /// @brief Sets a gauge.
    auto set(gauge what, const label_set& labels, std::int64_t value) -> void;
    /// @brief Sets a gauge without labels.
    auto set(gauge what, std::int64_t value) -> void;

    /// @brief Adds to a counter.
    auto add(counter what, const label_set& labels, std::uint64_t amount = 1)
        -> void;
    /// @brief Adds to a counter without labels.
    auto add(counter what, std::uint64_t amount = 1) -> void;

    /// @brief Returns a gauge's value; 0 if it was never set.
    [[nodiscard]] auto value(gauge what, const label_set& labels = {}) const
        -> std::int64_t;
    /// @brief Returns a counter's value; 0 if nothing was added.
    [[nodiscard]] auto value(counter what, const label_set& labels = {}) const
        -> std::uint64_t;

    /// @brief Returns a quantile over all workloads that @p filter selects.
    /// @param what  quantity
    /// @param filter  an empty label selects any value
    /// @param p  from 0 to 1
    /// @return seconds, or a number of attempts; 0 if nothing was recorded
    [[nodiscard]] auto quantile(measure what, const label_set& filter,
                                double p) const -> double;

    /// @brief Returns a quantile of a time; @p what must not be
    /// measure::attempts.
    [[nodiscard]] auto time_quantile(measure what, const label_set& filter,
                                     double p) const -> milliseconds;

    /// @brief Prints all metrics in the Prometheus text format, version 0.0.4.
    [[nodiscard]] auto prometheus_text() const -> std::string;

  private:
    using atomic_value = std::atomic<std::uint64_t>;
    template<class Kind>
    struct series_key
    {
        Kind what;
        label_set labels;
        friend auto operator<(const series_key& left, const series_key& right)
            -> bool
        {
            return std::tie(left.what, left.labels) <
                   std::tie(right.what, right.labels);
        }
    };
    template<class Kind>
    using value_map = std::map<series_key<Kind>, std::unique_ptr<atomic_value>>;

    template<class Kind>
    auto find_or_create(value_map<Kind>& values, Kind what,
                        const label_set& labels) -> atomic_value&;
    template<class Kind>
    auto read(const value_map<Kind>& values, Kind what,
              const label_set& labels) const -> std::uint64_t;
    [[nodiscard]] auto total(measure what, const label_set& filter) const
        -> log_histogram;
    auto print_histograms(std::string& out) const -> void;
    template<class Kind>
    auto print_values(std::string& out, const value_map<Kind>& values) const
        -> void;

    mutable std::shared_mutex m_mutex;
    std::map<label_set, std::unique_ptr<workload_series>> m_series;
    value_map<gauge> m_gauges;
    value_map<counter> m_counters;
};

} // namespace pimentoshunt::metrics
