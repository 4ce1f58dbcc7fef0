wagtail_slice(model DEPENDS wagtail_routing)
