wagtail_slice(presence DEPENDS wagtail_core)
