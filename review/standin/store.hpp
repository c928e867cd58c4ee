/// @file
/// The platform's store: rows with versions, transactions under conditions,
/// reads and a feed of changes, within the limits of the pages.
#pragma once

#include "http.hpp"
#include "record.hpp"

#include <boost/json/fwd.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

namespace review
{

class store
{
  public:
    explicit store(record& seen);

    [[nodiscard]] auto start() -> bool
    {
        return m_server.start(free_port());
    }
    auto stop() -> void;
    [[nodiscard]] auto address() const -> std::string
    {
        return m_server.address();
    }

    /// @brief Writes a row on behalf of the operator or a worker.
    auto put(const std::string& table, const std::string& key,
             const std::string& text) -> void;
    auto remove(const std::string& table, const std::string& key) -> void;

  private:
    using place = std::tuple<std::string, std::string, std::string>;
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change
    {
        place at;
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };

    auto serve(const http_request& request,
               const std::function<bool()>& connected)
        -> std::optional<http_response>;
    auto transact(const std::string& body) -> http_response;
    auto get(const http_request& request) -> http_response;
    auto feed(const http_request& request,
              const std::function<bool()>& connected)
        -> std::optional<http_response>;
    auto apply(const place& at, const std::string* value) -> void;
    [[nodiscard]] auto row_json(const place& at, const row& item) const
        -> boost::json::object;
    [[nodiscard]] auto now_ms() const -> std::int64_t;

    record& m_seen;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<place, row> m_rows;
    std::deque<change> m_changes;
    std::uint64_t m_version = 0;
    bool m_stopped = false;
    http_server m_server;
};

} // namespace review
