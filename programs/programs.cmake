wagtail_program(wagtail-entry
    SOURCES programs/wagtail_entry.cpp DEPENDS wagtail_entry)
wagtail_program(wagtail-sidecar
    SOURCES programs/wagtail_sidecar.cpp DEPENDS wagtail_sidecar)
wagtail_program(wagtail-load SOURCES programs/wagtail_load.cpp
    DEPENDS wagtail_model absl::flags absl::flags_parse absl::flags_usage
        Threads::Threads)
wagtail_program(wagtailctl
    SOURCES programs/wagtailctl.cpp programs/wagtailctl_questionnaire.cpp
        programs/wagtailctl_acceptance.cpp programs/wagtailctl_status.cpp
        programs/wagtailctl_explain.cpp programs/wagtailctl_placement.cpp
    DEPENDS wagtail_log_story wagtail_questionnaire wagtail_table_service wagtail_runtime
        absl::flags absl::flags_parse absl::flags_usage absl::strings
        fmt::fmt Threads::Threads)
wagtail_program(wagtail-gateway
    SOURCES programs/wagtail_gateway.cpp DEPENDS wagtail_gateway absl::flags)
wagtail_program(wagtail-agent
    SOURCES programs/wagtail_agent.cpp DEPENDS wagtail_agent)
