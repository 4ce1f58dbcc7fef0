wagtail_slice(link DEPENDS wagtail_core)
