/// @file
/// Reads the members of one JSON object and notes every fault on the way.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/json/fault.hpp>

#include <boost/json/value.hpp>

#include <cstdint> // int64_t
#include <set>     // set
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::json
{

/// @brief The integers that a member may have, and their unit for messages.
struct int_range
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// "ms", "bytes", "ports"; empty where there is none.
    const char* unit = "";
};

/// @brief Typed access to an object's members; a fault never stops the reading.
///
/// Each reader function returns its fallback where the member is absent or
/// faulty. Call @ref reject_unknown last.
class object_reader
{
  public:
    /// @param value  what should be an object; noted as a fault if it is not
    /// @param pointer  place of @p value in the text
    /// @param faults  where faults are added; must outlive the reader
    object_reader(const boost::json::value& value, std::string pointer,
                  std::vector<fault>& faults);

    /// @brief A string; absent is a fault if @p required.
    auto text(const std::string& key, std::string fallback,
              bool required = false) -> std::string;

    /// @brief A whole number within @p range.
    auto integer(const std::string& key, const int_range& range,
                 std::int64_t fallback) -> std::int64_t;

    /// @brief A whole number of milliseconds in the member @p key + "_ms".
    auto duration(const std::string& key, milliseconds minimum,
                  milliseconds maximum, milliseconds fallback) -> milliseconds;

    /// @brief true or false.
    auto boolean(const std::string& key, bool fallback) -> bool;

    /// @brief An array of strings; absent is empty.
    auto texts(const std::string& key) -> std::vector<std::string>;

    /// @brief The array @p key, or nullptr if it is absent or no array.
    auto array(const std::string& key) -> const boost::json::array*;

    /// @brief Any member, or nullptr if it is absent.
    auto member(const std::string& key) -> const boost::json::value*;

    /// @brief The key under which a member that was renamed is found: the
    /// earlier one if only that is there, which is logged as a warning.
    [[nodiscard]] auto find_renamed_key(const std::string& key,
                                        const std::string& deprecated_key) const
        -> std::string;

    /// @brief Notes a fault at the member @p key.
    auto report_fault(fault_kind kind, const std::string& key,
                      std::string message, std::string remedy) -> void;

    /// @brief Notes each member that was never asked for.
    auto reject_unknown() -> void;

    /// @brief The place of this object.
    [[nodiscard]] auto pointer() const -> const std::string&
    {
        return m_pointer;
    }

  private:
    auto wrong_type(const std::string& key, const std::string& wanted,
                    const boost::json::value& found) -> void;

    const boost::json::object* m_object = nullptr;
    std::string m_pointer;
    std::vector<fault>& m_faults;
    std::set<std::string> m_requested_keys;
};

/// @brief "an object", "a string" and so on, for messages.
[[nodiscard]] auto describe_type(const boost::json::value& value)
    -> std::string;

} // namespace pimentoshunt::json
