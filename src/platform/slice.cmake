wagtail_slice(platform DEPENDS wagtail_core wagtail_http)
