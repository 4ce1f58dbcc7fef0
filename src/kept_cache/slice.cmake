wagtail_slice(kept_cache DEPENDS wagtail_core)
