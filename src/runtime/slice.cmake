wagtail_slice(runtime DEPENDS wagtail_settings wagtail_telemetry absl::flags absl::flags_parse absl::flags_usage)
