/// @file
/// A reply to a caller that is sent at a deadline at the latest. Used by the
/// control thread only.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional> // function
#include <memory>     // make_shared
#include <utility>    // exchange, move

namespace pimentoshunt::cell
{

/// @brief Wraps a reply so that @p late answers at @p deadline if nothing has
/// answered before. Later answers are dropped.
[[nodiscard]] inline auto reply_by(boost::asio::io_context& control,
                                   time_point deadline,
                                   net::http_server::reply answer,
                                   std::function<net::server_response()> late)
    -> net::http_server::reply
{
    struct pending_reply
    {
        boost::asio::steady_timer timer;
        net::http_server::reply answer;

        auto send(net::server_response response) -> void
        {
            if (const auto target = std::exchange(answer, nullptr))
            {
                timer.cancel();
                target(std::move(response));
            }
        }
    };
    auto pending = std::make_shared<pending_reply>(
        pending_reply{boost::asio::steady_timer(control), std::move(answer)});
    pending->timer.expires_after(deadline - boot_clock::now());
    pending->timer.async_wait(
        [pending, late = std::move(late)](auto fault)
        {
            if (!fault)
            {
                pending->send(late());
            }
        });
    return [pending](net::server_response response)
    {
        pending->send(std::move(response));
    };
}

} // namespace pimentoshunt::cell
