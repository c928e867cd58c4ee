/// @file
/// The answer to callers while the store is away.
#pragma once

#include <pimentoshunt/cell/policy/store_outage.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/net/http_server.hpp>

#include <string> // string

namespace pimentoshunt::cell
{

/// @brief Status 503 with a Retry-After that follows the length of the outage.
template<class Platform>
[[nodiscard]] auto outage_answer(const Platform& platform, store_health& health,
                                 const job_id& job, const std::string& why)
    -> net::server_response
{
    constexpr int unavailable = 503;
    auto out = platform.error_answer(unavailable, why);
    out.retry_after =
        policy::retry_delay(health.outage(boot_clock::now()), job);
    return out;
}

} // namespace pimentoshunt::cell
