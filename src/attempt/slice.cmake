wagtail_slice(attempt DEPENDS wagtail_core)
