#include <pimentoshunt/ledger/capacity_ledger.hpp>

namespace pimentoshunt::ledger
{

namespace
{

auto room_of(const worker_account& account) -> free_room
{
    const auto held = static_cast<std::int64_t>(account.holdings.size());
    return {account.free, account.worker.connections - held,
            account.worker.capacity.accelerators > 0};
}

/// @brief What the account adds to the free total.
auto free_of(const worker_account& account) -> resources
{
    return account.free.negative() ? resources{} : account.free;
}

template<class Usages, class Name>
auto add_use(Usages& usages, const Name& name, const resources& each) -> void
{
    auto& used = usages[name];
    ++used.holdings;
    used.total += each;
}

template<class Usages, class Name>
auto drop_use(Usages& usages, const Name& name, const resources& each) -> void
{
    const auto found = usages.find(name);
    found->second.total -= each;
    if (--found->second.holdings == 0)
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
        holding item;
        item.attempt = attempt.attempt;
        item.workload = attempt.workload;
        item.each = attempt.each;
        item.granted_at = now;
        item.seen_running = true;
        if (account.holdings.emplace(item.attempt, item).second)
        {
            account.free -= item.each;
            note_taken(item);
        }
    }
    count_in(account);
}

auto capacity_ledger::close(const worker_id& id) -> void
{
    const auto found = m_accounts.find(id);
    if (found == m_accounts.end())
    {
        return;
    }
    count_out(found->second);
    for (const auto& [attempt, item] : found->second.holdings)
    {
        note_released(item);
    }
    m_accounts.erase(found);
}

auto capacity_ledger::take(const worker_id& id, const holding& item) -> bool
{
    auto* const account = find(id);
    if (account == nullptr || !account->admits(item.each) ||
        account->holdings.count(item.attempt) != 0)
    {
        return false;
    }
    m_free -= free_of(*account);
    account->free -= item.each;
    account->holdings.emplace(item.attempt, item);
    note_taken(item);
    m_free += free_of(*account);
    if (account->accepts == intake::probe)
    {
        set_intake(id, intake::closed);
    }
    else
    {
        move_place(*account);
    }
    return true;
}

auto capacity_ledger::adopt(const worker_id& id, const holding& item) -> void
{
    auto* const account = find(id);
    if (account == nullptr || account->holdings.count(item.attempt) != 0)
    {
        return;
    }
    count_out(*account);
    account->free -= item.each;
    account->holdings.emplace(item.attempt, item);
    note_taken(item);
    count_in(*account);
}

auto capacity_ledger::mark_running(const worker_id& id,
                                   const attempt_id& attempt) -> bool
{
    auto* const account = find(id);
    if (account == nullptr)
    {
        return false;
    }
    const auto held = account->holdings.find(attempt);
    if (held == account->holdings.end())
    {
        return false;
    }
    held->second.seen_running = true;
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
    const auto item = found->second;
    const auto before = free_of(*account);
    account->free += item.each;
    account->holdings.erase(found);
    note_released(item);
    if (account->accepting())
    {
        m_free -= before;
        m_free += free_of(*account);
        move_place(*account);
    }
    return true;
}

auto capacity_ledger::set_leaving(const worker_id& id, bool leaving) -> void
{
    if (auto* const account = find(id))
    {
        count_out(*account);
        account->worker.leaving = leaving;
        count_in(*account);
    }
}

auto capacity_ledger::note_checkpoint(const worker_id& id,
                                      const attempt_id& attempt) -> void
{
    auto* const account = find(id);
    if (account == nullptr)
    {
        return;
    }
    const auto found = account->holdings.find(attempt);
    if (found != account->holdings.end())
    {
        found->second.checkpoint_asked = true;
    }
}

auto capacity_ledger::set_intake(const worker_id& id, intake accepts) -> void
{
    if (auto* const account = find(id))
    {
        count_out(*account);
        account->accepts = accepts;
        count_in(*account);
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

auto capacity_ledger::count_in(worker_account& account) -> void
{
    if (!account.accepting())
    {
        return;
    }
    m_free += free_of(account);
    m_capacity += account.worker.capacity;
    account.place = m_index.insert(account.worker.id, room_of(account));
}

auto capacity_ledger::count_out(worker_account& account) -> void
{
    if (!account.accepting())
    {
        return;
    }
    m_free -= free_of(account);
    m_capacity -= account.worker.capacity;
    m_index.erase(account.place);
    account.place = free_index::none;
}

auto capacity_ledger::move_place(worker_account& account) -> void
{
    m_index.update(account.place, room_of(account));
}

auto capacity_ledger::note_taken(const holding& item) -> void
{
    add_use(m_by_workspace, item.workspace, item.each);
    add_use(m_by_workload, item.workload, item.each);
}

auto capacity_ledger::note_released(const holding& item) -> void
{
    drop_use(m_by_workspace, item.workspace, item.each);
    drop_use(m_by_workload, item.workload, item.each);
}

} // namespace pimentoshunt::ledger
