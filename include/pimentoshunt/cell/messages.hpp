/// @file
/// Converts messages between instances to and from their Protobuf form.
#pragma once

#include <pimentoshunt/cell/orders.hpp>
#include <pimentoshunt/cell/ports.hpp>

#include <cell.pb.h>

#include <cstdint> // uint64_t

namespace pimentoshunt::cell
{

/// @brief An approval request that another instance is to send to the approval
/// service.
[[nodiscard]] auto question_message(std::uint64_t number,
                                    const approval_request& question)
    -> wire::cell_message;
[[nodiscard]] auto read_question(const wire::cell_question& from)
    -> approval_request;

/// @brief The response to such a request; the receiver fills in step and
/// workers.
[[nodiscard]] auto answer_message(std::uint64_t number,
                                  const approval_response& answer)
    -> wire::cell_message;
[[nodiscard]] auto read_answer(const wire::cell_question_answer& from)
    -> approval_response;

/// @brief The announcement of an inbox row that was just stored.
[[nodiscard]] auto arrival_message(const stored_row& row) -> wire::cell_message;
[[nodiscard]] auto read_arrival(const wire::cell_arrival& from) -> stored_row;

} // namespace pimentoshunt::cell
