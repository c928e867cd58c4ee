#include "balanced_callers.hpp"

#include <random>  // mt19937_64
#include <utility> // exchange, move

namespace pimentoshunt::testing
{

balanced_callers::balanced_callers(cell& test_cell,
                                   const balanced_caller_options& options)
    : m_options(options)
{
    for (const auto& instance : test_cell.instances())
    {
        m_targets.push_back({instance.entry_port(), instance.operator_port});
    }
    m_threads.emplace_back(
        [this](const std::stop_token& stopping)
        {
            poll_readiness(stopping);
        });
    for (std::size_t number = 0; number < m_options.callers; ++number)
    {
        m_threads.emplace_back(
            [this, number](const std::stop_token& stopping)
            {
                run(stopping, number);
            });
    }
}

auto balanced_callers::stop() -> std::vector<call_record>
{
    for (auto& thread : m_threads)
    {
        thread.request_stop();
    }
    m_threads.clear();
    return std::move(m_records);
}

auto balanced_callers::served() const -> std::uint64_t
{
    return m_served;
}

auto balanced_callers::poll_readiness(const std::stop_token& stopping) -> void
{
    while (!stopping.stop_requested())
    {
        std::vector<int> ready;
        for (const auto& item : m_targets)
        {
            if (http_get(item.operator_port, "/ready"))
            {
                ready.push_back(item.entry_port);
            }
        }
        {
            const std::lock_guard lock(m_mutex);
            m_ready = std::move(ready);
        }
        std::this_thread::sleep_for(m_options.readiness_interval);
    }
}

auto balanced_callers::ready_ports() -> std::vector<int>
{
    const std::lock_guard lock(m_mutex);
    return m_ready;
}

auto balanced_callers::run(const std::stop_token& stopping, std::size_t number)
    -> void
{
    constexpr std::uint64_t seed_stride = 7919;
    std::mt19937_64 random(m_options.seed * seed_stride + number);
    std::uniform_int_distribution<std::int64_t> run_time(
        m_options.min_run_time.count(), m_options.max_run_time.count());
    caller_connections connections(m_options.timeout);
    std::vector<call_record> records;
    while (!stopping.stop_requested())
    {
        const auto ports = ready_ports();
        if (!ports.empty())
        {
            call_spec spec;
            spec.request_id = m_options.id_prefix + "-" +
                              std::to_string(number) + "-" +
                              std::to_string(records.size());
            spec.workload = m_options.workload;
            spec.idempotent = m_options.idempotent;
            spec.subpath = "x?run_ms=" + std::to_string(run_time(random));
            spec.body = make_body(spec.request_id, 256, random());
            const auto port = ports[random() % ports.size()];
            records.push_back(connections.call(port, spec));
            m_served += records.back().status == 200 ? 1 : 0;
        }
        std::this_thread::sleep_for(m_options.pause);
    }
    const std::lock_guard lock(m_mutex);
    m_records.insert(m_records.end(), records.begin(), records.end());
}

} // namespace pimentoshunt::testing
