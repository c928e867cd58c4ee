/// @file
/// Injects seeded faults into processes, links, the store and workers, in series
/// and overlapping, mainly around changes of owner.
#pragma once

#include "instance_host.hpp"
#include "platform.hpp"

#include <cstdint> // uint64_t
#include <memory>  // unique_ptr
#include <vector>  // vector

namespace pimentoshunt::soak
{

using instance_hosts = std::vector<std::unique_ptr<instance_host>>;

/// @brief Injects faults for @p duration, then ends all of them. Blocks until the
/// last one has ended.
/// @return the injected faults
auto run_faults(platform& stand_in, instance_hosts& instances,
                std::uint64_t seed, milliseconds duration)
    -> std::vector<fault_record>;

} // namespace pimentoshunt::soak
