/// @file
/// Faults of JSON texts that people write (plans, settings), and their report
/// as errors.
#pragma once

#include <pimentoshunt/error.hpp>

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::json
{

/// @brief Type of a fault. The stable error id is 100 times the error kind plus
/// this value (docs/errors.md), so values never change.
enum class fault_kind
{
    syntax = 1,
    unknown_key = 2,
    wrong_type = 3,
    out_of_range = 4,
    missing = 5,
    duplicate = 6,
    too_large = 7,
    /// Only for the error that lists several faults.
    several = 9,
    unknown_name = 11,
    cycle = 12,
    quota_too_small = 13,
    fits_no_worker = 14
};

/// @brief A fault with its position and remedy.
struct fault
{
    fault_kind kind = fault_kind::syntax;
    /// JSON pointer (RFC 6901) of the value; empty for the whole text.
    std::string pointer;
    /// Line of the value, from 1; 0 until assign_lines() sets it.
    std::size_t line = 0;
    /// What is wrong: one sentence without a full stop.
    std::string message;
    /// What to do about it: one sentence without a full stop.
    std::string remedy;
};

/// Most faults that are kept of one text; a longer list is of no use to the
/// reader.
inline constexpr std::size_t max_faults = 1'000;

/// @brief Adds @p item unless @p faults already holds @ref max_faults.
auto add_fault(std::vector<fault>& faults, fault item) -> void;

/// @brief Formats a fault as "line 3, /services/0: message; remedy: ...".
[[nodiscard]] auto to_string(const fault& item) -> std::string;

/// @brief Makes one error of all @p faults. A single fault keeps its own id;
/// several share the id of fault_kind::several.
/// @param kind  determines the hundreds of the error's id
/// @param faults  at least one
[[nodiscard]] auto to_error(error_kind kind, const std::vector<fault>& faults)
    -> error;

/// @brief Appends a member's name or an element's index to a JSON pointer.
/// @param parent  JSON pointer of the object or array
/// @param token  name or index; '~' and '/' are escaped as in RFC 6901
[[nodiscard]] auto child_pointer(const std::string& parent,
                                 const std::string& token) -> std::string;

/// @brief Returns @p read if there are no faults, else one error that lists
/// all of @p faults.
template<class T>
[[nodiscard]] auto value_or_error(error_kind kind,
                                  const std::vector<fault>& faults, T read)
    -> result<T>
{
    if (!faults.empty())
    {
        return leaf::new_error(to_error(kind, faults));
    }
    return read;
}

} // namespace pimentoshunt::json
