#include <pimentoshunt/entry/idempotency_log.hpp>

namespace pimentoshunt::entry::detail
{

auto check_key(const idempotency_key& key) -> result<void>
{
    if (!key.text.empty() && key.text.size() <= max_idempotency_key_bytes)
    {
        return {};
    }
    return leaf::new_error(
        error{error_kind::request, idempotency_key_invalid, "Idempotency-Key",
              "the key has " + std::to_string(key.text.size()) + " bytes",
              "send a key of 1 to " +
                  std::to_string(max_idempotency_key_bytes) + " bytes"});
}

auto claim_lost_error(const idempotency_key& key) -> leaf::error_id
{
    return leaf::new_error(error{
        error_kind::request, idempotency_claim_lost, key.row_key(),
        "another instance has taken over the key, so this one must not send "
        "the request",
        "repeat the request with the same key to learn its outcome"});
}

auto record_unreadable_error(const std::string& row_key) -> leaf::error_id
{
    return leaf::new_error(
        error{error_kind::request, idempotency_key_invalid, row_key,
              "the stored record of this key cannot be read",
              "look up the effect of the request in the application, then use "
              "another key"});
}

} // namespace pimentoshunt::entry::detail
