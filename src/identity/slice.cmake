wagtail_slice(identity DEPENDS wagtail_core)
