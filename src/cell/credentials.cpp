#include <pimentoshunt/cell/credentials.hpp>

#include <openssl/crypto.h> // CRYPTO_memcmp
#include <openssl/evp.h>    // EVP_Digest
#include <openssl/rand.h>   // RAND_bytes

#include <algorithm> // all_of, equal
#include <cctype>    // isgraph, tolower
#include <stdexcept> // runtime_error
#include <string>    // string

namespace pimentoshunt::cell
{
namespace
{

auto random_salt() -> key_digest
{
    key_digest out{};
    if (::RAND_bytes(out.data(), static_cast<int>(out.size())) != 1)
    {
        throw std::runtime_error("no random bytes for the salt of callers' "
                                 "keys");
    }
    return out;
}

auto process_salt() -> const key_digest&
{
    static const key_digest salt = random_salt();
    return salt;
}

} // namespace

auto digest_of(std::string_view key) -> std::optional<key_digest>
{
    if (key.empty() || key.size() > max_key_bytes)
    {
        return std::nullopt;
    }
    const auto& salt = process_salt();
    std::string salted(salt.begin(), salt.end());
    salted += key;
    key_digest out{};
    unsigned int length = 0;
    const bool hashed = ::EVP_Digest(salted.data(), salted.size(), out.data(),
                                     &length, ::EVP_sha256(), nullptr) == 1;
    ::OPENSSL_cleanse(salted.data(), salted.size());
    return hashed && length == out.size() ? std::optional(out) : std::nullopt;
}

auto caller_key_of(const std::vector<std::string>& authorization)
    -> std::optional<key_digest>
{
    constexpr std::string_view scheme = "bearer ";
    if (authorization.size() != 1 ||
        authorization.front().size() <= scheme.size())
    {
        return std::nullopt;
    }
    const std::string_view text = authorization.front();
    const bool is_bearer = std::equal(
        scheme.begin(), scheme.end(), text.begin(),
        [](char wanted, char found)
        {
            return wanted == std::tolower(static_cast<unsigned char>(found));
        });
    const auto start = text.find_first_not_of(' ', scheme.size());
    if (!is_bearer || start == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto key = text.substr(start);
    const bool is_word =
        std::all_of(key.begin(), key.end(),
                    [](char one)
                    {
                        return std::isgraph(static_cast<unsigned char>(one));
                    });
    return is_word ? digest_of(key) : std::nullopt;
}

auto are_equal(const key_digest& left, const key_digest& right) -> bool
{
    return ::CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto find_key_owner(const configuration& in_force, const key_digest& key)
    -> const workspace_config*
{
    const workspace_config* found = nullptr;
    for (const auto& workspace : in_force.workspaces)
    {
        for (const auto& known : workspace.keys)
        {
            if (are_equal(known, key))
            {
                found = &workspace;
            }
        }
    }
    return found;
}

} // namespace pimentoshunt::cell
