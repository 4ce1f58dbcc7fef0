// Startup and shutdown of programs.
#include "runtime/program.hpp"

#include "telemetry/event_log.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

ABSL_FLAG(std::string, settings, "", "Path of the settings file (JSON).");
ABSL_FLAG(bool, check, false, "Check the settings file and exit.");

namespace wagtailseam::runtime
{

result<std::string> read_file(const std::string& path)
{
    const std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return fail(result_code::missing_field, "cannot open file " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

namespace
{

exit_code run(const daemon_options& options, const nlohmann::json& settings)
{
    // Intentionally leaked; see the end of run_daemon.
    auto* const context = new boost::asio::io_context(1);
    try
    {
        options.start(*context, settings);
        context->run();
    }
    catch (const std::exception& error)
    {
        telemetry::event("program_failed")
            .with("detail", error.what())
            .warning();
        return exit_code::failure;
    }
    return exit_code::success;
}

} // namespace

void parse_command_line(int argc, char** argv, const std::string& usage)
{
    absl::SetProgramUsageMessage(usage);
    absl::FlagsUsageConfig config;
    // Abseil's default lists only flags from files named like the program.
    const auto is_project_flag = [](absl::string_view file)
    { return file.find("absl/") == absl::string_view::npos; };
    config.contains_help_flags = is_project_flag;
    config.contains_helpshort_flags = is_project_flag;
    absl::SetFlagsUsageConfig(config);
    absl::ParseCommandLine(argc, argv);
}

int run_daemon(int argc, char** argv, const daemon_options& options)
{
    parse_command_line(
        argc, argv,
        options.name + " --settings FILE [--check]\n\nSettings:\n" +
            settings::reference(options.settings));
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty())
    {
        std::cerr << options.name << ": --settings FILE is required\n";
        return static_cast<int>(exit_code::usage);
    }
    const auto text = read_file(path);
    if (!text)
    {
        std::cerr << options.name << ": " << text.error().detail << '\n';
        return static_cast<int>(exit_code::invalid_settings);
    }
    const auto loaded = settings::load(options.settings, text.value());
    if (!loaded.faults.empty())
    {
        std::cerr << settings::describe(path, loaded.faults);
        return static_cast<int>(exit_code::invalid_settings);
    }
    if (absl::GetFlag(FLAGS_check))
    {
        std::cout << path << ": no faults\n";
        return static_cast<int>(exit_code::success);
    }
    std::signal(SIGPIPE, SIG_IGN);
    telemetry::initialize_logging(
        options.name, loaded.value.value("log_level", std::string("info")));
    const exit_code code = run(options, loaded.value);
    spdlog::shutdown();
    std::cout.flush();
    // nng threads may still run callbacks on objects of the io_context, so the
    // process exits without running destructors.
    std::quick_exit(static_cast<int>(code));
}

void on_stop_signal(
    boost::asio::io_context& context, std::function<void()> callback)
{
    auto signals =
        std::make_shared<boost::asio::signal_set>(context, SIGTERM, SIGINT);
    signals->async_wait(
        [signals,
         callback = std::move(callback)](boost::system::error_code error, int)
        {
            if (error)
            {
                return;
            }
            signals->clear();
            std::signal(SIGTERM, SIG_DFL);
            std::signal(SIGINT, SIG_DFL);
            callback();
        });
}

std::uint64_t random_incarnation()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> distribution(1);
    return distribution(device);
}

} // namespace wagtailseam::runtime
