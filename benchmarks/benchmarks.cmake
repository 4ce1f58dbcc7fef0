wagtail_program(admission_benchmark
    SOURCES benchmarks/admission_benchmark.cpp DEPENDS wagtail_admission)
wagtail_program(retry_benchmark
    SOURCES benchmarks/retry_benchmark.cpp DEPENDS wagtail_retry)
wagtail_program(quarantine_benchmark
    SOURCES benchmarks/quarantine_benchmark.cpp DEPENDS wagtail_quarantine)
