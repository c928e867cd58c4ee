/// @file
/// Labels of metrics.
#pragma once

#include <string> // string
#include <tuple>  // tie

namespace pimentoshunt::metrics
{

/// @brief Label values of one time series; empty labels are not printed.
struct label_set
{
    std::string workspace;
    /// "service", "batch" or "gang".
    std::string cls;
    std::string workload;
    /// Depends on the metric: type of answer, reason of a rejection, direction
    /// of bytes and the like.
    std::string kind;

    friend auto operator<(const label_set& left, const label_set& right) -> bool
    {
        return std::tie(left.workspace, left.cls, left.workload, left.kind) <
               std::tie(right.workspace, right.cls, right.workload, right.kind);
    }

    /// @brief Whether each non-empty label has the same value in @p other.
    [[nodiscard]] auto selects(const label_set& other) const -> bool;

    /// @brief Formats the labels as `workspace="a",class="batch"`, escaped for
    /// the Prometheus text format.
    [[nodiscard]] auto text() const -> std::string;
};

} // namespace pimentoshunt::metrics
