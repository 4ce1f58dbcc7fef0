# Each slice declares itself in src/<slice>/slice.cmake, programs, stand-ins
# and benchmarks in the .cmake file of their folder.
file(GLOB slices CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/*/slice.cmake)
foreach(slice IN LISTS slices)
    include(${slice})
endforeach()
include(platform/adapter.cmake)
include(programs/programs.cmake)
if(WAGTAIL_TESTS)
    include(stand_ins/stand_ins.cmake)
    include(benchmarks/benchmarks.cmake)
    include(tests/integration/integration.cmake)
endif()
