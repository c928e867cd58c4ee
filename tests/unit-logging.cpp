/// @file
/// Tests of log lines: fields, types and levels.
#include <pimentoshunt/logging.hpp>

#include <boost/json/parse.hpp>
#include <criterion/criterion.h>

#include <cstdlib>  // mkstemp
#include <fstream>  // ifstream
#include <string>   // string
#include <unistd.h> // dup2, close, unlink
#include <vector>   // vector

namespace logging = pimentoshunt::logging;
using logging::level;

namespace
{

/// @brief Redirects standard error to a file and reads the lines back.
class captured_log
{
  public:
    captured_log()
    {
        const int file = ::mkstemp(m_path.data());
        ::dup2(file, STDERR_FILENO);
        ::close(file);
    }
    captured_log(const captured_log&) = delete;
    auto operator=(const captured_log&) -> captured_log& = delete;
    ~captured_log()
    {
        ::unlink(m_path.c_str());
    }

    [[nodiscard]] auto lines() const -> std::vector<std::string>
    {
        std::ifstream file(m_path);
        std::vector<std::string> found;
        for (std::string line; std::getline(file, line);)
        {
            found.push_back(line);
        }
        return found;
    }

  private:
    std::string m_path = "/tmp/pimentoshunt-log-XXXXXX";
};

auto open_log(const std::string& least) -> void
{
    pimentoshunt::settings chosen;
    chosen.instance = pimentoshunt::instance_id("i1");
    chosen.log_level = least;
    logging::setup(chosen);
}

} // namespace

Test(logging, writes_one_json_object_a_line_with_typed_fields)
{
    const captured_log log;
    open_log("info");
    logging::info("answered \"well\"\n")
        .request("r1")
        .attempt(pimentoshunt::attempt_id("i1-7"))
        .with("status", 200)
        .with("repeated", false)
        .with("waited", std::chrono::microseconds(1500));
    logging::error("second");

    const auto lines = log.lines();
    cr_assert(lines.size() == 2);
    const auto first = boost::json::parse(lines[0]).as_object();
    cr_assert(first.at("level") == "info");
    cr_assert(first.at("instance") == "i1");
    cr_assert(first.at("message") == "answered \"well\"\n");
    cr_assert(first.at("request") == "r1");
    cr_assert(first.at("attempt") == "i1-7");
    cr_assert(first.at("status") == 200);
    cr_assert(first.at("repeated") == false);
    cr_assert(first.at("waited_ms") == 1.5);
    cr_assert(first.at("time").as_string().size() == 27);
}

Test(logging, writes_nothing_below_its_level)
{
    const captured_log log;
    logging::error("before the log is open");
    open_log("warn");
    logging::info("too low").with("a", 1);
    cr_assert(log.lines().empty());
    cr_assert(!logging::is_enabled(level::info));
    logging::set_level(level::debug);
    logging::info("high enough");
    cr_assert(log.lines().size() == 1);
    logging::set_level(level::off);
    cr_assert(!logging::is_enabled(level::error));
}
