// Asks a sidecar what became of an attempt, and that it never begin later.
#ifndef WAGTAILSEAM_ENTRY_TOMBSTONE_CALL_HPP
#define WAGTAILSEAM_ENTRY_TOMBSTONE_CALL_HPP

#include "attempt/attempt_types.hpp"
#include "entry/peers.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace wagtailseam::entry
{

/// Sends a tombstone. @return nothing when the sidecar did not answer, or the
/// upstream is in no configuration any more
asio::awaitable<std::optional<attempt::tombstone_answer>> send_tombstone(
    peers& shared, attempt::attempt_id attempt,
    attempt::dispatch_target target);

} // namespace wagtailseam::entry

#endif
