#include <pimentoshunt/ledger/capacity_ledger.hpp>

namespace pimentoshunt::ledger
{

namespace
{

auto free_capacity_of(const worker_account& account) -> free_capacity
{
    const auto held = static_cast<std::int64_t>(account.reservations.size());
    return {account.free, account.worker.connections - held,
            account.worker.capacity.accelerators > 0};
}

/// @brief Contribution of the account to the total of free resources; a
///        negative amount counts as none.
auto free_of(const worker_account& account) -> resources
{
    return account.free.negative() ? resources{} : account.free;
}

template<class Usages, class Name>
auto add_amount(Usages& usages, const Name& name, const resources& each) -> void
{
    auto& used = usages[name];
    ++used.reservations;
    used.total += each;
}

template<class Usages, class Name>
auto subtract_amount(Usages& usages, const Name& name, const resources& each)
    -> void
{
    const auto found = usages.find(name);
    found->second.total -= each;
    if (--found->second.reservations == 0)
    {
        usages.erase(found);
    }
}

} // namespace

auto capacity_ledger::open(const worker::description& worker,
                           worker::epoch_number epoch,
                           const std::vector<worker::running_attempt>& running,
                           time_point now) -> void
{
    close(worker.id);
    auto& account = m_accounts[worker.id];
    account.worker = worker;
    account.epoch = epoch;
    account.free = worker.capacity;
    for (const auto& attempt : running)
    {
        reservation item;
        item.attempt = attempt.attempt;
        item.workload = attempt.workload;
        item.each = attempt.each;
        item.granted_at = now;
        item.confirmed_running = true;
        if (account.reservations.emplace(item.attempt, item).second)
        {
            account.free -= item.each;
            add_usage(item);
        }
    }
    add_to_totals(account);
}

auto capacity_ledger::close(const worker_id& id) -> void
{
    const auto found = m_accounts.find(id);
    if (found == m_accounts.end())
    {
        return;
    }
    remove_from_totals(found->second);
    for (const auto& [attempt, item] : found->second.reservations)
    {
        subtract_usage(item);
    }
    m_accounts.erase(found);
}

auto capacity_ledger::try_reserve(const worker_id& id, const reservation& item)
    -> bool
{
    auto* const account = find(id);
    if (account == nullptr || !account->can_admit(item.each) ||
        account->reservations.count(item.attempt) != 0)
    {
        return false;
    }
    m_free -= free_of(*account);
    account->free -= item.each;
    account->reservations.emplace(item.attempt, item);
    add_usage(item);
    m_free += free_of(*account);
    if (account->mode == grant_mode::probe)
    {
        set_grant_mode(id, grant_mode::closed);
    }
    else
    {
        update_index(*account);
    }
    return true;
}

auto capacity_ledger::adopt(const worker_id& id, const reservation& item)
    -> void
{
    auto* const account = find(id);
    if (account == nullptr || account->reservations.count(item.attempt) != 0)
    {
        return;
    }
    remove_from_totals(*account);
    account->free -= item.each;
    account->reservations.emplace(item.attempt, item);
    add_usage(item);
    add_to_totals(*account);
}

auto capacity_ledger::mark_running(const worker_id& id,
                                   const attempt_id& attempt) -> bool
{
    auto* const account = find(id);
    if (account == nullptr)
    {
        return false;
    }
    const auto held = account->reservations.find(attempt);
    if (held == account->reservations.end())
    {
        return false;
    }
    held->second.confirmed_running = true;
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
    const auto found = account->reservations.find(attempt);
    if (found == account->reservations.end())
    {
        return false;
    }
    const auto item = found->second;
    const auto before = free_of(*account);
    account->free += item.each;
    account->reservations.erase(found);
    subtract_usage(item);
    if (account->is_accepting())
    {
        m_free -= before;
        m_free += free_of(*account);
        update_index(*account);
    }
    return true;
}

auto capacity_ledger::set_leaving(const worker_id& id, bool leaving) -> void
{
    if (auto* const account = find(id))
    {
        remove_from_totals(*account);
        account->worker.leaving = leaving;
        add_to_totals(*account);
    }
}

auto capacity_ledger::mark_checkpoint_requested(const worker_id& id,
                                                const attempt_id& attempt)
    -> void
{
    auto* const account = find(id);
    if (account == nullptr)
    {
        return;
    }
    const auto found = account->reservations.find(attempt);
    if (found != account->reservations.end())
    {
        found->second.checkpoint_requested = true;
    }
}

auto capacity_ledger::set_grant_mode(const worker_id& id, grant_mode mode)
    -> void
{
    if (auto* const account = find(id))
    {
        remove_from_totals(*account);
        account->mode = mode;
        add_to_totals(*account);
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

auto capacity_ledger::used_by(const workspace_name& workspace) const -> usage
{
    const auto found = m_by_workspace.find(workspace);
    return found == m_by_workspace.end() ? usage{} : found->second;
}

auto capacity_ledger::add_to_totals(worker_account& account) -> void
{
    if (!account.is_accepting())
    {
        return;
    }
    m_free += free_of(account);
    m_capacity += account.worker.capacity;
    account.index_handle =
        m_index.insert(account.worker.id, free_capacity_of(account));
}

auto capacity_ledger::remove_from_totals(worker_account& account) -> void
{
    if (!account.is_accepting())
    {
        return;
    }
    m_free -= free_of(account);
    m_capacity -= account.worker.capacity;
    m_index.erase(account.index_handle);
    account.index_handle = free_index::none;
}

auto capacity_ledger::update_index(worker_account& account) -> void
{
    m_index.update(account.index_handle, free_capacity_of(account));
}

auto capacity_ledger::add_usage(const reservation& item) -> void
{
    add_amount(m_by_workspace, item.workspace, item.each);
    add_amount(m_by_workload, item.workload, item.each);
}

auto capacity_ledger::subtract_usage(const reservation& item) -> void
{
    subtract_amount(m_by_workspace, item.workspace, item.each);
    subtract_amount(m_by_workload, item.workload, item.each);
}

} // namespace pimentoshunt::ledger
