/// @file
/// Serves many simulated workers behind one HTTP port, each below /w/<number>,
/// and the routes by which tests read the record and set faults. Handlers run
/// on the threads of the HTTP server.
#pragma once

#include "record.hpp"
#include "worker_model.hpp"

#include <httplib.h>

#include <cstddef> // size_t
#include <memory>  // unique_ptr
#include <string>  // string
#include <thread>  // jthread
#include <vector>  // vector

namespace pimentoshunt::standins
{

/// @brief The workers of one process, their HTTP routes and the thread that
/// ends tasks whose run time or lease is over.
class worker_service
{
  public:
    /// @param record_file  path of a file to which events are also appended;
    ///                     empty for none
    worker_service(const std::vector<worker_config>& configs,
                   const std::string& record_file);

    /// @brief Adds the routes; this object must outlive @p server.
    auto install(httplib::Server& server) -> void;

    /// @brief The workers as entries of the platform's instance list, in the
    /// form {"instances":[..]}.
    [[nodiscard]] auto instance_list_json() const -> std::string;

  private:
    auto install_worker_calls(httplib::Server& server) -> void;
    auto install_control(httplib::Server& server) -> void;
    auto install_attempt_calls(httplib::Server& server) -> void;
    auto find_worker(const httplib::Request& request) -> worker_model&;
    auto run(const httplib::Request& request, httplib::Response& response,
             const std::string& body) -> void;
    auto answer_run(worker_model& worker, const httplib::Request& request,
                    httplib::Response& response, const std::string& body)
        -> void;
    auto start_task(worker_model& worker, const httplib::Request& request,
                    httplib::Response& response) -> void;
    auto set_faults(const httplib::Request& request,
                    httplib::Response& response) -> void;

    event_record m_record;
    std::vector<std::unique_ptr<worker_model>> m_workers;
    std::jthread m_expiry_thread;
};

} // namespace pimentoshunt::standins
