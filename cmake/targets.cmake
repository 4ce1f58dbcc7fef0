# Slices, in order of dependence. A slice lists what its headers use.
wagtail_slice(core DEPENDS OpenSSL::Crypto)
wagtail_slice(telemetry DEPENDS wagtail_core spdlog::spdlog fmt::fmt)
wagtail_slice(platform DEPENDS wagtail_core)
wagtail_slice(kept_cache DEPENDS wagtail_core)
wagtail_slice(settings DEPENDS wagtail_core)
wagtail_slice(retry DEPENDS wagtail_core)
wagtail_slice(membership DEPENDS wagtail_core)
wagtail_slice(configuration DEPENDS wagtail_settings wagtail_platform)
wagtail_slice(questionnaire DEPENDS wagtail_configuration wagtail_membership)
wagtail_slice(link DEPENDS wagtail_core)
wagtail_slice(routing DEPENDS wagtail_link)
wagtail_slice(model DEPENDS wagtail_routing)
wagtail_program(wagtail-load SOURCES programs/wagtail_load.cpp
    DEPENDS wagtail_model absl::flags absl::flags_parse absl::flags_usage
        Threads::Threads)
wagtail_slice(attempt DEPENDS wagtail_core)
wagtail_slice(filing DEPENDS wagtail_attempt wagtail_platform)
target_sources(test_filing PRIVATE src/filing/test/history_world.cpp)
# The filing histories again, as many as the proof of at-most-once asks for.
add_test(NAME filing_histories
    COMMAND test_filing --gtest_filter=filing_histories*
    WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
set_tests_properties(filing_histories PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=100000" TIMEOUT 600)
wagtail_slice(admission DEPENDS wagtail_core)
wagtail_program(admission_benchmark
    SOURCES benchmarks/admission_benchmark.cpp DEPENDS wagtail_admission)
wagtail_program(retry_benchmark
    SOURCES benchmarks/retry_benchmark.cpp DEPENDS wagtail_retry)
