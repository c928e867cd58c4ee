#include <pimentoshunt/ownership/assignment.hpp>

#include <boost/crc.hpp> // crc_optimal

#include <cstdint> // uint64_t

namespace pimentoshunt::ownership
{
namespace
{

/// Returns the same value in every build and process, unlike std::hash.
auto stable_hash(const std::string& text) -> std::uint64_t
{
    boost::crc_optimal<64, 0x42F0E1EBA9EA3693ULL, 0, 0, false, false> crc;
    crc.process_bytes(text.data(), text.size());
    // A CRC is linear, so the weights of similar names would be correlated: mix
    // its bits.
    auto mixed = static_cast<std::uint64_t>(crc.checksum());
    mixed ^= mixed >> 30U;
    mixed *= 0xbf58476d1ce4e5b9ULL;
    mixed ^= mixed >> 27U;
    mixed *= 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

} // namespace

auto rendezvous_owner(const std::string& key,
                      const std::vector<instance_id>& candidates) -> instance_id
{
    instance_id best;
    std::uint64_t best_weight = 0;
    for (const auto& candidate : candidates)
    {
        const auto weight = stable_hash(candidate.str() + "/" + key);
        const bool wins =
            best.empty() || weight > best_weight ||
            (weight == best_weight && candidate.str() < best.str());
        if (wins)
        {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace pimentoshunt::ownership
