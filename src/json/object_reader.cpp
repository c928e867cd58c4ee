/// @file
/// Typed access to JSON objects, and the messages for faulty members.
#include <pimentoshunt/json/object_reader.hpp>

#include <pimentoshunt/logging.hpp>

#include <utility> // move

namespace pimentoshunt::json
{
namespace
{

namespace bj = boost::json;

auto with_unit(std::int64_t number, const char* unit) -> std::string
{
    auto text = std::to_string(number);
    if (*unit != '\0')
    {
        text += std::string(" ") + unit;
    }
    return text;
}

auto join_keys(const std::set<std::string>& keys) -> std::string
{
    std::string list;
    for (const auto& key : keys)
    {
        list += (list.empty() ? "" : ", ") + key;
    }
    return list;
}

} // namespace

auto describe_type(const bj::value& value) -> std::string
{
    switch (value.kind())
    {
    case bj::kind::null:
        return "null";
    case bj::kind::bool_:
        return "true or false";
    case bj::kind::int64:
    case bj::kind::uint64:
        return "a whole number";
    case bj::kind::double_:
        return "a number with a fraction";
    case bj::kind::string:
        return "a string";
    case bj::kind::array:
        return "an array";
    case bj::kind::object:
        return "an object";
    }
    return "an unknown type";
}

object_reader::object_reader(const bj::value& value, std::string pointer,
                             std::vector<fault>& faults)
    : m_object(value.if_object()), m_pointer(std::move(pointer)),
      m_faults(faults)
{
    if (m_object == nullptr)
    {
        add_fault(m_faults, {fault_kind::wrong_type, m_pointer, 0,
                             "is " + describe_type(value) + ", not an object",
                             "write an object in braces"});
    }
}

auto object_reader::member(const std::string& key) -> const bj::value*
{
    m_requested_keys.insert(key);
    return m_object == nullptr ? nullptr : m_object->if_contains(key);
}

auto object_reader::text(const std::string& key, std::string fallback,
                         bool required) -> std::string
{
    const auto* const found = member(key);
    if (found == nullptr)
    {
        if (required && m_object != nullptr)
        {
            add_fault(m_faults, {fault_kind::missing, m_pointer, 0,
                                 "key \"" + key + "\" is missing",
                                 "add \"" + key + "\" with a string"});
        }
        return fallback;
    }
    if (!found->is_string())
    {
        wrong_type(key, "a string", *found);
        return fallback;
    }
    return {found->get_string().data(), found->get_string().size()};
}

auto object_reader::integer(const std::string& key, const int_range& range,
                            std::int64_t fallback) -> std::int64_t
{
    const auto* const found = member(key);
    if (found == nullptr)
    {
        return fallback;
    }
    const auto bounds = "from " + with_unit(range.minimum, range.unit) +
                        " to " + with_unit(range.maximum, range.unit);
    if (found->is_uint64() ||
        (found->is_int64() && (found->get_int64() < range.minimum ||
                               found->get_int64() > range.maximum)))
    {
        const auto number = found->is_uint64()
                                ? std::to_string(found->get_uint64())
                                : std::to_string(found->get_int64());
        report_fault(fault_kind::out_of_range, key, number + " is out of range",
                     "give a whole number " + bounds);
        return fallback;
    }
    if (!found->is_int64())
    {
        wrong_type(key, "a whole number " + bounds, *found);
        return fallback;
    }
    return found->get_int64();
}

auto object_reader::duration(const std::string& key, milliseconds minimum,
                             milliseconds maximum, milliseconds fallback)
    -> milliseconds
{
    return milliseconds(integer(key + "_ms",
                                {minimum.count(), maximum.count(), "ms"},
                                fallback.count()));
}

auto object_reader::boolean(const std::string& key, bool fallback) -> bool
{
    const auto* const found = member(key);
    if (found == nullptr)
    {
        return fallback;
    }
    if (!found->is_bool())
    {
        wrong_type(key, "true or false", *found);
        return fallback;
    }
    return found->get_bool();
}

auto object_reader::array(const std::string& key) -> const bj::array*
{
    const auto* const found = member(key);
    if (found != nullptr && !found->is_array())
    {
        wrong_type(key, "an array", *found);
        return nullptr;
    }
    return found == nullptr ? nullptr : &found->get_array();
}

auto object_reader::texts(const std::string& key) -> std::vector<std::string>
{
    std::vector<std::string> list;
    const auto* const items = array(key);
    if (items == nullptr)
    {
        return list;
    }
    const auto place = child_pointer(m_pointer, key);
    for (std::size_t i = 0; i < items->size(); ++i)
    {
        const auto& item = (*items)[i];
        if (item.is_string())
        {
            list.emplace_back(item.get_string().data(),
                              item.get_string().size());
            continue;
        }
        add_fault(m_faults, {fault_kind::wrong_type,
                             child_pointer(place, std::to_string(i)), 0,
                             "is " + describe_type(item) + ", not a string",
                             "write a string in quotes"});
    }
    return list;
}

auto object_reader::report_fault(fault_kind kind, const std::string& key,
                                 std::string message, std::string remedy)
    -> void
{
    add_fault(m_faults, {kind, child_pointer(m_pointer, key), 0,
                         std::move(message), std::move(remedy)});
}

auto object_reader::wrong_type(const std::string& key,
                               const std::string& wanted,
                               const bj::value& found) -> void
{
    report_fault(fault_kind::wrong_type, key,
                 "is " + describe_type(found) + ", not " + wanted,
                 "give " + wanted);
}

auto object_reader::find_renamed_key(const std::string& key,
                                     const std::string& deprecated_key) const
    -> std::string
{
    if (m_object == nullptr || m_object->contains(key) ||
        !m_object->contains(deprecated_key))
    {
        return key;
    }
    logging::warn("deprecated key; it is accepted in this "
                  "release only")
        .with("place", m_pointer)
        .with("earlier", deprecated_key)
        .with("now", key);
    return deprecated_key;
}

auto object_reader::reject_unknown() -> void
{
    if (m_object == nullptr)
    {
        return;
    }
    for (const auto& item : *m_object)
    {
        const std::string key(item.key().data(), item.key().size());
        if (m_requested_keys.count(key) == 0)
        {
            report_fault(
                fault_kind::unknown_key, key, "unknown key \"" + key + "\"",
                "remove it, or use one of: " + join_keys(m_requested_keys));
        }
    }
}

} // namespace pimentoshunt::json
