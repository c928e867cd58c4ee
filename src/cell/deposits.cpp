#include <pimentoshunt/cell/deposits.hpp>

namespace pimentoshunt::cell
{

auto deposits::ask(wire::cell_deposit what, time_point until, handler done)
    -> bool
{
    const auto number = ++m_last;
    what.set_number(number);
    if (!m_send(what))
    {
        return false;
    }
    auto& item = *(m_waiting[number] =
                       std::make_unique<waiting>(m_control, std::move(done)));
    item.timer.expires_after(until - boot_clock::now());
    item.timer.async_wait(
        [this, number](auto fault)
        {
            if (!fault)
            {
                answered(number, intake_result::unsettled);
            }
        });
    return true;
}

auto deposits::answered(std::uint64_t number, intake_result result) -> void
{
    const auto found = m_waiting.find(number);
    if (found == m_waiting.end())
    {
        return;
    }
    const auto item = std::move(found->second);
    m_waiting.erase(found);
    item->done(result);
}

auto to_wire(intake_result result) -> std::uint32_t
{
    return static_cast<std::uint32_t>(result);
}

auto intake_result_of(std::uint32_t value) -> intake_result
{
    constexpr auto last = static_cast<std::uint32_t>(intake_result::unsettled);
    return value <= last ? static_cast<intake_result>(value)
                         : intake_result::unsettled;
}

} // namespace pimentoshunt::cell
