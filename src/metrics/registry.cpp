/// @file
/// Storage of metrics, and their names and output in the Prometheus format.
#include <pimentoshunt/metrics/registry.hpp>

#include <cmath>   // llround
#include <locale>  // locale
#include <sstream> // ostringstream

namespace pimentoshunt::metrics
{
namespace
{

/// @brief Name and help text of a metric in the Prometheus format.
struct description
{
    const char* name;
    const char* help;
};

constexpr std::array all_measures = {measure::waiting, measure::service,
                                     measure::head_of_line, measure::attempts};

auto describe(measure what) -> description
{
    switch (what)
    {
    case measure::waiting:
        return {"waiting_seconds", "Time from arrival to the grant."};
    case measure::service:
        return {"service_seconds", "Time from the grant to the end."};
    case measure::head_of_line:
        return {"head_of_line_seconds",
                "Time that short work waited while longer work held slots."};
    case measure::attempts:
        return {"attempts", "Attempts until the answer."};
    }
    return {"", ""};
}

auto describe(gauge what) -> description
{
    switch (what)
    {
    case gauge::slots_in_use:
        return {"slots_in_use", "Slots granted by this instance."};
    case gauge::slots_free:
        return {"slots_free", "Free slots of workers held."};
    case gauge::queue_length:
        return {"queue_length", "Requests and tasks that wait."};
    case gauge::workers_held:
        return {"workers_held", "Workers whose epoch this instance holds."};
    case gauge::plan_revision:
        return {"plan_revision", "Revision of the plan in force here."};
    }
    return {"", ""};
}

auto describe(counter what) -> description
{
    switch (what)
    {
    case counter::answers:
        return {"answers_total", "Answers to callers by kind."};
    case counter::retries:
        return {"retries_total", "Attempts after the first."};
    case counter::refusals:
        return {"refusals_total", "Requests refused by reason."};
    case counter::table_calls:
        return {"table_calls_total", "Calls to the platform's table."};
    case counter::grants:
        return {"grants_total", "Grants given out by this instance."};
    case counter::bytes:
        return {"bytes_total", "Bytes by direction."};
    }
    return {"", ""};
}

auto type_name(gauge) -> const char*
{
    return "gauge";
}

auto type_name(counter) -> const char*
{
    return "counter";
}

auto full_name(const description& what) -> std::string
{
    return std::string("pimentoshunt_") + what.name;
}

auto print_header(std::string& out, const description& what, const char* type)
    -> void
{
    const auto name = full_name(what);
    out += "# HELP " + name + " " + what.help + "\n";
    out += "# TYPE " + name + " " + type + "\n";
}

/// @brief Formats a number independently of the global locale.
auto number(double value) -> std::string
{
    // Enough digits that a sum over months still grows with each
    // observation.
    constexpr int significant_digits = 12;
    std::ostringstream stream;
    stream.precision(significant_digits);
    stream.imbue(std::locale::classic());
    stream << value;
    return stream.str();
}

auto in_braces(const std::string& labels) -> std::string
{
    return labels.empty() ? "" : "{" + labels + "}";
}

auto print_histogram(std::string& out, const std::string& name,
                     const std::string& labels, const log_histogram& counts)
    -> void
{
    const auto begin =
        name + "_bucket{" + labels + (labels.empty() ? "le=\"" : ",le=\"");
    for (const auto& point : counts.buckets())
    {
        out += begin;
        out += number(point.upper_bound);
        out += "\"} ";
        out += std::to_string(point.count);
        out += '\n';
    }
    const auto count = std::to_string(counts.count());
    out += begin + "+Inf\"} " + count + "\n";
    out +=
        name + "_sum" + in_braces(labels) + " " + number(counts.sum()) + "\n";
    out += name + "_count" + in_braces(labels) + " " + count + "\n";
}

auto empty_histogram(measure what) -> log_histogram
{
    return log_histogram(what == measure::attempts ? attempt_axis : time_axis);
}

auto labels_of(const plan::workload& item) -> label_set
{
    return {item.workspace.str(), plan::to_string(item.cls), item.name.str(),
            ""};
}

} // namespace

workload_series::workload_series(label_set labels)
    : m_labels(std::move(labels)), m_histograms{
                                       empty_histogram(measure::waiting),
                                       empty_histogram(measure::service),
                                       empty_histogram(measure::head_of_line),
                                       empty_histogram(measure::attempts)}
{
}

auto workload_series::observe(measure what, std::chrono::nanoseconds time)
    -> void
{
    const std::chrono::duration<double> seconds = time;
    const std::lock_guard lock(m_mutex);
    m_histograms.at(static_cast<std::size_t>(what)).observe(seconds.count());
}

auto workload_series::observe_attempts(std::int64_t count) -> void
{
    const std::lock_guard lock(m_mutex);
    m_histograms.at(static_cast<std::size_t>(measure::attempts))
        .observe(static_cast<double>(count));
}

auto workload_series::merge_into(log_histogram& total, measure what) const
    -> void
{
    const std::lock_guard lock(m_mutex);
    total.merge(m_histograms.at(static_cast<std::size_t>(what)));
}

auto registry::series(const plan::workload& item) -> workload_series&
{
    const auto labels = labels_of(item);
    {
        const std::shared_lock lock(m_mutex);
        const auto found = m_series.find(labels);
        if (found != m_series.end())
        {
            return *found->second;
        }
    }
    const std::unique_lock lock(m_mutex);
    auto& made = m_series[labels];
    if (!made)
    {
        made = std::make_unique<workload_series>(labels);
    }
    return *made;
}

template<class Kind>
auto registry::find_or_create(value_map<Kind>& values, Kind what,
                              const label_set& labels) -> atomic_value&
{
    const series_key<Kind> key{what, labels};
    {
        const std::shared_lock lock(m_mutex);
        const auto found = values.find(key);
        if (found != values.end())
        {
            return *found->second;
        }
    }
    const std::unique_lock lock(m_mutex);
    auto& made = values[key];
    if (!made)
    {
        made = std::make_unique<atomic_value>(0);
    }
    return *made;
}

template<class Kind>
auto registry::read(const value_map<Kind>& values, Kind what,
                    const label_set& labels) const -> std::uint64_t
{
    const std::shared_lock lock(m_mutex);
    const auto found = values.find(series_key<Kind>{what, labels});
    return found == values.end() ? 0 : found->second->load();
}

auto registry::set(gauge what, const label_set& labels, std::int64_t value)
    -> void
{
    find_or_create(m_gauges, what, labels) = static_cast<std::uint64_t>(value);
}

auto registry::set(gauge what, std::int64_t value) -> void
{
    set(what, {}, value);
}

auto registry::add(counter what, const label_set& labels, std::uint64_t amount)
    -> void
{
    find_or_create(m_counters, what, labels)
        .fetch_add(amount, std::memory_order_relaxed);
}

auto registry::add(counter what, std::uint64_t amount) -> void
{
    add(what, {}, amount);
}

auto registry::value(gauge what, const label_set& labels) const -> std::int64_t
{
    return static_cast<std::int64_t>(read(m_gauges, what, labels));
}

auto registry::value(counter what, const label_set& labels) const
    -> std::uint64_t
{
    return read(m_counters, what, labels);
}

auto registry::total(measure what, const label_set& filter) const
    -> log_histogram
{
    auto sum = empty_histogram(what);
    const std::shared_lock lock(m_mutex);
    for (const auto& [labels, one] : m_series)
    {
        if (filter.selects(labels))
        {
            one->merge_into(sum, what);
        }
    }
    return sum;
}

auto registry::quantile(measure what, const label_set& filter, double p) const
    -> double
{
    return total(what, filter).quantile(p);
}

auto registry::time_quantile(measure what, const label_set& filter,
                             double p) const -> milliseconds
{
    constexpr double ms_per_second = 1'000;
    return milliseconds(
        std::llround(quantile(what, filter, p) * ms_per_second));
}

auto registry::prometheus_text() const -> std::string
{
    std::string out;
    const std::shared_lock lock(m_mutex);
    print_histograms(out);
    print_values(out, m_gauges);
    print_values(out, m_counters);
    return out;
}

auto registry::print_histograms(std::string& out) const -> void
{
    for (const auto what : all_measures)
    {
        const auto about = describe(what);
        print_header(out, about, "histogram");
        for (const auto& [labels, one] : m_series)
        {
            auto counts = empty_histogram(what);
            one->merge_into(counts, what);
            print_histogram(out, full_name(about), labels.text(), counts);
        }
    }
}

template<class Kind>
auto registry::print_values(std::string& out,
                            const value_map<Kind>& values) const -> void
{
    // The map is ordered by metric first, so the header of each metric is
    // printed once, before all of its series.
    const char* printed = "";
    for (const auto& [key, value] : values)
    {
        const auto about = describe(key.what);
        if (printed != std::string(about.name))
        {
            print_header(out, about, type_name(key.what));
            printed = about.name;
        }
        out += full_name(about) + in_braces(key.labels.text()) + " " +
               std::to_string(static_cast<std::int64_t>(value->load())) + "\n";
    }
}

} // namespace pimentoshunt::metrics
