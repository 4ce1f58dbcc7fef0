// wagtail-gateway: answers the callers of the users' platform.
#include "gateway/app.hpp"
#include "platform/program.hpp"

#include <absl/flags/flag.h>

ABSL_FLAG(
    std::uint16_t, metrics_port, 9464,
    "Port of the metrics, at the VM's own address.");

int main(int argc, char** argv)
{
    using namespace wagtailseam;
    return platform::run_program(
        argc, argv,
        {.name = "wagtail-gateway",
         .start = [](boost::asio::io_context& context,
                     const platform::process_settings& settings)
         {
             // Not destroyed: the process ends with the io_context.
             auto* const app = new gateway::app(
                 context, settings,
                 http::address{
                     settings.ip + ":" +
                     std::to_string(absl::GetFlag(FLAGS_metrics_port))});
             return platform::program_hooks{
                 .stop = [app] { app->drain(); },
                 .reload = [app](const auto& changed)
                 { app->reload(changed); }};
         }});
}
