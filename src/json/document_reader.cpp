#include <pimentoshunt/json/document_reader.hpp>

#include <boost/json/parse.hpp>

#include <algorithm> // none_of, stable_sort

namespace pimentoshunt::json
{

auto read_text(const std::string& text, std::size_t max_bytes) -> parsed_text
{
    parsed_text read;
    if (text.size() > max_bytes)
    {
        add_fault(
            read.faults,
            {fault_kind::too_large, "", 0,
             std::to_string(text.size()) + " bytes exceed the limit",
             "keep the text within " + std::to_string(max_bytes) + " bytes"});
        return read;
    }
    read.positions = scan(text);
    read.faults = read.positions.faults;
    read.is_well_formed =
        std::none_of(read.faults.begin(), read.faults.end(),
                     [](const fault& item)
                     {
                         return item.kind == fault_kind::syntax;
                     });
    if (read.is_well_formed)
    {
        boost::json::error_code code;
        read.root = boost::json::parse(text, code);
        read.is_well_formed = !code;
    }
    return read;
}

auto assign_lines(std::vector<fault>& faults, const text_scan& positions)
    -> void
{
    for (auto& item : faults)
    {
        if (item.line == 0)
        {
            item.line = positions.line_of(item.pointer);
        }
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const fault& left, const fault& right)
                     {
                         return left.line < right.line;
                     });
}

} // namespace pimentoshunt::json
