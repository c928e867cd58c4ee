/// @file
/// What a metric tells apart.
#pragma once

#include <string> // string
#include <tuple>  // tie

namespace pimentoshunt::metrics
{

/// @brief The labels of one series; an empty one is not shown.
struct label_set
{
    std::string workspace;
    /// "service", "batch" or "gang".
    std::string cls;
    std::string workload;
    /// Kind of answer, reason of a refusal, direction of bytes and the like.
    std::string kind;

    friend auto operator<(const label_set& left, const label_set& right) -> bool
    {
        return std::tie(left.workspace, left.cls, left.workload, left.kind) <
               std::tie(right.workspace, right.cls, right.workload, right.kind);
    }

    /// @brief Whether each label given here has the same value in @p other.
    [[nodiscard]] auto selects(const label_set& other) const -> bool;

    /// @brief `workspace="a",class="batch"`, escaped for the Prometheus text.
    [[nodiscard]] auto text() const -> std::string;
};

} // namespace pimentoshunt::metrics
