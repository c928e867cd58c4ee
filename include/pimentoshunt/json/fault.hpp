/// @file
/// One fault found in a JSON text that a person wrote, and how it is reported.
#pragma once

#include <pimentoshunt/error.hpp>

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::json
{

/// @brief What is wrong; the value is added to the error kind's hundreds to
/// give the stable id (docs/errors.md).
enum class fault_kind
{
    syntax = 1,
    unknown_key = 2,
    wrong_type = 3,
    out_of_range = 4,
    missing = 5,
    duplicate = 6,
    too_large = 7,
    /// Only in the error that sums up several faults.
    several = 9,
    unknown_name = 11,
    cycle = 12,
    quota_too_small = 13,
    fits_no_worker = 14
};

/// @brief A fault with its place and its remedy.
struct fault
{
    fault_kind kind = fault_kind::syntax;
    /// JSON pointer (RFC 6901); empty for the whole text.
    std::string pointer;
    /// Line of the pointer in the text, from 1; 0 while it is not known.
    std::size_t line = 0;
    /// One sentence without a final stop.
    std::string message;
    /// One sentence without a final stop.
    std::string remedy;
};

/// Faults kept of one text; more help nobody.
inline constexpr std::size_t max_faults = 1'000;

/// @brief Adds @p item, unless there are @ref max_faults already.
auto add_fault(std::vector<fault>& faults, fault item) -> void;

/// @brief "line 3, /services/0: message; remedy: ...".
[[nodiscard]] auto to_string(const fault& item) -> std::string;

/// @brief One error that tells of all @p faults.
/// @param kind  gives the hundreds of the error's id
/// @param faults  at least one
[[nodiscard]] auto to_error(error_kind kind, const std::vector<fault>& faults)
    -> error;

/// @brief The pointer to member or element @p token below @p parent.
[[nodiscard]] auto child_pointer(const std::string& parent,
                                 const std::string& token) -> std::string;

/// @brief What was read, or one error that tells of all @p faults.
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
