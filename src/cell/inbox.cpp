#include <pimentoshunt/cell/inbox.hpp>

#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/logging.hpp>

#include <algorithm> // min
#include <utility>   // move

namespace pimentoshunt::cell
{

auto read_inbox_row(const stored_row& row) -> std::optional<versioned_job>
{
    auto item = read_inbox_job(row.value);
    if (!item)
    {
        logging::error("stored job is malformed; ignoring it")
            .with("key", row.at.key);
        return std::nullopt;
    }
    return versioned_job{std::move(*item), row.version};
}

auto read_inbox(const std::vector<stored_row>& rows) -> inbox_content
{
    inbox_content out;
    for (const auto& row : rows)
    {
        const auto cancelled = cancelled_job(row.at);
        if (!cancelled.empty())
        {
            out.cancelled.push_back(cancelled);
            continue;
        }
        if (is_tombstone(row))
        {
            out.tombstones.push_back(row);
            continue;
        }
        if (is_part_epoch(row.at))
        {
            continue;
        }
        if (auto job = read_inbox_row(row))
        {
            const auto epoch = job->item.epoch;
            const auto place =
                out.jobs.try_emplace(job->item.job.id, std::move(*job));
            auto& known = place.first->second.item;
            known.epoch = std::min(known.epoch, epoch);
        }
    }
    return out;
}

} // namespace pimentoshunt::cell
