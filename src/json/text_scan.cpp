/// @file
/// Scans a JSON text line by line with the streaming parser of Boost.JSON.
#include <pimentoshunt/json/text_scan.hpp>

#include <boost/json/basic_parser_impl.hpp>

#include <set>         // set
#include <string_view> // string_view

namespace pimentoshunt::json
{
namespace
{

namespace bj = boost::json;

/// @brief An object or array whose end has not been reached yet.
struct open_container
{
    std::string pointer;
    bool is_object = false;
    std::size_t next_index = 0;
    std::string key;
    std::set<std::string> keys;
};

/// @brief Event handler for boost::json::basic_parser that records the line of
/// each value. Function names and signatures are those that the parser calls.
class position_handler
{
  public:
    // Limits that basic_parser reads from its handler.
    static constexpr std::size_t max_object_size = 1'000'000;
    static constexpr std::size_t max_array_size = 1'000'000;
    static constexpr std::size_t max_key_size = 1u << 20;
    static constexpr std::size_t max_string_size = 64u << 20;

    std::size_t line = 1;
    text_scan scan_result;

    auto on_document_begin(bj::error_code&) -> bool
    {
        return true;
    }
    auto on_document_end(bj::error_code&) -> bool
    {
        return true;
    }
    auto on_object_begin(bj::error_code&) -> bool
    {
        m_open_containers.push_back({record_value(), true, 0, {}, {}});
        return true;
    }
    auto on_object_end(std::size_t, bj::error_code&) -> bool
    {
        m_open_containers.pop_back();
        return true;
    }
    auto on_array_begin(bj::error_code&) -> bool
    {
        m_open_containers.push_back({record_value(), false, 0, {}, {}});
        return true;
    }
    auto on_array_end(std::size_t, bj::error_code&) -> bool
    {
        m_open_containers.pop_back();
        return true;
    }
    auto on_key_part(bj::string_view part, std::size_t, bj::error_code&) -> bool
    {
        m_key_text.append(part.data(), part.size());
        return true;
    }
    auto on_key(bj::string_view part, std::size_t, bj::error_code&) -> bool
    {
        m_key_text.append(part.data(), part.size());
        finish_key();
        return true;
    }
    auto on_string_part(bj::string_view, std::size_t, bj::error_code&) -> bool
    {
        return true;
    }
    auto on_string(bj::string_view, std::size_t, bj::error_code&) -> bool
    {
        record_value();
        return true;
    }
    auto on_number_part(bj::string_view, bj::error_code&) -> bool
    {
        return true;
    }
    auto on_int64(std::int64_t, bj::string_view, bj::error_code&) -> bool
    {
        record_value();
        return true;
    }
    auto on_uint64(std::uint64_t, bj::string_view, bj::error_code&) -> bool
    {
        record_value();
        return true;
    }
    auto on_double(double, bj::string_view, bj::error_code&) -> bool
    {
        record_value();
        return true;
    }
    auto on_bool(bool, bj::error_code&) -> bool
    {
        record_value();
        return true;
    }
    auto on_null(bj::error_code&) -> bool
    {
        record_value();
        return true;
    }
    auto on_comment_part(bj::string_view, bj::error_code&) -> bool
    {
        return true;
    }
    auto on_comment(bj::string_view, bj::error_code&) -> bool
    {
        return true;
    }

    /// @brief Pointer of the innermost open container, for a syntax fault.
    [[nodiscard]] auto current_pointer() const -> std::string
    {
        return m_open_containers.empty() ? ""
                                         : m_open_containers.back().pointer;
    }

  private:
    /// Records the line of a value that begins now; returns its pointer.
    auto record_value() -> std::string
    {
        auto pointer = std::string();
        if (!m_open_containers.empty())
        {
            auto& parent = m_open_containers.back();
            pointer = child_pointer(parent.pointer,
                                    parent.is_object
                                        ? parent.key
                                        : std::to_string(parent.next_index++));
        }
        scan_result.lines.emplace(pointer, line);
        return pointer;
    }

    /// Ends a key, which may have come in parts; reports a duplicate.
    auto finish_key() -> void
    {
        auto& parent = m_open_containers.back();
        parent.key = std::move(m_key_text);
        m_key_text.clear();
        if (!parent.keys.insert(parent.key).second)
        {
            add_fault(scan_result.faults,
                      {fault_kind::duplicate,
                       child_pointer(parent.pointer, parent.key), line,
                       "key \"" + parent.key + "\" is given twice",
                       "keep one of the two"});
        }
    }

    std::vector<open_container> m_open_containers;
    std::string m_key_text;
};

auto syntax_fault(const position_handler& handler, bj::error_code code) -> fault
{
    if (code == bj::error::too_deep)
    {
        return {fault_kind::syntax, handler.current_pointer(), handler.line,
                "nested deeper than " + std::to_string(max_nesting) + " levels",
                "remove the inner levels; no key needs them"};
    }
    return {fault_kind::syntax, handler.current_pointer(), handler.line,
            "not JSON: " + code.message(),
            "write the text as JSON in UTF-8, without comments"};
}

/// @brief Returns the end of the line that begins at @p begin, past its
/// newline.
auto line_end(const std::string& text, std::size_t begin) -> std::size_t
{
    const auto newline = text.find('\n', begin);
    return newline == std::string::npos ? text.size() : newline + 1;
}

} // namespace

auto text_scan::line_of(std::string pointer) const -> std::size_t
{
    while (true)
    {
        const auto entry = lines.find(pointer);
        if (entry != lines.end())
        {
            return entry->second;
        }
        if (pointer.empty())
        {
            return 1;
        }
        pointer.erase(pointer.rfind('/'));
    }
}

auto scan(const std::string& text) -> text_scan
{
    bj::parse_options options;
    options.max_depth = max_nesting;
    bj::basic_parser<position_handler> parser(options);
    auto& handler = parser.handler();
    bj::error_code code;
    std::size_t begin = 0;
    // The parser doesn't report positions. Feeding it one line at a time gives
    // the line of each event.
    do
    {
        const auto end = line_end(text, begin);
        const auto used = parser.write_some(end < text.size(), &text[begin],
                                            end - begin, code);
        const auto rest = text.find_first_not_of(" \t\r\n", begin + used);
        if (!code && used < end - begin && rest != std::string::npos)
        {
            code = bj::error::extra_data;
        }
        if (code)
        {
            add_fault(handler.scan_result.faults, syntax_fault(handler, code));
            break;
        }
        begin = end;
        ++handler.line;
    } while (begin < text.size());
    return std::move(handler.scan_result);
}

} // namespace pimentoshunt::json
