// Runs one attempt at the sidecar's upstream: a model engine's token stream or
// a plain service's answer.
#ifndef WAGTAILSEAM_SIDECAR_UPSTREAM_RUN_HPP
#define WAGTAILSEAM_SIDECAR_UPSTREAM_RUN_HPP

#include "http/client.hpp"
#include "sidecar/attempt_record.hpp"

#include <memory>

namespace wagtailseam::sidecar
{

/// How a run ended.
struct run_end
{
    result_code code = result_code::ok;
    std::uint32_t status = 0;
};

/// Asks a model engine and appends its tokens to the record until it ends.
asio::awaitable<run_end> run_at_engine(
    http::client& client, http::address engine, messages::dispatch asked,
    std::shared_ptr<attempt_record> record);

/// Calls a plain service and appends its answer to the record.
asio::awaitable<run_end> run_at_service(
    http::client& client, http::address service, messages::dispatch asked,
    std::shared_ptr<attempt_record> record);

} // namespace wagtailseam::sidecar

#endif
