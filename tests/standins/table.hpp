/// @file
/// The transactional table and the object store of the platform stand-in.
#pragma once

#include <pimentoshunt/platform/port.hpp>

#include <cstddef>  // size_t
#include <map>      // map
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::standins
{

/// @brief What became of a transaction.
struct commit_result
{
    bool committed = false;
    /// One per operation, when committed; 0 for a deleted row.
    std::vector<std::int64_t> versions;
    /// The rows at another version than expected, when not committed.
    std::vector<platform::row> conflicts;
};

/// @brief An in-memory table with compare-and-swap; safe to share by threads.
class table
{
  public:
    /// @complexity logarithmic in the rows
    [[nodiscard]] auto read(const std::string& key) const
        -> std::optional<platform::row>;

    /// @brief Up to @p limit rows that begin with @p prefix and come after the
    /// key @p after, in key order.
    [[nodiscard]] auto scan(const std::string& prefix, const std::string& after,
                            std::size_t limit) const
        -> std::vector<platform::row>;

    /// @brief Applies all operations or none.
    auto commit(const platform::transaction& change) -> commit_result;

  private:
    [[nodiscard]] auto find_conflicts(const platform::transaction& change) const
        -> std::vector<platform::row>;
    auto apply(const platform::operation& change, const std::string& write_id)
        -> std::int64_t;

    mutable std::mutex m_mutex;
    std::map<std::string, platform::row> m_rows;
};

/// @brief Named bytes; safe to share by threads.
class object_store
{
  public:
    auto put(const std::string& name, std::string bytes) -> void;
    [[nodiscard]] auto get(const std::string& name) const
        -> std::optional<std::string>;

  private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_objects;
};

} // namespace pimentoshunt::standins
