wagtail_slice(retry DEPENDS wagtail_core)
