/// @file
/// An HTTP server whose idle keep-alive connections use almost no CPU time.
#pragma once

#include <httplib.h>

#include <chrono> // milliseconds

namespace pimentoshunt::entry
{

/// @brief Waits for a connection's next request with few system calls, where
/// httplib::Server polls every 10 ms.
class keep_alive_server : public httplib::Server
{
  private:
    /// Returns whether data arrived before the connection was idle for @p idle
    /// or the server stopped.
    auto wait_for_request(socket_t socket, std::chrono::milliseconds idle) const
        -> bool;
    auto process_and_close_socket(socket_t socket) -> bool override;
};

} // namespace pimentoshunt::entry
