/// @file
/// Interface to the platform: a transactional table, an object store and a list
/// of instances and workers that may be out of date.
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

/// @brief A row of the table.
struct row
{
    std::string key;
    std::string value;
    /// Increases by one with each change; starts at 1.
    std::int64_t version = 0;
    /// Id of the commit that wrote this version.
    std::string write_id;
};

/// Expected version of a row that must not exist.
inline constexpr std::int64_t expect_absent = 0;
/// Expected version if the row may have any version or be absent.
inline constexpr std::int64_t expect_any = -1;

/// @brief The change of one row in a transaction.
struct operation
{
    std::string key;
    /// Version that the row must have for the transaction to commit.
    std::int64_t expect = expect_any;
    /// New value; without one, the row is deleted.
    std::optional<std::string> value;
};

/// @brief A set of operations of which all take effect or none.
struct transaction
{
    /// Unique among all commits ever. Found in a row, it proves that a commit
    /// whose reply was lost took effect.
    std::string write_id;
    std::vector<operation> operations;
};

/// @brief Outcome of a transaction that the table answered.
struct commit_outcome
{
    bool committed = false;
    /// If not committed, the rows whose version is not the expected one,
    /// without their values.
    std::vector<row> conflicts;
};

/// @brief The platform's list of workers and instances; may be out of date.
struct instance_list
{
    std::vector<worker::description> workers;
    /// Instances that take in requests.
    std::vector<instance_id> entries;
};

/// Error id: the outcome of a call is unknown.
inline constexpr int outcome_unknown = 301;
/// Error id: the platform rejected the call.
inline constexpr int call_refused = 302;
/// Error id: the answer does not follow the platform's contract.
inline constexpr int answer_malformed = 303;
/// Error id: the request was not sent, so it had no effect.
inline constexpr int not_sent = 304;

/// @brief Requirements on a platform implementation; test fakes meet them too.
/// Errors are of kind platform: 301 no answer (outcome unknown), 302 rejected,
/// 303 malformed answer, 304 unreachable (nothing changed).
template<class T>
concept port = requires(T& platform, const std::string& text,
                        const transaction& change, std::size_t limit)
{
    // Reads the row of a key; nothing if there is none.
    {
        platform.read(text)
        } -> std::same_as<result<std::optional<row>>>;
    // Reads at most limit rows whose keys begin with a prefix and follow a key.
    {
        platform.scan(text, text, limit)
        } -> std::same_as<result<std::vector<row>>>;
    // Resolves lost replies itself: error 301 means that the outcome couldn't
    // be determined.
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
