/// @file
/// The operators' HTTP interface from the side that asks.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/error.hpp>

#include <boost/json/object.hpp>

#include <cstdint> // uint64_t
#include <string>  // string

namespace pimentoshunt::cli
{

/// No answer came from the operator port.
inline constexpr int operator_port_unreachable = 751;
/// What answered is no operator port.
inline constexpr int unexpected_answer = 752;

/// @brief One answer of an operator port.
struct operator_answer
{
    int status = 0;
    /// Empty where the body was no JSON object.
    boost::json::object body;
};

/// @brief The plan in force as an instance tells it.
struct remote_plan
{
    std::uint64_t revision = 0;
    std::string text;
    boost::json::object body;
};

/// @brief Asks one instance; each call opens its own connection.
class operator_client
{
  public:
    /// @param server  "host:port"
    /// @param timeout  for one call
    operator_client(std::string server, milliseconds timeout);

    /// @brief A call without a body.
    /// @throw (leaf) transport error 751
    [[nodiscard]] auto get(const std::string& path) const
        -> result<operator_answer>;
    /// @throw (leaf) transport error 751
    [[nodiscard]] auto remove(const std::string& path) const
        -> result<operator_answer>;
    /// @brief A call with a body.
    /// @param key  Idempotency-Key; empty: none
    /// @throw (leaf) transport error 751: it is not known whether the call
    ///        had its effect
    [[nodiscard]] auto post(const std::string& path, const std::string& body,
                            const std::string& key = "") const
        -> result<operator_answer>;
    /// @throw (leaf) transport error 751, as @ref post
    [[nodiscard]] auto put(const std::string& path,
                           const std::string& body) const
        -> result<operator_answer>;

    /// @brief The plan in force.
    /// @throw (leaf) transport errors 751 and 752
    [[nodiscard]] auto plan() const -> result<remote_plan>;

  private:
    std::string m_server;
    milliseconds m_timeout;
};

} // namespace pimentoshunt::cli
