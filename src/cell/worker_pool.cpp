#include <pimentoshunt/cell/policy/worker_pool.hpp>

#include <algorithm> // make_heap, pop_heap
#include <tuple>     // tuple
#include <utility>   // exchange

namespace pimentoshunt::cell::policy
{
namespace
{

/// Replaces what the worker adds to the sums of its service.
auto count(detail::service_places& service, detail::pool_place& at,
           const pool_sums& latest) -> void
{
    service.sums.capacity -= at.counted.capacity;
    service.sums.room -= at.counted.room;
    at.counted = latest;
    service.sums.capacity += at.counted.capacity;
    service.sums.room += at.counted.room;
}

} // namespace

using detail::worker_record;

auto worker_ranking::is_worse(const place& left, const place& right) -> bool
{
    return std::tuple(left.lacks_room, left.cost, -left.unclaimed,
                      left.ordinal) > std::tuple(right.lacks_room, right.cost,
                                                 -right.unclaimed,
                                                 right.ordinal);
}

auto worker_ranking::next() -> worker_record*
{
    if (m_places.empty())
    {
        return nullptr;
    }
    std::pop_heap(m_places.begin(), m_places.end(), is_worse);
    auto* const out = m_places.back().worker;
    m_places.pop_back();
    return out;
}

auto worker_pool::update(worker_record& worker, pool_state state) -> void
{
    auto& position = worker.position;
    if (position.places != nullptr && position.service != worker.entry.service)
    {
        remove(worker);
    }
    if (position.places == nullptr)
    {
        position.places = &m_services[worker.entry.service];
        position.service = worker.entry.service;
        position.index = position.places->places.size();
        auto& added = position.places->places.emplace_back();
        added.worker = &worker;
        added.ordinal = ++m_last_ordinal;
    }
    auto& at = position.places->places[position.index];
    at.is_offered = state.is_offered;
    at.is_counted = state.is_counted;
    at.log_speed = worker.log_speed;
    update_room(worker);
}

auto worker_pool::update_room(worker_record& worker) -> void
{
    if (worker.position.places == nullptr)
    {
        return;
    }
    auto& service = *worker.position.places;
    auto& at = service.places[worker.position.index];
    const auto room = worker.room();
    at.room = room.millicpus;
    at.unclaimed = worker.unclaimed_millicpus();
    count(service, at,
          at.is_counted ? pool_sums{worker.entry.capacity, room} : pool_sums{});
}

auto worker_pool::remove(worker_record& worker) -> void
{
    if (worker.position.places == nullptr)
    {
        return;
    }
    auto& service = *std::exchange(worker.position.places, nullptr);
    const auto index = worker.position.index;
    count(service, service.places[index], {});
    service.places[index] = service.places.back();
    service.places[index].worker->position.index = index;
    service.places.pop_back();
}

auto worker_pool::rank(const service_name& service, std::int64_t one,
                       const speed_preference& preference, content which) const
    -> worker_ranking
{
    worker_ranking out;
    const auto found = m_services.find(service);
    if (found == m_services.end())
    {
        return out;
    }
    const speed_cost cost(preference);
    for (const auto& at : found->second.places)
    {
        if (at.is_offered && (at.room >= one || which == content::all))
        {
            out.m_places.push_back({at.unclaimed < one, cost(at.log_speed),
                                    at.unclaimed, at.ordinal, at.worker});
        }
    }
    std::make_heap(out.m_places.begin(), out.m_places.end(),
                   worker_ranking::is_worse);
    return out;
}

auto worker_pool::with_room(const service_name& service, std::int64_t one) const
    -> std::vector<worker_record*>
{
    std::vector<worker_record*> out;
    const auto found = m_services.find(service);
    if (found == m_services.end())
    {
        return out;
    }
    for (const auto& at : found->second.places)
    {
        if (at.is_offered && at.room >= one)
        {
            out.push_back(at.worker);
        }
    }
    return out;
}

auto worker_pool::sums(const service_name& service) const -> pool_sums
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? pool_sums{} : found->second.sums;
}

} // namespace pimentoshunt::cell::policy
