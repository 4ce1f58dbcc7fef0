wagtail_slice(filing DEPENDS wagtail_attempt wagtail_table_service)
if(WAGTAIL_TESTS)
    target_sources(test_filing PRIVATE src/filing/test/history_world.cpp)
    # The filing histories again, as many as the proof of at-most-once asks for.
    add_test(NAME filing_histories
        COMMAND test_filing --gtest_filter=filing_histories*
        WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
    set_tests_properties(filing_histories PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=100000" TIMEOUT 600)
endif()
