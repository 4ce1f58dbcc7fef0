// wagtail-sidecar: the process beside an upstream.
#include "runtime/program.hpp"
#include "sidecar/app.hpp"

#include <memory>
#include <stdexcept>

int main(int argc, char** argv)
{
    using namespace wagtailseam;
    static std::unique_ptr<sidecar::app> app;
    const auto start =
        [](boost::asio::io_context& context, const nlohmann::json& value)
    {
        auto settings = sidecar::read_settings(value);
        const auto text = runtime::read_file(settings.process_key_file);
        auto keys = text ? identity::process_keys::parse(text.value())
                         : boost::outcome_v2::failure(text.error());
        if (!keys)
        {
            throw std::runtime_error(keys.error().detail);
        }
        const std::string configuration_file = settings.configuration_file;
        app = std::make_unique<sidecar::app>(
            context, std::move(settings), std::move(keys).value());
        if (!configuration_file.empty())
        {
            const auto bytes = runtime::read_file(configuration_file);
            const auto read = configuration::parse_configuration(
                bytes ? bytes.value() : std::string());
            if (!read)
            {
                throw std::runtime_error(read.error().detail);
            }
            app->configure(config_number{}, read.value());
        }
        runtime::on_stop_signal(context, [] { app->drain(); });
    };
    return runtime::run_daemon(
        argc, argv,
        {.name = "wagtail-sidecar",
         .settings = sidecar::sidecar_schema(),
         .start = start});
}
