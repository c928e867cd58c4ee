#include <pimentoshunt/cell/approval_dispatcher.hpp>

#include <algorithm> // any_of, find, max, min, upper_bound
#include <cmath>     // ceil, exp
#include <set>       // set
#include <utility>   // move

namespace pimentoshunt::cell
{

auto approval_dispatcher::decay_quick_load(time_point now) -> void
{
    using real_ms = std::chrono::duration<double, std::milli>;
    const real_ms passed = now - m_decayed_at;
    m_quick_load *= std::exp(-passed / real_ms(m_options.load_window));
    m_decayed_at = now;
}

auto approval_dispatcher::max_slow_calls(std::size_t instances) const
    -> std::size_t
{
    const auto count = static_cast<double>(instances);
    const auto reserve = std::ceil(m_options.quick_reserve * m_quick_load);
    const auto limit =
        std::min(m_options.max_slow_share * count, count - reserve);
    return static_cast<std::size_t>(std::max(limit, 1.0));
}

auto approval_dispatcher::free_slow_slots(std::size_t instances) const
    -> std::size_t
{
    auto taken = slow_calls_in_flight();
    for (const auto& request : m_waiting)
    {
        taken += is_slow(request) ? 1 : 0;
    }
    const auto limit = max_slow_calls(instances);
    return limit - std::min(taken, limit);
}

auto approval_dispatcher::slow_calls_in_flight() const -> std::size_t
{
    std::size_t out = 0;
    for (const auto& [number, call] : m_in_flight)
    {
        out += is_slow(call.request) ? 1 : 0;
    }
    return out;
}

auto approval_dispatcher::add(approval_request request, time_point now) -> void
{
    const auto is_same_step = [&](const auto& other)
    {
        return other.step == request.step;
    };
    if (std::any_of(m_in_flight.begin(), m_in_flight.end(),
                    [&](const auto& call)
                    {
                        return is_same_step(call.second.request);
                    }))
    {
        return;
    }
    const auto replaced = std::erase_if(m_waiting, is_same_step);
    decay_quick_load(now);
    if (!is_slow(request) && replaced == 0)
    {
        using real_ms = std::chrono::duration<double, std::milli>;
        m_quick_load +=
            real_ms(request.expected) / real_ms(m_options.load_window);
    }
    const auto place =
        std::upper_bound(m_waiting.begin(), m_waiting.end(), request.priority,
                         [](std::uint32_t priority, const auto& other)
                         {
                             return priority < other.priority;
                         });
    m_waiting.insert(place, std::move(request));
}

auto approval_dispatcher::assign(const std::vector<std::string>& instances,
                                 time_point now)
    -> std::vector<assigned_request>
{
    std::set<std::string> busy;
    for (const auto& [number, call] : m_in_flight)
    {
        busy.insert(call.instance);
    }
    auto slow_in_flight = slow_calls_in_flight();
    std::vector<std::string> idle;
    for (const auto& name : instances)
    {
        const bool cooling_down = now < m_instances[name].cooldown_until;
        if (!busy.contains(name) && !cooling_down)
        {
            idle.push_back(name);
        }
    }
    decay_quick_load(now);
    const auto limit = max_slow_calls(instances.size());
    std::vector<assigned_request> out;
    for (auto item = m_waiting.begin();
         item != m_waiting.end() && !idle.empty();)
    {
        const bool slow = is_slow(*item);
        if (slow && slow_in_flight >= limit)
        {
            ++item;
            continue;
        }
        slow_in_flight += slow ? 1 : 0;
        const auto number = ++m_last_number;
        auto instance = take_instance(idle, instances.front(), *item);
        const auto due_at = now + item->expected;
        m_in_flight[number] = {instance, *item, due_at,
                               due_at + m_options.timeout_margin};
        out.push_back({number, std::move(instance), std::move(*item)});
        item = m_waiting.erase(item);
    }
    return out;
}

auto approval_dispatcher::take_instance(std::vector<std::string>& idle,
                                        const std::string& owner,
                                        const approval_request& request)
    -> std::string
{
    // Silent instances are not recognised by their hellos. The owner needs no
    // message to make a call, so that it is the safest choice for a request
    // that got no answer elsewhere.
    const auto is_better =
        [&](const std::string& left, const std::string& right)
    {
        const auto& first = m_instances[left];
        const auto& second = m_instances[right];
        return first.unanswered != second.unanswered
                   ? first.unanswered < second.unanswered
                   : first.answered_at > second.answered_at;
    };
    auto best = idle.begin();
    for (auto item = idle.begin(); item != idle.end(); ++item)
    {
        best = is_better(*best, *item) ? best : item;
    }
    const auto own = std::find(idle.begin(), idle.end(), owner);
    const bool prefers_owner =
        request.unanswered > 0 && own != idle.end() &&
        m_instances[*own].unanswered <= m_instances[*best].unanswered;
    best = prefers_owner ? own : best;
    auto out = std::move(*best);
    idle.erase(best);
    return out;
}

auto approval_dispatcher::answered(std::uint64_t number, time_point now)
    -> std::optional<answered_request>
{
    answered_request out;
    auto call = m_in_flight.extract(number);
    if (call.empty())
    {
        call = m_late.extract(number);
        out.late = true;
    }
    if (call.empty())
    {
        return std::nullopt;
    }
    auto& instance = m_instances[call.mapped().instance];
    if (out.late)
    {
        // It is slow rather than silent: it may be used, after the others.
        instance.cooldown_until = now;
    }
    else
    {
        instance.unanswered = 0;
        instance.answered_at = now;
    }
    const auto due_at = call.mapped().due_at;
    out.age = std::chrono::ceil<milliseconds>(
        std::max(now - due_at, time_point::duration::zero()));
    out.request = std::move(call.mapped().request);
    return out;
}

auto approval_dispatcher::failed(std::uint64_t number, time_point now)
    -> std::optional<approval_request>
{
    const auto found = m_in_flight.find(number);
    if (found == m_in_flight.end())
    {
        m_late.erase(number);
        return std::nullopt;
    }
    auto& instance = m_instances[found->second.instance];
    ++instance.unanswered;
    instance.cooldown_until = now + m_options.failure_cooldown;
    auto out = std::move(found->second.request);
    m_in_flight.erase(found);
    return out;
}

auto approval_dispatcher::take_timed_out(time_point now)
    -> std::vector<assigned_request>
{
    std::erase_if(m_late,
                  [&](const auto& item)
                  {
                      return now - item.second.times_out_at >
                             m_options.late_answer_limit;
                  });
    std::vector<assigned_request> out;
    for (auto item = m_in_flight.begin(); item != m_in_flight.end();)
    {
        if (now < item->second.times_out_at)
        {
            ++item;
            continue;
        }
        auto& instance = m_instances[item->second.instance];
        ++instance.unanswered;
        instance.cooldown_until = now + m_options.cooldown;
        out.push_back(
            {item->first, item->second.instance, item->second.request});
        m_late.insert(m_in_flight.extract(item++));
    }
    return out;
}

} // namespace pimentoshunt::cell
