wagtail_slice(core DEPENDS OpenSSL::Crypto)
