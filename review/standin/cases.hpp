/// @file
/// The cases of the review. Each returns 1 if the rule was broken, 0 if it
/// held, 2 if the case could not run.
#pragma once

#include "record.hpp"

#include <string>

namespace review
{

struct options
{
    std::string binary;
    /// Whether the disruption takes place.
    bool trouble = true;
};

/// A machine that crashes again and again under a service.
auto failing_machine(const options& chosen, record& seen) -> int;
/// A worker that starts again under its id while it is idle.
auto same_id(const options& chosen, record& seen) -> int;
/// A worker that starts again under its id and is lost soon after.
auto brief_life(const options& chosen, record& seen) -> int;
/// A service whose tasks fail soon after each start, beside small jobs.
auto failing_service(const options& chosen, record& seen) -> int;

} // namespace review
