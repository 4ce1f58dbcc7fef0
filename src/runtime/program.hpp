// What every program of the system does at its start and end: flags, settings
// file, signals.
#ifndef WAGTAILSEAM_RUNTIME_PROGRAM_HPP
#define WAGTAILSEAM_RUNTIME_PROGRAM_HPP

#include "core/result.hpp"
#include "settings/schema.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace wagtailseam::runtime
{

/// Exit codes of all programs.
enum class exit_code : std::uint8_t
{
    success = 0,
    /// The operation failed; the log or the message says why.
    failure = 1,
    /// The command line was wrong.
    usage = 2,
    /// A settings file, questionnaire or configuration has faults.
    invalid_settings = 3,
};

/// Reads a whole file. @errors missing_field when it cannot be read
[[nodiscard]] result<std::string> read_file(const std::string& path);

/// Parses the command line; --help lists the program's own flags.
void parse_command_line(int argc, char** argv, const std::string& usage);

/// What a daemon is.
struct daemon_options
{
    std::string name;
    settings::schema settings;
    /// Runs with checked settings until it ends the io_context itself.
    std::function<void(boost::asio::io_context&, const nlohmann::json&)> start;
};

/// Parses flags --settings, --check and --help, checks the settings file and
/// runs. @return the exit code
[[nodiscard]] int run_daemon(
    int argc, char** argv, const daemon_options& options);

/// Calls back at the first SIGTERM or SIGINT; a second one ends the process.
void on_stop_signal(
    boost::asio::io_context& context, std::function<void()> callback);

/// Returns a random number for a process's incarnation; never 0.
[[nodiscard]] std::uint64_t random_incarnation();

} // namespace wagtailseam::runtime

#endif
