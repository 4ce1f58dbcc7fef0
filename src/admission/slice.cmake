wagtail_slice(admission DEPENDS wagtail_core)
