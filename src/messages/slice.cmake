wagtail_slice(messages DEPENDS wagtail_core protobuf::libprotobuf-lite)
