/// @file
/// Runs one soak: starts real instances on a stand-in for the platform, injects
/// seeded faults from outside and checks the recorded events for violations of
/// the product's guarantees.
#pragma once

#include "checker.hpp"

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::soak
{

/// @brief Parameters of a soak.
struct soak_options
{
    std::uint64_t seed = 1;
    /// For how long faults are injected.
    std::chrono::seconds fault_duration{20};
    std::size_t instances = 5;
    std::size_t workers = 8;
    std::size_t callers = 24;
    /// Mean time between two submissions of one caller.
    milliseconds mean_job_interval{800};
    /// Path of the product's executable; empty: pimentoshunt in the directory
    /// PIMENTOSHUNT_BUILD, by default the one of the running program.
    std::string binary;
};

/// @brief Result of a soak.
struct soak_report
{
    std::vector<violation> violations;
    std::size_t jobs = 0;
    std::size_t accepted = 0;
    std::size_t starts = 0;
    std::size_t takeovers = 0;
    std::size_t faults = 0;
    /// Time from the end of the last fault until all jobs had ended.
    milliseconds settled_after{0};
    /// Faults and changes of owner in order of time, one per line; empty
    /// without violations.
    std::string timeline;
    /// Folder with the logs of the instances and the timeline; empty without
    /// violations.
    std::string folder;

    /// @brief The counts in one line.
    [[nodiscard]] auto summary() const -> std::string;
};

/// @brief Runs one soak and blocks until it has ended.
/// @throw std::runtime_error if an instance does not become ready, or a port or
/// the temporary folder cannot be allocated
[[nodiscard]] auto run_soak(const soak_options& options) -> soak_report;

} // namespace pimentoshunt::soak
