# Slices, in order of dependence. A slice lists what its headers use.
wagtail_slice(core DEPENDS OpenSSL::Crypto)
wagtail_slice(telemetry DEPENDS wagtail_core spdlog::spdlog fmt::fmt)
wagtail_slice(platform DEPENDS wagtail_core)
wagtail_slice(kept_cache DEPENDS wagtail_core)
wagtail_slice(settings DEPENDS wagtail_core)
wagtail_slice(retry DEPENDS wagtail_core)
