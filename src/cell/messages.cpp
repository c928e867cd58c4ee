#include <pimentoshunt/cell/messages.hpp>

#include <pimentoshunt/cell/tables.hpp>

namespace pimentoshunt::cell
{

auto question_message(std::uint64_t number, const approval_request& question)
    -> wire::cell_message
{
    wire::cell_message message;
    auto& out = *message.mutable_question();
    out.set_number(number);
    out.set_job(question.step.job.str());
    out.set_round(question.step.round);
    out.set_step(question.step.step);
    for (const auto& id : question.workers)
    {
        out.add_workers(id.str());
    }
    out.set_expected_ms(question.expected.count());
    return message;
}

auto read_question(const wire::cell_question& from) -> approval_request
{
    approval_request out;
    out.step = {job_id(from.job()), from.round(), from.step()};
    for (const auto& id : from.workers())
    {
        out.workers.emplace_back(id);
    }
    out.expected = milliseconds(from.expected_ms());
    return out;
}

auto answer_message(std::uint64_t number, const approval_response& answer)
    -> wire::cell_message
{
    wire::cell_message message;
    auto& out = *message.mutable_question_answer();
    out.set_number(number);
    out.set_answered(answer.approved.has_value());
    out.set_ticket_life_ms(answer.ticket_lifetime.count());
    if (answer.approved)
    {
        for (const auto& item : *answer.approved)
        {
            auto& line = *out.add_approved();
            line.set_worker(item.worker.str());
            line.set_ticket(item.ticket);
        }
    }
    return message;
}

auto read_answer(const wire::cell_question_answer& from) -> approval_response
{
    approval_response out;
    if (from.answered())
    {
        out.ticket_lifetime = milliseconds(from.ticket_life_ms());
        out.approved.emplace();
        for (const auto& line : from.approved())
        {
            out.approved->push_back({worker_id(line.worker()), line.ticket()});
        }
    }
    return out;
}

auto arrival_message(const stored_row& row) -> wire::cell_message
{
    wire::cell_message message;
    auto& out = *message.mutable_arrival();
    out.set_part(row.at.part);
    out.set_key(row.at.key);
    out.set_value(row.value);
    out.set_version(row.version);
    return message;
}

auto read_arrival(const wire::cell_arrival& from) -> stored_row
{
    return {{inbox_table, from.part(), from.key()},
            from.value(),
            from.version(),
            false};
}

} // namespace pimentoshunt::cell
