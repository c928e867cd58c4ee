// Approvals: which workers the queue's policy allows for a step.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/logging.hpp>

#include <algorithm> // sort

namespace pimentoshunt::cell
{

auto scheduler::question_list(const policy::waiting_step& item, time_point now)
    -> std::vector<worker_record*>
{
    const auto& step = *item.step;
    std::vector<worker_record*> aged;
    std::vector<worker_record*> unasked;
    for (auto& [id, worker] : m_workers)
    {
        if (!usable(worker, *item.job, step, now) || !fits(worker, step) ||
            step.approvals.refused.contains(&worker))
        {
            continue;
        }
        const auto known = step.approvals.approved.find(&worker);
        if (known == step.approvals.approved.end())
        {
            unasked.push_back(&worker);
        }
        else if (known->second.valid_until <= now + m_options.ticket_margin ||
                 known->second.born != worker.entry.born)
        {
            aged.push_back(&worker);
        }
    }
    const auto by_room =
        [](const worker_record* left, const worker_record* right)
    {
        return left->room().millicpus > right->room().millicpus;
    };
    std::stable_sort(aged.begin(), aged.end(), by_room);
    std::stable_sort(unasked.begin(), unasked.end(), by_room);
    // Approvals stay as they are: asking for those again costs least.
    std::vector<worker_record*> out = aged;
    std::int64_t room = 0;
    const auto each = std::max<std::int64_t>(step.spec->need.millicpus, 1);
    for (const auto* worker : aged)
    {
        room += step.spec->filler ? 1 : worker->room().millicpus / each;
    }
    if (room < static_cast<std::int64_t>(step.waiting.size()))
    {
        out.insert(out.end(), unasked.begin(), unasked.end());
    }
    if (out.size() > m_options.question_workers)
    {
        out.resize(m_options.question_workers);
    }
    return out;
}

auto scheduler::ask_approval(const policy::waiting_step& item, time_point now)
    -> void
{
    auto& state = item.step->approvals;
    if (state.in_flight || now < state.next_question_at)
    {
        return;
    }
    const auto list = question_list(item, now);
    if (list.empty())
    {
        return;
    }
    const auto& terms = item.job->spec->queue.approval;
    approval_question question;
    question.step = {item.job->spec->id, item.round->number, item.step->number};
    question.priority = item.job->spec->queue.priority;
    for (const auto* worker : list)
    {
        question.workers.push_back(worker->entry.id);
    }
    const auto expected =
        terms.each_call + terms.each_worker * static_cast<double>(list.size());
    question.expected = std::chrono::ceil<milliseconds>(expected);
    state.in_flight = true;
    m_out.questions.push_back(std::move(question));
}

auto scheduler::approval_answered(const approval_answer& answer, time_point now)
    -> void
{
    const auto place = find({answer.step, 0});
    if (place.step == nullptr)
    {
        return;
    }
    auto& state = place.step->approvals;
    state.in_flight = false;
    state.next_question_at = now + m_options.question_pause;
    if (!answer.approved)
    {
        return;
    }
    for (const auto& id : answer.asked)
    {
        const auto worker = m_workers.find(id);
        if (worker != m_workers.end() &&
            !state.approved.contains(&worker->second))
        {
            state.refused.insert(&worker->second);
        }
    }
    for (const auto& item : *answer.approved)
    {
        const auto worker = m_workers.find(item.worker);
        if (worker == m_workers.end())
        {
            continue;
        }
        state.refused.erase(&worker->second);
        state.approved[&worker->second] = {
            item.ticket, now + answer.ticket_life, worker->second.entry.born};
    }
    logging::debug("approval")
        .with("job", answer.step.job)
        .with("asked", answer.asked.size())
        .with("approved", answer.approved->size());
}

} // namespace pimentoshunt::cell
