// wagtail-entry: the process that callers talk to.
#include "entry/app.hpp"
#include "runtime/program.hpp"

#include <memory>
#include <stdexcept>

namespace
{

using namespace wagtailseam;

std::unique_ptr<entry::app> app;

/// Returns the value, or ends the program with the reason.
template <class T>
T value_or_throw(result<T> read)
{
    if (!read)
    {
        throw std::runtime_error(read.error().detail);
    }
    return std::move(read).value();
}

void start(boost::asio::io_context& context, const nlohmann::json& value)
{
    auto settings = entry::read_settings(value);
    const std::string configuration_file = settings.configuration_file;
    auto keys = value_or_throw(identity::process_keys::parse(
        value_or_throw(runtime::read_file(settings.process_key_file))));
    app = std::make_unique<entry::app>(
        context, std::move(settings), std::move(keys));
    if (!configuration_file.empty())
    {
        app->configure(
            config_number{0},
            value_or_throw(configuration::parse_configuration(
                value_or_throw(runtime::read_file(configuration_file)))));
    }
    runtime::on_stop_signal(context, [] { app->drain(); });
}

} // namespace

int main(int argc, char** argv)
{
    return runtime::run_daemon(
        argc, argv,
        {.name = "wagtail-entry",
         .settings = entry::entry_schema(),
         .start = start});
}
