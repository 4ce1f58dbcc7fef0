wagtail_slice(lease DEPENDS wagtail_platform)
