#include "random_faults.hpp"

#include "wait_until.hpp"

#include <array>   // array
#include <utility> // move

namespace pimentoshunt::testing
{
namespace
{

/// One kind of fault with fixed parameters.
struct fault_choice
{
    const char* name;
    link_faults persistent;
    bool one_time = false;
    exchange_rule exchange{};
};

auto choices() -> const std::vector<fault_choice>&
{
    static const std::vector<fault_choice> all{
        {"cut", {.cut = true}},
        {"freeze", {.freeze = true}},
        {"drop requests", {.drop_requests = true}},
        {"drop replies", {.drop_replies = true}},
        {"delay", {.delay = milliseconds{40}, .jitter = milliseconds{80}}},
        {"drop reply", {}, true, {exchange_fault::drop_reply, 1, 0, ""}},
        {"close in reply",
         {},
         true,
         {exchange_fault::close_reply_after, 1, 200, ""}},
        {"close in request",
         {},
         true,
         {exchange_fault::close_request_after, 1, 150, ""}}};
    return all;
}

} // namespace

random_faults::random_faults(std::vector<named_link> links,
                             const random_fault_options& options)
    : m_links(std::move(links)), m_options(options), m_random(options.seed),
      m_thread(
          [this](const std::stop_token& stopping)
          {
              run(stopping);
          })
{
}

random_faults::~random_faults()
{
    m_thread.request_stop();
    m_thread.join();
    for (const auto& link : m_links)
    {
        link.proxy->clear_faults();
    }
}

auto random_faults::log() const -> std::vector<std::string>
{
    const std::lock_guard lock(m_mutex);
    return m_log;
}

auto random_faults::run(const std::stop_token& stopping) -> void
{
    while (!stopping.stop_requested() && !m_links.empty())
    {
        wait_for_stop(stopping, random_duration(m_options.min_pause,
                                                m_options.max_pause));
        inject_fault(stopping);
    }
}

auto random_faults::inject_fault(const std::stop_token& stopping) -> void
{
    const auto& link = m_links[m_random() % m_links.size()];
    const auto& choice = choices()[m_random() % choices().size()];
    const auto duration = random_duration(m_options.min_fault_duration,
                                          m_options.max_fault_duration);
    if (stopping.stop_requested())
    {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_log.push_back(link.name + ": " + choice.name + " for " +
                        std::to_string(duration.count()) + " ms");
    }
    if (choice.one_time)
    {
        link.proxy->add(choice.exchange);
    }
    else
    {
        link.proxy->set_faults(choice.persistent);
    }
    wait_for_stop(stopping, duration);
    link.proxy->clear_faults();
}

auto random_faults::wait_for_stop(const std::stop_token& stopping,
                                  milliseconds duration) -> void
{
    [[maybe_unused]] const auto stopped = wait_until(
        [&]
        {
            return stopping.stop_requested();
        },
        duration);
}

auto random_faults::random_duration(milliseconds minimum, milliseconds maximum)
    -> milliseconds
{
    std::uniform_int_distribution<std::int64_t> pick(minimum.count(),
                                                     maximum.count());
    return milliseconds(pick(m_random));
}

} // namespace pimentoshunt::testing
