wagtail_slice(membership DEPENDS wagtail_core)
