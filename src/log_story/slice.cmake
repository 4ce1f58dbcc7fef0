wagtail_slice(log_story DEPENDS wagtail_core fmt::fmt)
