/// @file
/// Ids of commits, unique among all commits ever.
#pragma once

#include <atomic>  // atomic
#include <cstdint> // uint64_t
#include <string>  // string

namespace pimentoshunt::platform
{

/// @brief Generates write ids that no other source or process generates.
/// Thread-safe.
class write_id_source
{
  public:
    /// @param prefix  unique among all sources ever, such as
    ///                "instance#incarnation"
    explicit write_id_source(std::string prefix);

    /// @brief Returns an id that was never returned before.
    [[nodiscard]] auto next() -> std::string;

  private:
    const std::string m_prefix;
    std::atomic<std::uint64_t> m_count{0};
};

} // namespace pimentoshunt::platform
