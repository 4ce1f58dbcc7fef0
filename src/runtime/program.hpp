// Startup and shutdown shared by all programs: flags, settings file, signals.
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
    /// The operation failed; the log or standard error gives the reason.
    failure = 1,
    /// The command line is invalid.
    usage = 2,
    /// A settings file, questionnaire or configuration is invalid.
    invalid_settings = 3,
};

/// Reads a whole file. @errors missing_field: the file cannot be opened
[[nodiscard]] result<std::string> read_file(const std::string& path);

/// Parses the command line; --help lists the program's own flags.
void parse_command_line(int argc, char** argv, const std::string& usage);

/// Describes a daemon.
struct daemon_options
{
    std::string name;
    settings::schema settings;
    /// Starts the daemon with validated settings. The daemon stops the
    /// io_context itself when it shuts down.
    std::function<void(boost::asio::io_context&, const nlohmann::json&)> start;
};

/// Parses the flags --settings, --check and --help, validates the settings file
/// and runs the daemon. Does not return after a run.
/// @return the exit code if the daemon did not start
[[nodiscard]] int run_daemon(
    int argc, char** argv, const daemon_options& options);

/// Calls the callback on the first SIGTERM or SIGINT; a second signal
/// terminates the process.
void on_stop_signal(
    boost::asio::io_context& context, std::function<void()> callback);

/// Returns a random process incarnation number; never 0.
[[nodiscard]] std::uint64_t random_incarnation();

} // namespace wagtailseam::runtime

#endif
