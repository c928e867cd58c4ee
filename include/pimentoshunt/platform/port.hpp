/// @file
/// The platform as the rest of the program sees it: a transactional table, an
/// object store and a lagging list of instances.
#pragma once

#include <pimentoshunt/error.hpp>
#include <pimentoshunt/worker/messages.hpp>

#include <concepts> // same_as
#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::platform
{

/// @brief One row of the table.
struct row
{
    std::string key;
    std::string value;
    /// Grows by one with each change; the first is 1.
    std::int64_t version = 0;
    /// The id of the commit that wrote it.
    std::string write_id;
};

/// The row must not exist.
inline constexpr std::int64_t expect_absent = 0;
/// The row may be at any version, or absent.
inline constexpr std::int64_t expect_any = -1;

/// @brief One change of a transaction.
struct operation
{
    std::string key;
    std::int64_t expect = expect_any;
    /// Without a value the row is deleted.
    std::optional<std::string> value;
};

/// @brief A transaction; all operations take effect or none.
struct transaction
{
    /// Unique for all time; settles a commit whose reply was lost.
    std::string write_id;
    std::vector<operation> operations;
};

/// @brief What became of a transaction that the table answered.
struct commit_outcome
{
    bool committed = false;
    /// The rows at another version than expected, when not committed; their
    /// values are not filled in.
    std::vector<row> conflicts;
};

/// @brief The platform's list, which lags behind the truth.
struct instance_list
{
    std::vector<worker::description> workers;
    std::vector<instance_id> entries;
};

/// The outcome of a call is not known.
inline constexpr int outcome_unknown = 301;
/// The platform answered that it does not do this.
inline constexpr int call_refused = 302;
/// The answer was not of the agreed form.
inline constexpr int answer_malformed = 303;
/// The request was certainly not sent.
inline constexpr int not_sent = 304;

/// @brief What every platform implementation, fakes among them, offers.
/// Errors: kind platform; 301 no answer (the outcome is not known), 302
/// refused, 303 malformed answer, 304 unreachable (certainly nothing changed).
template<class T>
concept port = requires(T& platform, const std::string& text,
                        const transaction& change, std::size_t limit)
{
    // The row of that key, or nothing.
    {
        platform.read(text)
        } -> std::same_as<result<std::optional<row>>>;
    // Rows with that prefix, after a key, at most limit of them.
    {
        platform.scan(text, text, limit)
        } -> std::same_as<result<std::vector<row>>>;
    // Settles lost replies by itself: an error means that it is not known.
    {
        platform.commit(change)
        } -> std::same_as<result<commit_outcome>>;
    {
        platform.put_object(text, text)
        } -> std::same_as<result<void>>;
    {
        platform.get_object(text)
        } -> std::same_as<result<std::optional<std::string>>>;
    {
        platform.instances()
        } -> std::same_as<result<instance_list>>;
};

} // namespace pimentoshunt::platform
