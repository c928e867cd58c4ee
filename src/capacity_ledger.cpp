#include <pimentoshunt/ledger/capacity_ledger.hpp>

namespace pimentoshunt::ledger
{

auto capacity_ledger::open(const worker::description& worker,
                           worker::epoch_number epoch,
                           const std::vector<worker::running_attempt>& running,
                           time_point now) -> void
{
    worker_account account;
    account.worker = worker;
    account.epoch = epoch;
    account.free = worker.capacity;
    for (const auto& attempt : running)
    {
        holding item;
        item.attempt = attempt.attempt;
        item.workload = attempt.workload;
        item.each = attempt.each;
        item.granted_at = now;
        item.seen_running = true;
        account.free -= item.each;
        account.holdings.emplace(item.attempt, item);
    }
    m_accounts.insert_or_assign(worker.id, std::move(account));
}

auto capacity_ledger::close(const worker_id& id) -> void
{
    m_accounts.erase(id);
}

auto capacity_ledger::take(const worker_id& id, const holding& item) -> bool
{
    auto* const account = find(id);
    if (account == nullptr || !account->admits(item.each) ||
        account->holdings.count(item.attempt) != 0)
    {
        return false;
    }
    account->free -= item.each;
    account->holdings.emplace(item.attempt, item);
    return true;
}

auto capacity_ledger::release(const worker_id& id, const attempt_id& attempt)
    -> bool
{
    auto* const account = find(id);
    if (account == nullptr)
    {
        return false;
    }
    const auto found = account->holdings.find(attempt);
    if (found == account->holdings.end())
    {
        return false;
    }
    account->free += found->second.each;
    account->holdings.erase(found);
    return true;
}

auto capacity_ledger::set_leaving(const worker_id& id, bool leaving) -> void
{
    if (auto* const account = find(id))
    {
        account->worker.leaving = leaving;
    }
}

auto capacity_ledger::find(const worker_id& id) const -> const worker_account*
{
    const auto found = m_accounts.find(id);
    return found == m_accounts.end() ? nullptr : &found->second;
}

auto capacity_ledger::find(const worker_id& id) -> worker_account*
{
    const auto found = m_accounts.find(id);
    return found == m_accounts.end() ? nullptr : &found->second;
}

auto capacity_ledger::free_total() const noexcept -> resources
{
    resources total;
    for (const auto& [id, account] : m_accounts)
    {
        if (!account.worker.leaving && !account.free.negative())
        {
            total += account.free;
        }
    }
    return total;
}

} // namespace pimentoshunt::ledger
