// wagtail-agent: runs beside an engine of the users' platform.
#include "agent/app.hpp"
#include "platform/program.hpp"
#include "telemetry/event_log.hpp"

int main(int argc, char** argv)
{
    using namespace wagtailseam;
    return platform::run_program(
        argc, argv,
        {.name = "wagtail-agent",
         .start = [](boost::asio::io_context& context,
                     const platform::process_settings& settings)
         {
             // Not destroyed: the process ends with the io_context.
             auto* const app = new agent::app(context, settings);
             return platform::program_hooks{
                 .stop = [app] { app->stop(); },
                 .reload =
                     [](const platform::process_settings& changed) {
                         telemetry::event("settings_ignored_until_restart")
                             .with("vm", changed.vm);
                     }};
         }});
}
