#include <pimentoshunt/ownership/holder.hpp>

#include <charconv> // from_chars

namespace pimentoshunt::ownership
{

auto holder::str() const -> std::string
{
    return id.str() + "#" + std::to_string(incarnation);
}

auto holder::parse(const std::string& text) -> holder
{
    const auto mark = text.rfind('#');
    if (mark == std::string::npos)
    {
        return {};
    }
    holder parsed{instance_id(text.substr(0, mark)), 0};
    const char* const first = text.data() + mark + 1;
    const char* const last = text.data() + text.size();
    const auto read = std::from_chars(first, last, parsed.incarnation);
    if (read.ec != std::errc{} || read.ptr != last)
    {
        return {};
    }
    return parsed;
}

} // namespace pimentoshunt::ownership
