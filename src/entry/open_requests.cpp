#include <pimentoshunt/entry/open_requests.hpp>

namespace pimentoshunt::entry
{
namespace
{

/// Retry-After of a cancelled request, for a caller that sends the request
/// again after all.
constexpr milliseconds default_retry_after{1'000};

} // namespace

auto open_request::begin_waiting(const queued_request_ptr& item) -> bool
{
    const std::lock_guard lock(m_mutex);
    m_waiting = item;
    return !m_cancelled;
}

auto open_request::begin(const grant& where) -> bool
{
    const std::lock_guard lock(m_mutex);
    m_waiting = nullptr;
    if (!m_cancelled)
    {
        m_running = where;
    }
    return !m_cancelled;
}

auto open_request::end() -> void
{
    const std::lock_guard lock(m_mutex);
    m_running.reset();
}

auto open_request::cancel() -> std::optional<grant>
{
    const std::lock_guard lock(m_mutex);
    m_cancelled = true;
    if (m_waiting != nullptr)
    {
        m_waiting->resolve(
            refusal{refusal_reason::cancelled, default_retry_after});
    }
    return m_running;
}

auto open_request::cancelled() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

auto open_requests::open(const std::string& id) -> std::shared_ptr<open_request>
{
    auto request = std::make_shared<open_request>();
    const std::lock_guard lock(m_mutex);
    m_requests.emplace(id, request);
    return request;
}

auto open_requests::close(const std::string& id,
                          const std::shared_ptr<open_request>& request) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto range = m_requests.equal_range(id);
    for (auto item = range.first; item != range.second; ++item)
    {
        if (item->second == request)
        {
            m_requests.erase(item);
            return;
        }
    }
}

auto open_requests::cancel(const std::string& id) -> cancellation
{
    cancellation found;
    const std::lock_guard lock(m_mutex);
    const auto range = m_requests.equal_range(id);
    for (auto item = range.first; item != range.second; ++item)
    {
        ++found.requests;
        if (auto running = item->second->cancel())
        {
            found.running.push_back(std::move(*running));
        }
    }
    return found;
}

} // namespace pimentoshunt::entry
