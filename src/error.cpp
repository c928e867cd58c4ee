#include <pimentoshunt/error.hpp>

namespace pimentoshunt
{

auto to_string(error_kind kind) -> std::string
{
    switch (kind)
    {
    case error_kind::settings:
        return "settings";
    case error_kind::plan:
        return "plan";
    case error_kind::platform:
        return "platform";
    case error_kind::worker:
        return "worker";
    case error_kind::request:
        return "request";
    case error_kind::job:
        return "job";
    case error_kind::transport:
        return "transport";
    case error_kind::usage:
        return "usage";
    }
    return "unknown";
}

auto error::message() const -> std::string
{
    std::string text = "[" + to_string(kind) + "." + std::to_string(id) + "] ";
    if (!where.empty())
    {
        text += "at " + where + ": ";
    }
    text += what;
    if (!remedy.empty())
    {
        text += "; remedy: " + remedy;
    }
    return text;
}

} // namespace pimentoshunt
