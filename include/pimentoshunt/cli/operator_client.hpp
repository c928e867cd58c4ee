/// @file
/// Client of an instance's operator HTTP interface.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/error.hpp>

#include <boost/json/object.hpp>

#include <cstdint> // uint64_t
#include <string>  // string

namespace pimentoshunt::cli
{

/// Error id: the operator port gave no answer.
inline constexpr int operator_port_unreachable = 751;
/// Error id: the answer is not that of an operator port.
inline constexpr int unexpected_answer = 752;

/// @brief An answer of an operator port.
struct operator_answer
{
    int status = 0;
    /// Empty if the body is not a JSON object.
    boost::json::object body;
};

/// @brief The plan in force as reported by an instance.
struct remote_plan
{
    std::uint64_t revision = 0;
    std::string text;
    /// The whole answer, from which the members above were read.
    boost::json::object body;
};

/// @brief Calls one instance. Calls block, and each opens a connection of its
/// own.
class operator_client
{
  public:
    /// @param server  "host:port"
    /// @param timeout  for connecting, reading and writing, each
    operator_client(std::string server, milliseconds timeout);

    /// @brief Sends a GET request.
    /// @throw (leaf) transport error 751
    [[nodiscard]] auto get(const std::string& path) const
        -> result<operator_answer>;
    /// @brief Sends a DELETE request.
    /// @throw (leaf) transport error 751
    [[nodiscard]] auto remove(const std::string& path) const
        -> result<operator_answer>;
    /// @brief Sends a POST request with a JSON body.
    /// @param key  value of the Idempotency-Key header; empty: no header
    /// @throw (leaf) transport error 751: it is unknown whether the request
    ///        took effect
    [[nodiscard]] auto post(const std::string& path, const std::string& body,
                            const std::string& key = "") const
        -> result<operator_answer>;
    /// @brief Sends a PUT request with a JSON body.
    /// @throw (leaf) transport error 751, as for @ref post
    [[nodiscard]] auto put(const std::string& path,
                           const std::string& body) const
        -> result<operator_answer>;

    /// @brief Reads the plan in force.
    /// @throw (leaf) transport error 751; 752 if the answer holds no plan
    [[nodiscard]] auto plan() const -> result<remote_plan>;

  private:
    std::string m_server;
    milliseconds m_timeout;
};

} // namespace pimentoshunt::cli
