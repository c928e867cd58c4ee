#include <pimentoshunt/kernel/io_pool.hpp>

#include <utility> // move

namespace pimentoshunt::kernel
{

io_pool::io_pool(std::size_t threads)
{
    m_threads.reserve(threads);
    for (std::size_t i = 0; i < threads; ++i)
    {
        m_threads.emplace_back(
            [this]
            {
                run_calls();
            });
    }
}

io_pool::~io_pool()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_calls.clear();
    }
    m_changed.notify_all();
    for (auto& thread : m_threads)
    {
        thread.join();
    }
}

auto io_pool::submit(io_call call) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
        {
            return;
        }
        m_calls.push_back(std::move(call));
    }
    m_changed.notify_one();
}

auto io_pool::run_calls() -> void
{
    for (;;)
    {
        io_call call;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock,
                           [this]
                           {
                               return m_stopping || !m_calls.empty();
                           });
            if (m_calls.empty())
            {
                return;
            }
            call = std::move(m_calls.front());
            m_calls.pop_front();
        }
        call.run();
    }
}

} // namespace pimentoshunt::kernel
