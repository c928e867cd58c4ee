#include <pimentoshunt/cell/owner_load.hpp>

#include <pimentoshunt/logging.hpp>

#include <ctime> // clock_gettime

#include <algorithm> // max
#include <utility>   // exchange

namespace pimentoshunt::cell
{
namespace
{

constexpr milliseconds report_interval{1'000};

auto process_time() -> std::chrono::nanoseconds
{
    timespec used{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) +
           std::chrono::nanoseconds(used.tv_nsec);
}

} // namespace

owner_load_meter::owner_load_meter(time_point now)
    : m_since(now), m_processor_time(process_time())
{
}

auto owner_load_meter::on_pass(const scheduler_pass& pass, const outbox& orders,
                               boot_clock::duration took) -> void
{
    ++m_load.passes;
    m_load.pass_time += took;
    m_load.longest_pass =
        std::max<std::chrono::nanoseconds>(m_load.longest_pass, took);
    m_load.waiting_steps = std::max(m_load.waiting_steps, pass.waiting_steps);
    m_load.examined_workers += pass.examined_workers;
    m_load.starts += orders.starts.size();
    m_load.heartbeats += orders.heartbeats.size();
    m_load.approval_requests += orders.approval_requests.size();
}

auto owner_load_meter::on_start_answered(boot_clock::duration took) -> void
{
    ++m_load.start_answers;
    m_load.longest_start =
        std::max<std::chrono::nanoseconds>(m_load.longest_start, took);
}

auto owner_load_meter::take(time_point now) -> std::optional<owner_load>
{
    if (now - m_since < report_interval)
    {
        return std::nullopt;
    }
    const auto used = process_time();
    auto out = std::exchange(m_load, {});
    out.interval = now - std::exchange(m_since, now);
    out.processor_time = used - std::exchange(m_processor_time, used);
    return out;
}

auto log_load(const owner_load& load, std::uint64_t epoch, milliseconds lag)
    -> void
{
    logging::info("load of the owner")
        .with("epoch", epoch)
        .with("interval", load.interval)
        .with("lag", lag)
        .with("processor", load.processor_time)
        .with("passes", load.passes)
        .with("pass", load.pass_time)
        .with("longest_pass", load.longest_pass)
        .with("waiting_steps", load.waiting_steps)
        .with("examined_workers", load.examined_workers)
        .with("starts", load.starts)
        .with("heartbeats", load.heartbeats)
        .with("approval_requests", load.approval_requests)
        .with("start_answers", load.start_answers)
        .with("longest_start", load.longest_start);
}

} // namespace pimentoshunt::cell
