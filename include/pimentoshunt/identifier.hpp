/// @file
/// String identifiers with a distinct type for each kind, so that the compiler
/// rejects a mix-up.
#pragma once

#include <compare>    // operator<=>
#include <functional> // hash
#include <ostream>    // ostream
#include <string>     // string
#include <utility>    // move

namespace pimentoshunt
{

/// @brief A string that identifies an object of the kind given by @p Tag.
template<class Tag>
class identifier
{
  public:
    identifier() = default;

    /// @brief Wraps @p value unchanged.
    explicit identifier(std::string value) : m_value(std::move(value))
    {
    }

    /// @brief Returns the wrapped string.
    [[nodiscard]] auto str() const noexcept -> const std::string&
    {
        return m_value;
    }

    /// @brief Whether the identifier is empty, which stands for none.
    [[nodiscard]] auto empty() const noexcept -> bool
    {
        return m_value.empty();
    }

    // clang-tidy mistakes the zero in the generated operator for a pointer.
    friend auto operator<=>(const identifier&, const identifier&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)

    friend auto operator<<(std::ostream& out, const identifier& id)
        -> std::ostream&
    {
        return out << id.m_value;
    }

  private:
    std::string m_value;
};

/// A machine that runs tasks; the endpoints of services are workers too.
using worker_id = identifier<struct worker_tag>;
/// An instance of this program that takes in requests; unique among live
/// instances.
using instance_id = identifier<struct instance_tag>;
/// A customer with a quota.
using workspace_name = identifier<struct workspace_tag>;
/// A workload of the plan: a service, or a type of batch or gang jobs.
using workload_name = identifier<struct workload_tag>;
using data_centre_name = identifier<struct data_centre_tag>;
/// One attempt to run a task or request on a worker; unique among all attempts
/// ever.
using attempt_id = identifier<struct attempt_tag>;
/// A submitted job.
using job_id = identifier<struct job_tag>;

} // namespace pimentoshunt

template<class Tag>
struct std::hash<pimentoshunt::identifier<Tag>>
{
    auto operator()(const pimentoshunt::identifier<Tag>& id) const noexcept
        -> std::size_t
    {
        return std::hash<std::string>{}(id.str());
    }
};
