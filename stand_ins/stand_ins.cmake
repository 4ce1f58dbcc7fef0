# Small programs that take the places of outside systems in tests.
add_library(stand_in_common STATIC stand_ins/control_flags.cpp)
target_include_directories(stand_in_common PUBLIC stand_ins)
target_link_libraries(stand_in_common PUBLIC wagtail_http absl::flags
    absl::flags_parse PRIVATE wagtail_warnings)
wagtail_sanitize(stand_in_common)
foreach(name IN ITEMS engine service platform)
    wagtail_program(${name}_stand_in SOURCES stand_ins/${name}.cpp
        DEPENDS stand_in_common wagtail_kept_cache wagtail_table_service)
endforeach()
wagtail_program(fault_proxy SOURCES stand_ins/fault_proxy.cpp
    stand_ins/chunk_faults.cpp DEPENDS stand_in_common wagtail_peer)
