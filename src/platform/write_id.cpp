#include <pimentoshunt/platform/write_id.hpp>

#include <random>  // random_device
#include <utility> // move

namespace pimentoshunt::platform
{
namespace
{

/// Random number that keeps the ids of two sources distinct if faulty settings
/// give them the same prefix.
auto random_part() -> std::string
{
    std::random_device device;
    const auto high = static_cast<std::uint64_t>(device()) << 32;
    return std::to_string(high | device());
}

} // namespace

write_id_source::write_id_source(std::string prefix)
    : m_prefix(std::move(prefix) + "/" + random_part() + "/")
{
}

auto write_id_source::next() -> std::string
{
    return m_prefix + std::to_string(++m_count);
}

} // namespace pimentoshunt::platform
