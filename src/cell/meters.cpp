#include <pimentoshunt/cell/meters.hpp>

#include <iomanip> // setprecision
#include <limits>  // numeric_limits
#include <sstream> // ostringstream

namespace pimentoshunt::cell
{
namespace
{

/// Prefix of all exported names.
const std::string prefix = "pimentoshunt_";

/// Escapes a label's value for the text format: names of workspaces are free
/// texts.
auto escaped(const std::string& value) -> std::string
{
    std::string out;
    for (const char letter : value)
    {
        if (letter == '\n')
        {
            out += "\\n";
            continue;
        }
        out += letter == '"' || letter == '\\' ? "\\" : "";
        out += letter;
    }
    return out;
}

auto braces(const meter_label& label, const std::string& more = "")
    -> std::string
{
    if (label.name.empty())
    {
        return more.empty() ? "" : "{" + more + "}";
    }
    auto out = "{" + label.name + "=\"" + escaped(label.value) + "\"";
    out += more.empty() ? "}" : "," + more + "}";
    return out;
}

auto to_text(double value) -> std::string
{
    std::ostringstream out;
    out << std::setprecision(std::numeric_limits<double>::digits10) << value;
    return out.str();
}

auto print_histogram(const std::string& name, const meter_label& label,
                     const metrics::log_histogram& from) -> std::string
{
    std::string out;
    for (const auto& bucket : from.buckets())
    {
        const auto bound = "le=\"" + std::to_string(bucket.upper_bound) + "\"";
        out += name + "_bucket" + braces(label, bound) + " " +
               std::to_string(bucket.count) + "\n";
    }
    const auto count = std::to_string(from.count());
    out += name + "_bucket" + braces(label, "le=\"+Inf\"") + " " + count + "\n";
    out +=
        name + "_sum" + braces(label) + " " + std::to_string(from.sum()) + "\n";
    out += name + "_count" + braces(label) + " " + count + "\n";
    return out;
}

} // namespace

auto meters::add(const std::string& name, const meter_label& label,
                 std::uint64_t amount) -> void
{
    m_counters[{name, label}] += amount;
}

auto meters::clear(const std::string& name) -> void
{
    std::erase_if(m_gauges,
                  [&](const auto& item)
                  {
                      return item.first.first == name;
                  });
}

auto meters::observe(const std::string& name, const meter_label& label,
                     std::chrono::nanoseconds time) -> void
{
    const auto place =
        m_histograms.try_emplace({name, label}, metrics::time_axis);
    place.first->second.observe(std::chrono::duration<double>(time).count());
}

auto meters::set(const std::string& name, const meter_label& label,
                 double value) -> void
{
    m_gauges[{name, label}] = value;
}

auto meters::value(const std::string& name, const meter_label& label) const
    -> std::uint64_t
{
    const auto found = m_counters.find({name, label});
    return found == m_counters.end() ? 0 : found->second;
}

auto meters::text() const -> std::string
{
    std::string out;
    std::string last;
    for (const auto& [key, count] : m_counters)
    {
        const auto name = prefix + key.first;
        if (name != last)
        {
            out += "# TYPE " + name + " counter\n";
            last = name;
        }
        out += name + braces(key.second) + " " + std::to_string(count) + "\n";
    }
    for (const auto& [key, value] : m_gauges)
    {
        const auto name = prefix + key.first;
        if (name != last)
        {
            out += "# TYPE " + name + " gauge\n";
            last = name;
        }
        out += name + braces(key.second) + " " + to_text(value) + "\n";
    }
    for (const auto& [key, histogram] : m_histograms)
    {
        const auto name = prefix + key.first;
        if (name != last)
        {
            out += "# TYPE " + name + " histogram\n";
            last = name;
        }
        out += print_histogram(name, key.second, histogram);
    }
    return out;
}

} // namespace pimentoshunt::cell
