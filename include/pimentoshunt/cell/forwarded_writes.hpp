/// @file
/// Inbox writes that are forwarded to another instance because this one can't
/// reach the store. On the wire they are called deposits.
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

/// @brief Forwarded writes that have not been answered. Used by the control
/// thread only.
class forwarded_writes
{
  public:
    using handler = std::function<void(inbox_write_result)>;
    /// Sends the write to an instance that can probably reach the store; false
    /// if none is known.
    using sender = std::function<bool(const wire::cell_deposit&)>;

    /// @param first_number  number before the first write; must differ between
    ///                      incarnations, so that late answers are not matched
    ///                      to new writes
    forwarded_writes(boost::asio::io_context& control, sender send,
                     std::uint64_t first_number)
        : m_control(control), m_send(std::move(send)),
          m_last_number(first_number)
    {
    }

    /// @brief Forwards a write.
    /// @param deadline  when the outcome is reported as indeterminate
    /// @return false if no instance is known; @p done is not called then
    [[nodiscard]] auto forward(wire::cell_deposit write, time_point deadline,
                               handler done) -> bool;

    /// @brief Handles an answer; one that arrives after the deadline is
    /// ignored.
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

/// @brief Converts a result to its wire value and back; an invalid value reads
/// as indeterminate.
[[nodiscard]] auto to_wire(inbox_write_result result) -> std::uint32_t;
[[nodiscard]] auto inbox_write_result_of(std::uint32_t value)
    -> inbox_write_result;

} // namespace pimentoshunt::cell
