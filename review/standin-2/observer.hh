// What a test has seen of each job's runs, on the workers' side.
#pragma once

#include "world.hh"

#include <map>
#include <set>
#include <string>

namespace review
{

struct job_view
{
    std::uint64_t starts = 0;
    std::set<std::string> done;
    std::uint64_t failed = 0, lost = 0;
    std::set<std::string> alive;
    steady::time_point changed_at;
};

/// Watches all workers of a world; read it with the world locked.
class observer
{
  public:
    explicit observer(world& at, bool write_all);

    std::map<std::string, job_view> jobs;

  private:
    world& m_world;
    bool m_write_all;
};

/// 16 hexadecimal digits.
[[nodiscard]] auto job_id(unsigned kind, unsigned number) -> std::string;
/// A configuration with the queues "brief" and "watch" of one service.
[[nodiscard]] auto two_queues(int most_failures = 3) -> std::string;
/// The state in a body, or "" if it names none.
[[nodiscard]] auto state_in(const std::string& body) -> std::string;

} // namespace review
