#include <pimentoshunt/cell/row_codec.hpp>

#include <cell.pb.h>

#include <algorithm> // find_if, max
#include <utility>   // move

namespace pimentoshunt::cell
{
namespace
{

constexpr auto last_state = static_cast<std::uint32_t>(job_state::cancelled);

auto write_queue(const queue_config& queue, wire::stored_queue& out) -> void
{
    out.set_name(queue.name.str());
    out.set_service(queue.service.str());
    out.set_priority(queue.priority);
    out.set_most_failures(queue.most_failures);
    out.set_stretch(queue.stretch);
    out.set_allowance_ms(queue.allowance.count());
    out.set_approval_required(queue.approval.required);
    out.set_approval_call_ms(queue.approval.time_per_call.count());
    out.set_approval_worker_ms(queue.approval.time_per_worker.count());
    out.set_ticket_life_ms(queue.approval.ticket_lifetime.count());
}

auto read_queue(const wire::stored_queue& from) -> queue_config
{
    queue_config out;
    out.name = queue_name(from.name());
    out.service = service_name(from.service());
    out.priority = from.priority();
    out.most_failures = from.most_failures();
    out.stretch = from.stretch();
    out.allowance = milliseconds(from.allowance_ms());
    using real_ms = std::chrono::duration<double, std::milli>;
    out.approval.required = from.approval_required();
    out.approval.time_per_call = real_ms(from.approval_call_ms());
    out.approval.time_per_worker = real_ms(from.approval_worker_ms());
    out.approval.ticket_lifetime = milliseconds(from.ticket_life_ms());
    return out;
}

auto write_need(const resources& need, wire::stored_need& out) -> void
{
    out.set_millicpus(need.millicpus);
    out.set_memory_mb(need.memory_mb);
    out.set_accelerators(need.accelerators);
}

auto read_need(const wire::stored_need& from) -> resources
{
    resources out;
    out.millicpus = from.millicpus();
    out.memory_mb = from.memory_mb();
    out.accelerators = from.accelerators();
    return out;
}

auto write_step(const step_spec& step, wire::stored_step& out) -> void
{
    out.set_count(step.count);
    write_need(step.need, *out.mutable_need());
    out.set_estimate_ms(step.estimate.count());
    for (const auto earlier : step.after)
    {
        out.add_after(earlier);
    }
    out.set_keeps_checkpoints(step.keeps_checkpoints);
    out.set_gang(step.gang);
    out.set_one_rack(step.one_rack);
    out.set_copies_allowed(step.copies_allowed);
    out.set_lasting(step.lasting);
    out.set_filler(step.filler);
    out.set_required_label(step.required_label);
    out.set_data_rack(step.data_rack);
    out.set_most_per_worker(step.most_per_worker);
    out.set_image(step.image);
    out.set_tail_target_ms(step.tail_target.count());
    out.set_may_be_away(step.may_be_away);
    out.set_limits_absence(step.limits_absence);
}

auto read_step(const wire::stored_step& from) -> step_spec
{
    step_spec out;
    out.count = from.count();
    out.need = read_need(from.need());
    out.estimate = milliseconds(from.estimate_ms());
    out.after.assign(from.after().begin(), from.after().end());
    out.keeps_checkpoints = from.keeps_checkpoints();
    out.gang = from.gang();
    out.one_rack = from.one_rack();
    out.copies_allowed = from.copies_allowed();
    out.lasting = from.lasting();
    out.filler = from.filler();
    out.required_label = from.required_label();
    out.data_rack = from.data_rack();
    out.most_per_worker = from.most_per_worker();
    out.image = from.image();
    out.tail_target = milliseconds(from.tail_target_ms());
    out.may_be_away = from.may_be_away();
    out.limits_absence = from.limits_absence();
    return out;
}

auto write_round(const round_progress& round, wire::stored_round& out) -> void
{
    out.set_round(round.round);
    for (const auto& [step, tasks] : round.done)
    {
        auto& item = *out.add_done();
        item.set_step(step);
        item.mutable_tasks()->Assign(tasks.begin(), tasks.end());
    }
    for (const auto& failure : round.failures)
    {
        auto& item = *out.add_failures();
        item.set_step(failure.task.step.step);
        item.set_task(failure.task.index);
        item.set_number(failure.number);
    }
    for (const auto& [run, crash] : round.crashes)
    {
        auto& item = *out.add_crashes();
        item.set_step(run.task.step.step);
        item.set_task(run.task.index);
        item.set_number(run.number);
        item.set_age_ms(crash.age.count());
        item.set_in_trial(crash.in_trial);
        item.set_confirmed(crash.confirmed);
        item.set_likely(crash.likely);
    }
    for (const auto& [task, text] : round.checkpoints)
    {
        auto& item = *out.add_checkpoints();
        item.set_step(task.step.step);
        item.set_task(task.index);
        item.set_text(text);
    }
}

auto read_round(const job_id& job, const wire::stored_round& from)
    -> round_progress
{
    round_progress out;
    out.round = from.round();
    for (const auto& item : from.done())
    {
        out.done[item.step()].assign(item.tasks().begin(), item.tasks().end());
    }
    for (const auto& item : from.failures())
    {
        out.failures.push_back(
            {{{job, from.round(), item.step()}, item.task()}, item.number()});
    }
    for (const auto& item : from.crashes())
    {
        const run_ref run{{{job, from.round(), item.step()}, item.task()},
                          item.number()};
        out.crashes[run] = {milliseconds(item.age_ms()), item.confirmed(),
                            item.likely(), item.in_trial()};
    }
    for (const auto& item : from.checkpoints())
    {
        out.checkpoints[{{job, from.round(), item.step()}, item.task()}] =
            item.text();
    }
    return out;
}

} // namespace

auto to_bytes(const job_spec& job) -> std::string
{
    return to_bytes(inbox_job{job, 0});
}

auto to_bytes(const inbox_job& item) -> std::string
{
    const auto& job = item.job;
    wire::stored_job out;
    out.set_id(job.id.str());
    write_queue(job.queue, *out.mutable_queue());
    out.set_payload(job.payload);
    for (const auto& step : job.steps)
    {
        write_step(step, *out.add_steps());
    }
    out.set_occurrences(job.occurrences);
    out.set_first_due_ms(job.first_due.time_since_epoch().count());
    out.set_interval_ms(job.interval.count());
    out.set_epoch(item.epoch);
    out.set_accepted_at_ms(job.accepted_at.time_since_epoch().count());
    out.set_workspace(job.workspace.str());
    return out.SerializeAsString();
}

auto read_job(const std::string& bytes) -> std::optional<job_spec>
{
    auto item = read_inbox_job(bytes);
    return item ? std::optional(std::move(item->job)) : std::nullopt;
}

auto read_inbox_job(const std::string& bytes) -> std::optional<inbox_job>
{
    wire::stored_job from;
    if (!from.ParseFromString(bytes) || from.id().empty())
    {
        return std::nullopt;
    }
    inbox_job item;
    item.epoch = from.epoch();
    auto& out = item.job;
    out.id = job_id(from.id());
    out.queue = read_queue(from.queue());
    out.payload = from.payload();
    for (const auto& step : from.steps())
    {
        out.steps.push_back(read_step(step));
    }
    out.occurrences = from.occurrences();
    out.first_due = calendar_time(milliseconds(from.first_due_ms()));
    out.interval = milliseconds(from.interval_ms());
    out.accepted_at = calendar_time(milliseconds(from.accepted_at_ms()));
    out.workspace = workspace_name(from.workspace());
    return item;
}

auto to_bytes(const job_progress& progress) -> std::string
{
    wire::stored_progress out;
    out.set_id(progress.id.str());
    out.set_state(static_cast<std::uint32_t>(progress.state));
    for (const auto& round : progress.rounds)
    {
        write_round(round, *out.add_rounds());
    }
    return out.SerializeAsString();
}

auto read_progress(const std::string& bytes) -> std::optional<job_progress>
{
    wire::stored_progress from;
    if (!from.ParseFromString(bytes) || from.id().empty() ||
        from.state() > last_state)
    {
        return std::nullopt;
    }
    job_progress out;
    out.id = job_id(from.id());
    out.state = static_cast<job_state>(from.state());
    for (const auto& round : from.rounds())
    {
        out.rounds.push_back(read_round(out.id, round));
    }
    return out;
}

auto to_bytes(const roster_entry& worker) -> std::string
{
    const auto& entry = worker.entry;
    wire::stored_worker out;
    out.set_id(entry.id.str());
    out.set_born_ms(entry.incarnation.time_since_epoch().count());
    out.set_service(entry.service.str());
    out.set_machine(entry.machine.str());
    out.set_address(entry.address);
    out.set_data_centre(entry.data_centre.str());
    for (const auto& label : entry.labels)
    {
        out.add_labels(label);
    }
    out.set_rack(entry.rack);
    write_need(entry.capacity, *out.mutable_capacity());
    out.set_closed(worker.closed);
    out.set_longest_lease(worker.longest_lease);
    out.set_no_orders_ms(worker.no_orders_for.count());
    out.set_no_orders_epoch(worker.no_orders_epoch);
    for (const auto& run : worker.runs)
    {
        auto& item = *out.add_runs();
        item.set_job(run.ref.task.step.job.str());
        item.set_round(run.ref.task.step.round);
        item.set_step(run.ref.task.step.step);
        item.set_task(run.ref.task.index);
        item.set_number(run.ref.number);
        item.set_confirmed(run.confirmed);
    }
    return out.SerializeAsString();
}

auto read_worker(const std::string& bytes) -> std::optional<roster_entry>
{
    wire::stored_worker from;
    if (!from.ParseFromString(bytes) || from.id().empty())
    {
        return std::nullopt;
    }
    roster_entry out;
    auto& entry = out.entry;
    entry.id = worker_id(from.id());
    entry.incarnation = calendar_time(milliseconds(from.born_ms()));
    entry.service = service_name(from.service());
    entry.machine = machine_id(from.machine());
    entry.address = from.address();
    entry.data_centre = data_centre_name(from.data_centre());
    entry.labels.assign(from.labels().begin(), from.labels().end());
    entry.rack = from.rack();
    entry.capacity = read_need(from.capacity());
    out.closed = from.closed();
    out.longest_lease = from.longest_lease();
    out.no_orders_for = milliseconds(from.no_orders_ms());
    out.no_orders_epoch = from.no_orders_epoch();
    for (const auto& item : from.runs())
    {
        out.runs.push_back(
            {{{{job_id(item.job()), item.round(), item.step()}, item.task()},
              item.number()},
             item.confirmed()});
    }
    return out;
}

auto merge(job_progress& into, const job_progress& from) -> void
{
    // A final state stands, whichever owner has stored it.
    into.state = std::max(into.state, from.state);
    for (const auto& round : from.rounds)
    {
        const auto place = std::find_if(into.rounds.begin(), into.rounds.end(),
                                        [&](const round_progress& item)
                                        {
                                            return item.round == round.round;
                                        });
        if (place == into.rounds.end())
        {
            into.rounds.push_back(round);
            continue;
        }
        for (const auto& [step, tasks] : round.done)
        {
            auto& done = place->done[step];
            done.insert(done.end(), tasks.begin(), tasks.end());
        }
        place->failures.insert(place->failures.end(), round.failures.begin(),
                               round.failures.end());
        place->crashes.insert(round.crashes.begin(), round.crashes.end());
        for (const auto& [task, text] : round.checkpoints)
        {
            place->checkpoints[task] = text;
        }
    }
}

} // namespace pimentoshunt::cell
