/// @file
/// CAF message from the control service to the transport service.
#pragma once

#include <pimentoshunt/control/engine.hpp>

#include <caf/allowed_unsafe_message_type.hpp>

#include <vector> // vector

namespace pimentoshunt::control
{

/// @brief Messages to other instances; the batch itself is never serialized.
struct outbound_batch
{
    std::vector<outbound> items;
};

} // namespace pimentoshunt::control

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(pimentoshunt::control::outbound_batch)
