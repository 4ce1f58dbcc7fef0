// Signatures on HTTP requests between the system's own processes.
#ifndef WAGTAILSEAM_PEER_SIGNED_HTTP_HPP
#define WAGTAILSEAM_PEER_SIGNED_HTTP_HPP

#include "core/result.hpp"
#include "http/message.hpp"
#include "identity/process_keys.hpp"

namespace wagtailseam::peer
{

/// Returns a POST with a signature over its target and body.
[[nodiscard]] http::request signed_post(
    const identity::process_keys& keys, std::uint64_t nonce, std::string target,
    std::string body);

/// Checks a request's signature. @errors bad_process_signature
[[nodiscard]] result<void> check_signature(
    const identity::process_keys& keys, const http::request& asked);

/// Returns the address of control messages beside a data address: the next
/// port. @pre the address is "IP:port"
[[nodiscard]] http::address control_address(const http::address& data);

} // namespace wagtailseam::peer

#endif
