/// @file
/// What instances tell each other, between its form here and on the way.
#pragma once

#include <pimentoshunt/cell/orders.hpp>
#include <pimentoshunt/cell/ports.hpp>

#include <cell.pb.h>

#include <cstdint> // uint64_t

namespace pimentoshunt::cell
{

/// @brief A question to the approval service that another instance is to ask.
[[nodiscard]] auto question_message(std::uint64_t number,
                                    const approval_request& question)
    -> wire::cell_message;
[[nodiscard]] auto read_question(const wire::cell_question& from)
    -> approval_request;

/// @brief The answer to such a question; step and workers are the asker's.
[[nodiscard]] auto answer_message(std::uint64_t number,
                                  const approval_response& answer)
    -> wire::cell_message;
[[nodiscard]] auto read_answer(const wire::cell_question_answer& from)
    -> approval_response;

/// @brief A row of the inbox that was just stored.
[[nodiscard]] auto arrival_message(const stored_row& row) -> wire::cell_message;
[[nodiscard]] auto read_arrival(const wire::cell_arrival& from) -> stored_row;

} // namespace pimentoshunt::cell
