# Integration tests: real processes on loopback, driven from Python.
file(GLOB integration_tests CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/tests/integration/*_test.py)
list(FILTER integration_tests EXCLUDE REGEX "/filing_test.py$")
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

# The filings under faults stand apart, since they take longest.
set(filing filing_test.FilingTest)
add_test(NAME integration_filing_faults
    COMMAND python3 -m unittest -q
        ${filing}.test_filings_under_faults_run_at_most_once
    WORKING_DIRECTORY ${PROJECT_SOURCE_DIR}/tests/integration)
add_test(NAME integration_filing_rules
    COMMAND python3 -m unittest -q
        ${filing}.test_other_body_with_the_same_key_conflicts
        ${filing}.test_repeat_at_other_entry_gets_the_stored_outcome
        ${filing}.test_table_that_is_down_refuses_as_not_run
    WORKING_DIRECTORY ${PROJECT_SOURCE_DIR}/tests/integration)
set_tests_properties(integration_filing_faults integration_filing_rules
    PROPERTIES TIMEOUT 600 PROCESSORS 2 ENVIRONMENT
    "PYTHONPATH=${PROJECT_SOURCE_DIR}/scripts;WAGTAIL_BIN=${PROJECT_BINARY_DIR}/bin")
