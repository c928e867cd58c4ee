/// @file
/// The program's error type, with a stable id, a location and a remedy, and its
/// transport by Boost.LEAF.
#pragma once

#include <boost/leaf/handle_errors.hpp> // try_handle_all
#include <boost/leaf/result.hpp>        // result

#include <string>  // string
#include <utility> // move

namespace pimentoshunt
{

/// @brief Category of an error; the value is the hundreds digit of the ids.
enum class error_kind
{
    settings = 1,
    plan = 2,
    platform = 3,
    worker = 4,
    request = 5,
    job = 6,
    transport = 7,
    usage = 8
};

/// @brief Name of the kind, as at the beginning of each message.
[[nodiscard]] auto to_string(error_kind kind) -> std::string;

/// @brief An error that an operator or caller can act on.
struct error
{
    error_kind kind = error_kind::usage;
    /// Stable id, unique in the program; documented in docs/errors.md.
    int id = 0;
    /// Location: a JSON pointer, a file, a peer's address; may be empty.
    std::string where;
    /// What is wrong: one sentence without a full stop.
    std::string what;
    /// What to do about it: one sentence without a full stop.
    std::string remedy;

    /// @brief Formats the error as
    /// "[plan.201] at /services/0: what; remedy: ...".
    [[nodiscard]] auto message() const -> std::string;
};

namespace leaf = boost::leaf;

/// @brief A value or an error, carried by Boost.LEAF.
template<class T>
using result = leaf::result<T>;

/// @brief Calls @p body and passes its error, if any, to @p on_error.
/// @param body  called without arguments; returns result<T>
/// @param on_error  called with the @ref error; returns a T. A failure that
///                  carries no @ref error is passed as usage error 899.
/// @return the value of @p body, or the result of @p on_error
template<class Body, class Handler>
auto handle(Body&& body, Handler&& on_error)
{
    return leaf::try_handle_all(
        std::forward<Body>(body),
        [&](const error& e)
        {
            return on_error(e);
        },
        [&]
        {
            return on_error(error{error_kind::usage, 899, "", "unknown failure",
                                  "report it with the logs of this instance"});
        });
}

} // namespace pimentoshunt
