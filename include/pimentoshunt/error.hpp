/// @file
/// The one error type: a kind, a stable number, a place and a remedy.
#pragma once

#include <boost/leaf/handle_errors.hpp> // try_handle_all
#include <boost/leaf/result.hpp>        // result

#include <string>  // string
#include <utility> // move

namespace pimentoshunt
{

/// @brief What sort of failure it was; the value is the stable id's hundreds.
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

/// @brief The kind's name as it begins each message.
[[nodiscard]] auto to_string(error_kind kind) -> std::string;

/// @brief A failure that an operator or caller can act on.
struct error
{
    error_kind kind = error_kind::usage;
    /// Stable number, unique in the whole program; documented in docs/errors.md
    int id = 0;
    /// The place: a JSON pointer, a file, a peer's address.
    std::string where;
    /// What is wrong, in one sentence without a final stop.
    std::string what;
    /// What to do about it, in one sentence without a final stop.
    std::string remedy;

    /// @brief "[plan.201] at /services/0: what; remedy: ...".
    [[nodiscard]] auto message() const -> std::string;
};

namespace leaf = boost::leaf;

/// @brief A value or an error, carried by Boost.LEAF.
template<class T>
using result = leaf::result<T>;

/// @brief Runs @p body, which returns result<T>, and hands a failure on.
/// @param body  called without arguments
/// @param on_error  called with the @ref error, returns a T
/// @return the value of @p body, or of @p on_error
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
