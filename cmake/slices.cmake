# wagtail_slice(NAME [DEPENDS other slices or libraries ...]
#     [SEPARATE_TESTS features ...])
#
# Makes library wagtail_<NAME> of src/<NAME>/**.cpp and, when there is a
# folder src/<NAME>/test, the test program test_<NAME> of its *_test.cpp. Each
# feature of SEPARATE_TESTS gets a program test_<feature> of its own.
function(wagtail_slice name)
    cmake_parse_arguments(arg "" "" "DEPENDS;SEPARATE_TESTS" ${ARGN})
    set(dir ${PROJECT_SOURCE_DIR}/src/${name})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${dir}/*.cpp ${dir}/*.cc)
    list(FILTER sources EXCLUDE REGEX "/test/")
    add_library(wagtail_${name} STATIC ${sources})
    target_include_directories(wagtail_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(wagtail_${name}
        PUBLIC ${arg_DEPENDS} Boost::boost PRIVATE wagtail_warnings)
    wagtail_sanitize(wagtail_${name})
    foreach(generated IN LISTS sources)
        if(generated MATCHES "/generated/")
            set_source_files_properties(${generated} PROPERTIES COMPILE_OPTIONS
                "-w")
        endif()
    endforeach()
    file(GLOB tests CONFIGURE_DEPENDS ${dir}/test/*_test.cpp)
    foreach(feature IN LISTS arg_SEPARATE_TESTS)
        set(separate_test ${dir}/test/${feature}_test.cpp)
        list(REMOVE_ITEM tests ${separate_test})
        if(WAGTAIL_TESTS)
            wagtail_test(test_${feature}
                SOURCES ${separate_test} DEPENDS wagtail_${name})
        endif()
    endforeach()
    if(tests AND WAGTAIL_TESTS)
        wagtail_test(test_${name} SOURCES ${tests} DEPENDS wagtail_${name})
    endif()
endfunction()

# wagtail_test(NAME SOURCES ... DEPENDS ...): a GoogleTest program run by
# ctest. RapidCheck gets a fixed seed, so that a run repeats.
function(wagtail_test name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS} GTest::gtest_main
        GTest::gmock rapidcheck rapidcheck_gtest wagtail_warnings)
    wagtail_sanitize(${name})
    add_test(NAME ${name} COMMAND ${name}
        WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
    set_tests_properties(${name} PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 600)
endfunction()

# wagtail_program(NAME SOURCES ... DEPENDS ...): a binary in build/<preset>/bin.
function(wagtail_program name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS} wagtail_warnings)
    wagtail_sanitize(${name})
    set_target_properties(${name} PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

function(wagtail_sanitize target)
    if(WAGTAIL_SANITIZE)
        target_compile_options(${target} PRIVATE
            -fsanitize=address,undefined -fno-sanitize-recover=all)
        target_link_options(${target} PRIVATE -fsanitize=address,undefined)
    endif()
endfunction()
