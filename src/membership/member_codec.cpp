#include <pimentoshunt/membership/member_codec.hpp>

#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pimentoshunt::membership
{

auto serialize(const member& item) -> std::string
{
    return boost::json::serialize(
        boost::json::object{{"id", item.id.str()},
                            {"incarnation", item.incarnation},
                            {"address", item.address},
                            {"http_address", item.http_address},
                            {"data_centre", item.data_centre.str()}});
}

auto parse_member(const std::string& text) -> std::optional<member>
{
    namespace fields = platform::detail;
    const auto object = fields::parse_object(text);
    if (!object)
    {
        return std::nullopt;
    }
    member item;
    item.id = instance_id(fields::text_of(*object, "id"));
    item.incarnation =
        static_cast<std::uint64_t>(fields::number_of(*object, "incarnation"));
    item.address = fields::text_of(*object, "address");
    item.http_address = fields::text_of(*object, "http_address");
    item.data_centre =
        data_centre_name(fields::text_of(*object, "data_centre"));
    if (item.id.empty())
    {
        return std::nullopt;
    }
    return item;
}

} // namespace pimentoshunt::membership
