wagtail_slice(peer DEPENDS wagtail_messages wagtail_identity wagtail_http nng::nng)
