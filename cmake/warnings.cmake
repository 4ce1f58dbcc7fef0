# Warnings for this project's own code; all of them are errors.
add_library(wagtail_warnings INTERFACE)
target_compile_options(wagtail_warnings INTERFACE
    -Wall -Wextra -Wpedantic -Werror -Wshadow -Wconversion -Wsign-conversion
    -Wold-style-cast -Wnon-virtual-dtor -Woverloaded-virtual -Wcast-align
    -Wcast-qual -Wduplicated-cond -Wduplicated-branches -Wlogical-op
    -Wnull-dereference -Wuseless-cast -Wformat=2 -Wextra-semi
    -Wredundant-decls -Wundef -Wunused
    # g++ 12 reports these inside inlined Boost and standard headers.
    -Wno-maybe-uninitialized -Wno-null-dereference -Wno-restrict
    -Wno-missing-field-initializers
    # Asio allocates coroutine frames itself, which g++ 12 does not see.
    -Wno-mismatched-new-delete)
