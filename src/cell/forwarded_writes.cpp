#include <pimentoshunt/cell/forwarded_writes.hpp>

namespace pimentoshunt::cell
{

auto forwarded_writes::forward(wire::cell_deposit write, time_point deadline,
                               handler done) -> bool
{
    const auto number = ++m_last_number;
    write.set_number(number);
    if (!m_send(write))
    {
        return false;
    }
    auto& item = *(m_pending_writes[number] = std::make_unique<pending_write>(
                       m_control, std::move(done)));
    item.timer.expires_after(deadline - boot_clock::now());
    item.timer.async_wait(
        [this, number](auto fault)
        {
            if (!fault)
            {
                on_answer(number, inbox_write_result::indeterminate);
            }
        });
    return true;
}

auto forwarded_writes::on_answer(std::uint64_t number,
                                 inbox_write_result result) -> void
{
    const auto found = m_pending_writes.find(number);
    if (found == m_pending_writes.end())
    {
        return;
    }
    const auto item = std::move(found->second);
    m_pending_writes.erase(found);
    item->done(result);
}

auto to_wire(inbox_write_result result) -> std::uint32_t
{
    return static_cast<std::uint32_t>(result);
}

auto inbox_write_result_of(std::uint32_t value) -> inbox_write_result
{
    constexpr auto last =
        static_cast<std::uint32_t>(inbox_write_result::cancelled);
    return value <= last ? static_cast<inbox_write_result>(value)
                         : inbox_write_result::indeterminate;
}

} // namespace pimentoshunt::cell
