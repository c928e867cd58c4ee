/// @file
/// Seeded faults on processes, links, store and workers, in series and
/// overlapping, aimed at changes of owner.
#pragma once

#include "instance_host.hpp"
#include "platform.hpp"

#include <cstdint> // uint64_t
#include <memory>  // unique_ptr
#include <vector>  // vector

namespace pimentoshunt::soak
{

using instance_hosts = std::vector<std::unique_ptr<instance_host>>;

/// @brief Puts faults on for so long, then ends them all.
/// @return what was done
auto run_faults(platform& stand_in, instance_hosts& instances,
                std::uint64_t seed, milliseconds duration)
    -> std::vector<fault_record>;

} // namespace pimentoshunt::soak
