/// @file
/// An HTTP server whose idle connections cost no processor time.
#pragma once

#include <httplib.h>

#include <chrono> // milliseconds

namespace pimentoshunt::entry
{

/// @brief Waits for a connection's next request in few system calls; the
/// library looks for it every 10 ms.
class keep_alive_server : public httplib::Server
{
  private:
    /// Whether bytes came before the connection was idle for too long or the
    /// server stopped.
    auto wait_for_request(socket_t socket, std::chrono::milliseconds idle) const
        -> bool;
    auto process_and_close_socket(socket_t socket) -> bool override;
};

} // namespace pimentoshunt::entry
