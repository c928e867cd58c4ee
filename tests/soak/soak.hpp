/// @file
/// One soak: real processes of the product on a stand-in for the platform,
/// faults from outside, and the verdict.
#pragma once

#include "checker.hpp"

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::soak
{

/// @brief What a soak is like.
struct soak_options
{
    std::uint64_t seed = 1;
    /// How long faults last.
    std::chrono::seconds fault_duration{20};
    std::size_t instances = 5;
    std::size_t workers = 8;
    std::size_t callers = 24;
    /// Mean time between two jobs of one caller.
    milliseconds mean_job_interval{800};
    /// The product's program; empty: the one that was built with this.
    std::string binary;
};

/// @brief How a soak went.
struct soak_report
{
    std::vector<violation> violations;
    std::size_t jobs = 0;
    std::size_t accepted = 0;
    std::size_t starts = 0;
    std::size_t takeovers = 0;
    std::size_t faults = 0;
    /// From the last fault's end until all jobs had ended.
    milliseconds settled_after{0};
    /// All that was seen, as lines; logs lie beside them when a promise was
    /// broken.
    std::string timeline;
    std::string folder;

    /// @brief The figures in one line.
    [[nodiscard]] auto summary() const -> std::string;
};

/// @throw std::runtime_error when the instances don't become ready
[[nodiscard]] auto run_soak(const soak_options& options) -> soak_report;

} // namespace pimentoshunt::soak
