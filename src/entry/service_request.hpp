// One call to a plain service.
#ifndef WAGTAILSEAM_ENTRY_SERVICE_REQUEST_HPP
#define WAGTAILSEAM_ENTRY_SERVICE_REQUEST_HPP

#include "caller_http/chat_request.hpp"
#include "entry/request_run.hpp"
#include "http/server.hpp"

namespace wagtailseam::entry
{

/// Answers an idempotent call to a service, retried on refusal and loss.
asio::awaitable<void> serve_idempotent_call(
    peers& shared, http::exchange& exchange, request_id id,
    configuration::workspace_settings workspace,
    caller_http::service_call call);

/// Returns the dispatch of a call.
[[nodiscard]] messages::dispatch service_dispatch(
    const peers& shared, const configuration::workspace_settings& workspace,
    const caller_http::service_call& call);

} // namespace wagtailseam::entry

#endif
