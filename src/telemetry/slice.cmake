wagtail_slice(telemetry DEPENDS wagtail_core spdlog::spdlog fmt::fmt)
