/// @file
/// Names for commits, unique for all time.
#pragma once

#include <atomic>  // atomic
#include <cstdint> // uint64_t
#include <string>  // string

namespace pimentoshunt::platform
{

/// @brief Makes write ids that no other source and no other process makes.
/// Safe for use by many threads.
class write_id_source
{
  public:
    /// @param prefix  unique for all time, as "instance#incarnation"
    explicit write_id_source(std::string prefix);

    /// @brief A fresh id.
    [[nodiscard]] auto next() -> std::string;

  private:
    const std::string m_prefix;
    std::atomic<std::uint64_t> m_count{0};
};

} // namespace pimentoshunt::platform
