/// @file
/// Rows of the inbox that another instance is asked to store, as this one does
/// not reach the store.
#pragma once

#include <pimentoshunt/cell/inbox_writer.hpp>
#include <pimentoshunt/clock.hpp>

#include <cell.pb.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <utility>    // move

namespace pimentoshunt::cell
{

/// @brief The deposits of one instance that have no answer yet. Control thread
/// only.
class forwarded_writes
{
  public:
    using handler = std::function<void(inbox_write_result)>;
    /// Sends a deposit to an instance that should reach the store; false when
    /// none is known.
    using sender = std::function<bool(const wire::cell_deposit&)>;

    /// @param first_number  number of the first deposit; differs from life to life
    forwarded_writes(boost::asio::io_context& control, sender send,
                     std::uint64_t first_number)
        : m_control(control), m_send(std::move(send)),
          m_last_number(first_number)
    {
    }

    /// @brief Asks for a deposit.
    /// @param deadline  after that the outcome is not known
    /// @return false when there is nobody to ask: @p done is not called
    [[nodiscard]] auto forward(wire::cell_deposit write, time_point deadline,
                               handler done) -> bool;

    /// @brief An answer came; one that is too late says nothing.
    auto on_answer(std::uint64_t number, inbox_write_result result) -> void;

  private:
    struct pending_write
    {
        pending_write(boost::asio::io_context& control, handler to)
            : timer(control), done(std::move(to))
        {
        }

        boost::asio::steady_timer timer;
        handler done;
    };

    boost::asio::io_context& m_control;
    sender m_send;
    std::uint64_t m_last_number;
    std::map<std::uint64_t, std::unique_ptr<pending_write>> m_pending_writes;
};

/// @brief The outcome of a deposit as it travels, and back; a value that is
/// none reads as unsettled.
[[nodiscard]] auto to_wire(inbox_write_result result) -> std::uint32_t;
[[nodiscard]] auto inbox_write_result_of(std::uint32_t value)
    -> inbox_write_result;

} // namespace pimentoshunt::cell
