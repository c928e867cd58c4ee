/// @file
/// Row keys, partition rows and errors of job_store.
#include <pimentoshunt/jobs/job_store.hpp>

#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/object.hpp>    // object
#include <boost/json/serialize.hpp> // serialize

#include <algorithm> // all_of
#include <cctype>    // isalnum

namespace pimentoshunt::jobs::detail
{
namespace
{

namespace fields = platform::detail;

auto is_id_character(unsigned char byte) -> bool
{
    return byte < 0x80 && (std::isalnum(byte) != 0 || byte == '.' ||
                           byte == '_' || byte == '-');
}

auto key_of(const char* table, const job_id& id) -> std::string
{
    return partition_prefix(table, partition_of(id)) + id.str();
}

} // namespace

auto check_job_id(const job_id& id) -> result<void>
{
    const auto& text = id.str();
    if (!text.empty() && text.size() <= max_job_id_bytes &&
        std::all_of(text.begin(), text.end(), is_id_character))
    {
        return {};
    }
    return leaf::new_error(
        error{error_kind::job, job_id_invalid, "id", "the job id is invalid",
              "use 1 to " + std::to_string(max_job_id_bytes) +
                  " letters, digits, dots, underscores or hyphens"});
}

auto partition_prefix(const char* table, int partition) -> std::string
{
    return std::string(table) + "/" + partition_name(partition) + "/";
}

auto spec_key(const job_id& id) -> std::string
{
    return key_of("job", id);
}

auto progress_key(const job_id& id) -> std::string
{
    return key_of("progress", id);
}

auto cancel_key(const job_id& id) -> std::string
{
    return key_of("cancel", id);
}

auto partition_key(int partition) -> std::string
{
    return "partition/" + partition_name(partition);
}

auto serialize_partition(const partition_state& state) -> std::string
{
    return boost::json::serialize(
        boost::json::object{{"owner", state.owner}, {"epoch", state.epoch}});
}

auto parse_partition(int partition, const platform::row& row) -> partition_state
{
    partition_state out;
    out.partition = partition;
    out.version = row.version;
    const auto parsed = fields::parse_object(row.value);
    if (parsed)
    {
        out.owner = fields::text_of(*parsed, "owner");
        out.epoch =
            static_cast<std::uint64_t>(fields::number_of(*parsed, "epoch"));
    }
    return out;
}

auto job_id_taken_error(const job_id& id) -> leaf::error_id
{
    return leaf::new_error(error{error_kind::job, job_id_taken, id.str(),
                                 "another job has this id",
                                 "submit the job with an unused id"});
}

auto stored_job_unreadable_error(const std::string& key) -> leaf::error_id
{
    return leaf::new_error(error{error_kind::job, stored_job_unreadable, key,
                                 "the stored job cannot be parsed",
                                 "restore the row from the platform's backup"});
}

auto partition_lost_error(int partition) -> leaf::error_id
{
    return leaf::new_error(error{
        error_kind::job, partition_lost, partition_key(partition),
        "another instance owns this partition",
        "none needed: the other instance continues the partition's jobs"});
}

auto append_operations(const partition_update& update,
                       std::vector<platform::operation>& out) -> void
{
    out.push_back({partition_key(update.claim.partition), update.claim.version,
                   serialize_partition(update.claim)});
    for (const auto& job : update.jobs)
    {
        out.push_back({progress_key(job.id), platform::expect_any,
                       serialize(job.progress)});
    }
    for (const auto& id : update.erased)
    {
        for (const auto& key : {spec_key(id), progress_key(id), cancel_key(id)})
        {
            out.push_back({key, platform::expect_any, std::nullopt});
        }
    }
}

} // namespace pimentoshunt::jobs::detail
