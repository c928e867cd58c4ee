/// @file
/// Distinct string identifiers, so that one kind never stands for another.
#pragma once

#include <compare>    // operator<=>
#include <functional> // hash
#include <ostream>    // ostream
#include <string>     // string
#include <utility>    // move

namespace pimentoshunt
{

/// @brief A string that names one kind of thing, given by @p Tag.
template<class Tag>
class identifier
{
  public:
    identifier() = default;

    /// @brief Wraps @p value unchanged.
    explicit identifier(std::string value) : m_value(std::move(value))
    {
    }

    /// @brief The wrapped text.
    [[nodiscard]] auto str() const noexcept -> const std::string&
    {
        return m_value;
    }

    /// @brief Whether no name was given.
    [[nodiscard]] auto empty() const noexcept -> bool
    {
        return m_value.empty();
    }

    // The check takes the zero inside the generated operator for a pointer.
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

/// A machine that runs tasks, an endpoint of services among them.
using worker_id = identifier<struct worker_tag>;
/// One entry instance of the system, unique among those that live.
using instance_id = identifier<struct instance_tag>;
/// A customer with a quota.
using workspace_name = identifier<struct workspace_tag>;
/// A workload of the plan: a service, a batch job kind or a gang job kind.
using workload_name = identifier<struct workload_tag>;
/// A data centre.
using data_centre_name = identifier<struct data_centre_tag>;
/// One try to run one task or request on one worker; unique for all time.
using attempt_id = identifier<struct attempt_tag>;
/// One submitted job.
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
