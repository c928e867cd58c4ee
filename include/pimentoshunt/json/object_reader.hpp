/// @file
/// Typed access to the members of one JSON object; collects faults instead of
/// stopping at the first.
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

/// @brief Inclusive range of an integer member, with its unit for messages.
struct int_range
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// Such as "ms" or "bytes"; empty if the number has no unit.
    const char* unit = "";
};

/// @brief Reads the members of a JSON object and reports faults.
///
/// Each function that reads a member returns its fallback if the member is
/// absent or faulty. Every member that was asked for counts as known; call
/// @ref reject_unknown last to report all others.
class object_reader
{
  public:
    /// @param value  reported as a fault if it is not an object; must outlive
    ///               the reader
    /// @param pointer  JSON pointer of @p value
    /// @param faults  receives faults; must outlive the reader
    object_reader(const boost::json::value& value, std::string pointer,
                  std::vector<fault>& faults);

    /// @brief Reads a string; an absent member is a fault if @p required.
    auto text(const std::string& key, std::string fallback,
              bool required = false) -> std::string;

    /// @brief Reads an integer; a number outside @p range is a fault.
    auto integer(const std::string& key, const int_range& range,
                 std::int64_t fallback) -> std::int64_t;

    /// @brief Reads an integer number of milliseconds from the member
    /// @p key + "_ms".
    auto duration(const std::string& key, milliseconds minimum,
                  milliseconds maximum, milliseconds fallback) -> milliseconds;

    /// @brief Reads true or false.
    auto boolean(const std::string& key, bool fallback) -> bool;

    /// @brief Reads an array of strings; empty if the member is absent.
    /// Elements of other types are reported and left out.
    auto texts(const std::string& key) -> std::vector<std::string>;

    /// @brief Finds an array member; nullptr if it is absent or not an array.
    auto array(const std::string& key) -> const boost::json::array*;

    /// @brief Finds a member of any type; nullptr if it is absent.
    auto member(const std::string& key) -> const boost::json::value*;

    /// @brief Chooses the key of a member that was renamed.
    /// @return @p deprecated_key if only that is present, which also logs a
    ///         warning; else @p key
    [[nodiscard]] auto find_renamed_key(const std::string& key,
                                        const std::string& deprecated_key) const
        -> std::string;

    /// @brief Reports a fault of the member @p key.
    auto report_fault(fault_kind kind, const std::string& key,
                      std::string message, std::string remedy) -> void;

    /// @brief Reports each member that was never asked for as unknown.
    auto reject_unknown() -> void;

    /// @brief JSON pointer of this object.
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

/// @brief Describes a value's type for messages, such as "an object".
[[nodiscard]] auto describe_type(const boost::json::value& value)
    -> std::string;

} // namespace pimentoshunt::json
