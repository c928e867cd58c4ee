#include <pimentoshunt/cell/policy/run_time_model.hpp>

#include <algorithm> // clamp, max, min, nth_element
#include <cmath>     // exp, log, sqrt

namespace pimentoshunt::cell
{

auto detail::log_average::move(double residual, double weight, double memory,
                               double clip) -> void
{
    samples = std::min(samples + weight, memory);
    mean += std::min(weight / samples, 1.0) * std::clamp(residual, -clip, clip);
}

namespace policy
{
namespace
{

using detail::log_average;

/// A run is compared with at most this factor (as a logarithm): one task of
/// thirty takes seven times as long, on any worker.
constexpr double speed_clip = 0.75;
/// The same for a step against its declared time, which is off by more.
constexpr double factor_clip = 1.5;
/// Samples that an average remembers: the worker's own runs, those of a kind,
/// and steps of a queue.
constexpr double worker_memory = 40;
constexpr double kind_memory = 300;
constexpr double queue_memory = 60;
/// Samples that an average of a kind seems to have at first. Two kinds move at
/// once when compared; without these the first comparisons would overshoot.
constexpr double kind_prior = 3;
/// Workers' own averages begin after this many comparisons: before, their
/// samples contain the error of their kinds.
constexpr std::uint64_t compared_before_own = 60;
/// Weight of a task that is alone in its step, and is compared with the declared
/// time: the variance of a comparison within a step is a tenth of this one's.
constexpr double declared_weight = 0.1;
/// Steps after which a queue's factor is used.
constexpr double steps_before_factor = 20;
/// Samples with which an average counts for the variance between averages, and
/// number of such averages from which that variance is computed.
constexpr double least_samples = 3;
constexpr double least_averages = 2;
/// Change of the noise estimate with one sample.
constexpr double noise_weight = 0.01;
/// Kinds and queues beyond these are not told apart.
constexpr std::size_t most_kinds = 64;
constexpr std::size_t most_queues = 2'000;
constexpr milliseconds longest_time{86'400'000};

auto log_of(milliseconds time) -> double
{
    return std::log(static_cast<double>(
        std::clamp(time, milliseconds(1), longest_time).count()));
}

auto bounded_speed(double log_speed) -> double
{
    return std::clamp(std::exp(log_speed), lowest_speed, highest_speed);
}

/// Difference between an average and that of a larger group.
struct deviation
{
    double value = 0;
    double samples = 0;
};

/// Variance of the true deviations: that of the averages beyond what the noise of
/// their samples explains, with two standard errors of that difference.
auto variance_between(const std::vector<deviation>& averages, double noise)
    -> double
{
    double sum = 0;
    double from_noise = 0;
    double count = 0;
    for (const auto& one : averages)
    {
        if (one.samples >= least_samples)
        {
            sum += one.value * one.value;
            from_noise += noise / one.samples;
            ++count;
        }
    }
    if (count < least_averages)
    {
        return 0;
    }
    const auto margin = 2 * std::sqrt(2 / count);
    return std::max(0.0, (sum - (1 + margin) * from_noise) / count);
}

/// The deviation as far as its samples bear it out.
auto shrunk(const deviation& of, double between, double noise) -> double
{
    return between > 0 && of.samples > 0
               ? of.value * between / (between + noise / of.samples)
               : 0.0;
}

/// Of the tasks of a step, each of this number is compared.
auto stride_of(std::uint32_t tasks) -> std::uint32_t
{
    return (std::max(tasks, 1u) - 1) / step_times::most + 1;
}

} // namespace

auto step_times::median(std::size_t least) const -> std::optional<milliseconds>
{
    if (ended.empty() || ended.size() < least)
    {
        return std::nullopt;
    }
    std::vector<double> work;
    work.reserve(ended.size());
    for (const auto& other : ended)
    {
        work.push_back(other.log_time + other.worker->log_speed);
    }
    const auto middle =
        work.begin() + static_cast<std::ptrdiff_t>(work.size() / 2);
    std::nth_element(work.begin(), middle, work.end());
    return milliseconds(static_cast<std::int64_t>(std::exp(*middle)));
}

auto run_time_model::kind_of(const std::string& kind)
    -> const std::shared_ptr<detail::log_average>&
{
    const auto& name =
        m_kinds.size() < most_kinds || m_kinds.contains(kind) ? kind : "";
    auto& out = m_kinds[name];
    if (!out)
    {
        out = std::make_shared<detail::log_average>();
        out->samples = kind_prior;
    }
    return out;
}

auto run_time_model::find_or_add(const worker_id& worker,
                                 const std::string& kind) -> estimate
{
    auto& out = m_workers[worker];
    if (!out)
    {
        out = std::make_shared<detail::worker_estimate>();
        out->kind = kind_of(kind);
        out->log_speed = out->kind->mean;
    }
    return out;
}

auto run_time_model::learn(const ended_run& run, step_times& siblings) -> void
{
    const auto log_time = log_of(run.took);
    const auto worker = find_or_add(run.worker, run.kind);
    m_changed = true;
    if (run.declared > milliseconds(0))
    {
        learn_factor(run, log_time + worker->log_speed);
    }
    const auto stride = stride_of(run.tasks);
    if (run.index % stride != 0 || siblings.ended.size() >= step_times::most)
    {
        return;
    }
    if (!siblings.ended.empty())
    {
        const auto compared = (run.tasks - 1) / stride + 1;
        compare(worker, log_time, siblings, 1.0 / std::max(compared - 1, 1u));
    }
    siblings.ended.push_back({worker, log_time});
}

/// Both sides of a comparison learn from it, by the same amount in opposite
/// directions. The tasks that end first are the short ones of their step;
/// counted on one side only, each would make the later ones look slow.
/// @param pair_weight  such that all comparisons of one task add up to one sample
auto run_time_model::compare(const estimate& worker, double log_time,
                             const step_times& siblings, double pair_weight)
    -> void
{
    const auto share = 1.0 / static_cast<double>(siblings.ended.size());
    const auto weight = pair_weight / share;
    const bool is_own_used = ++m_compared > compared_before_own;
    double excess = 0;
    double other_kinds = 0;
    double expected = 0;
    const auto work = log_time + worker->log_speed;
    for (const auto& other : siblings.ended)
    {
        const auto other_work = other.log_time + other.worker->log_speed;
        // Limits what one task that takes many times as long does to the mean.
        expected += share * std::clamp(other_work, work - 2 * speed_clip,
                                       work + 2 * speed_clip);
        if (is_own_used)
        {
            const auto sample = work - other.log_time;
            other.worker->own.move(sample - other.worker->own.mean, pair_weight,
                                   worker_memory, speed_clip);
        }
        if (other.worker->kind == worker->kind)
        {
            continue;
        }
        const auto residual = (log_time + worker->kind->mean) -
                              (other.log_time + other.worker->kind->mean);
        other.worker->kind->move(residual, pair_weight, kind_memory,
                                 speed_clip);
        excess += share * std::clamp(residual, -speed_clip, speed_clip);
        other_kinds += share;
    }
    if (other_kinds > 0)
    {
        worker->kind->move(-excess / other_kinds, weight * other_kinds,
                           kind_memory, speed_clip);
    }
    if (is_own_used)
    {
        const auto residual = expected - log_time - worker->own.mean;
        const auto clipped = std::clamp(residual, -speed_clip, speed_clip);
        if (worker->own.samples >= least_samples)
        {
            m_noise += noise_weight * weight * (clipped * clipped - m_noise);
        }
        worker->own.move(residual, weight, worker_memory, speed_clip);
    }
}

auto run_time_model::learn_factor(const ended_run& run, double log_work) -> void
{
    const auto found = m_queues.find(run.queue);
    if (found == m_queues.end() && m_queues.size() >= most_queues)
    {
        return;
    }
    auto& factor = m_queues[run.queue];
    // The tasks of a step share the error of what was declared for them.
    const auto weight = 1.0 / std::max(run.tasks, 1u);
    const auto residual = log_work - log_of(run.declared) - factor.mean;
    factor.move(residual, weight, queue_memory, factor_clip);
    if (run.tasks > 1 || factor.samples < steps_before_factor)
    {
        return;
    }
    const auto& kind = m_workers.at(run.worker)->kind;
    kind->move(-residual, declared_weight, kind_memory, speed_clip);
}

auto run_time_model::refresh(const std::vector<present_worker>& workers) -> void
{
    m_changed = false;
    std::unordered_map<worker_id, estimate> present;
    std::map<const log_average*, double> workers_by_kind;
    for (const auto& worker : workers)
    {
        const auto& added =
            present.emplace(worker.id, find_or_add(worker.id, worker.kind));
        ++workers_by_kind[added.first->second->kind.get()];
    }
    m_workers = std::move(present);
    if (m_workers.empty())
    {
        return;
    }
    const auto count = static_cast<double>(m_workers.size());
    double centre = 0;
    for (const auto& [kind, members] : workers_by_kind)
    {
        centre += kind->mean * members / count;
    }
    std::vector<deviation> kinds;
    kinds.reserve(workers_by_kind.size());
    for (const auto& [kind, members] : workers_by_kind)
    {
        kinds.push_back({kind->mean - centre, kind->samples - kind_prior});
    }
    std::vector<deviation> own;
    own.reserve(m_workers.size());
    for (const auto& [id, worker] : m_workers)
    {
        own.push_back(
            {worker->own.mean - worker->kind->mean, worker->own.samples});
    }
    const auto between_kinds = variance_between(kinds, m_noise);
    const auto between_workers = variance_between(own, m_noise);
    double sum = 0;
    for (const auto& [id, worker] : m_workers)
    {
        const auto& kind = *worker->kind;
        worker->log_speed =
            centre +
            shrunk({kind.mean - centre, kind.samples - kind_prior},
                   between_kinds, m_noise) +
            shrunk({worker->own.mean - kind.mean, worker->own.samples},
                   between_workers, m_noise);
        sum += bounded_speed(worker->log_speed);
    }
    const auto shift = std::log(sum / count);
    for (const auto& [id, worker] : m_workers)
    {
        worker->log_speed -= shift;
        worker->own.mean -= shift;
    }
    for (const auto& [name, kind] : m_kinds)
    {
        kind->mean -= shift;
    }
    for (auto& [name, factor] : m_queues)
    {
        factor.mean -= shift;
    }
}

auto run_time_model::speed_of(const worker_id& worker,
                              const std::string& kind) const -> double
{
    const auto known = m_workers.find(worker);
    if (known != m_workers.end())
    {
        return bounded_speed(known->second->log_speed);
    }
    const auto of_kind = m_kinds.find(kind);
    return of_kind == m_kinds.end() ? 1.0
                                    : bounded_speed(of_kind->second->mean);
}

auto run_time_model::factor_of(const queue_name& queue) const -> double
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.samples < steps_before_factor)
    {
        return 1.0;
    }
    return std::clamp(std::exp(found->second.mean), lowest_factor,
                      highest_factor);
}

auto run_time_model::learned() const -> learned_speeds
{
    learned_speeds out;
    for (const auto& [queue, factor] : m_queues)
    {
        if (factor.samples >= steps_before_factor)
        {
            out.factors[queue] = factor_of(queue);
        }
    }
    for (const auto& [name, kind] : m_kinds)
    {
        out.kinds[name] = bounded_speed(kind->mean);
    }
    return out;
}

auto run_time_model::restore(const learned_speeds& earlier) -> void
{
    for (const auto& [queue, factor] : earlier.factors)
    {
        if (factor > 0 && m_queues.size() < most_queues)
        {
            const auto bounded =
                std::clamp(factor, lowest_factor, highest_factor);
            m_queues[queue] = {std::log(bounded), steps_before_factor};
        }
    }
    for (const auto& [name, speed] : earlier.kinds)
    {
        if (speed > 0)
        {
            const auto bounded = std::clamp(speed, lowest_speed, highest_speed);
            const auto& kind = kind_of(name);
            kind->mean = std::log(bounded);
            // Recent runs outweigh what was handed over within a second.
            kind->samples = kind_memory / 4;
        }
    }
    m_changed = true;
}

} // namespace policy
} // namespace pimentoshunt::cell
