#include <pimentoshunt/net/address.hpp>

#include <charconv> // from_chars

namespace pimentoshunt::net
{

auto parse_address(const std::string& text)
    -> std::optional<boost::asio::ip::tcp::endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    unsigned short port = 0;
    const auto* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    boost::system::error_code fault;
    const auto host =
        boost::asio::ip::make_address(text.substr(0, colon), fault);
    if (fault || read.ec != std::errc() || read.ptr != end)
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(host, port);
}

} // namespace pimentoshunt::net
