# Integration tests: real processes on loopback, driven from Python.
file(GLOB integration_tests CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/tests/integration/*_test.py)
foreach(test IN LISTS integration_tests)
    get_filename_component(name ${test} NAME_WE)
    add_test(NAME integration_${name}
        COMMAND python3 -m unittest -q ${name}
        WORKING_DIRECTORY ${PROJECT_SOURCE_DIR}/tests/integration)
    set_tests_properties(integration_${name} PROPERTIES TIMEOUT 600
        ENVIRONMENT
        "PYTHONPATH=${PROJECT_SOURCE_DIR}/scripts;WAGTAIL_BIN=${PROJECT_BINARY_DIR}/bin"
        PROCESSORS 2)
endforeach()
