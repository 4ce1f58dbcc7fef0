wagtail_slice(settings DEPENDS wagtail_core)
