wagtail_slice(http DEPENDS wagtail_core Threads::Threads spdlog::spdlog
    SEPARATE_TESTS idle_connection)
