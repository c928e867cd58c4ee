/// @file
/// Allows kernel::io_call, a blocking call, as a CAF message within the
/// process.
#pragma once

#include <pimentoshunt/kernel/io_pool.hpp>

#include <caf/allowed_unsafe_message_type.hpp>

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(pimentoshunt::kernel::io_call)
