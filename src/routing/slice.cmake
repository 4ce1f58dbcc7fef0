wagtail_slice(routing DEPENDS wagtail_link)
