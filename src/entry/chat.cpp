// Streaming of chat completions.
#include "entry/chat.hpp"

#include "kept_cache/store_choice.hpp"
#include "telemetry/event_log.hpp"

#include <algorithm>

namespace wagtailseam::entry
{
namespace
{

const configuration::model_settings* find_model(
    const configuration::configuration& config, const model_id& id)
{
    const auto found = std::find_if(
        config.models.begin(), config.models.end(),
        [&id](const auto& model) { return model.id == id; });
    return found == config.models.end() ? nullptr : &*found;
}

/// Returns the stores of the configuration, named by their addresses. Until
/// stores report their room, all count alike.
std::vector<kept_cache::store_candidate> stores_of(
    const configuration::configuration& config)
{
    std::vector<kept_cache::store_candidate> stores;
    for (const auto& upstream : config.upstreams)
    {
        if (upstream.kind == configuration::upstream_kind::store)
        {
            stores.push_back({.id = upstream_id{upstream.sidecar}});
        }
    }
    return stores;
}

caller_http::usage usage_of(const request_result& ended)
{
    return caller_http::usage{
        .prompt_tokens = ended.last.prompt_tokens(),
        .completion_tokens = ended.tokens,
        .cached_tokens = ended.last.cached_tokens(),
        .imported_tokens = ended.last.imported_tokens()};
}

} // namespace

chat::chat(
    peers& shared, http::exchange& exchange, request_id id,
    configuration::workspace_settings workspace,
    caller_http::chat_request request)
    : shared_(shared), exchange_(exchange), id_(std::move(id)),
      workspace_(std::move(workspace)),
      request_(std::move(request)), identity_{id_, request_.model},
      began_(monotonic_clock::now())
{
}

asio::awaitable<void> chat::run()
{
    const auto config = shared_.config;
    const bool allowed = std::find(
                             workspace_.models.begin(), workspace_.models.end(),
                             request_.model) != workspace_.models.end();
    const auto* const model =
        allowed ? find_model(*config, request_.model) : nullptr;
    if (model == nullptr)
    {
        request_result refused;
        refused.code = result_code::unknown_model;
        co_await end_answer(refused);
        co_return;
    }
    version_ = model->version;
    request_run attempts(shared_, plan(*model));
    exchange_.on_caller_disconnect(
        [this, &attempts]
        {
            caller_gone_ = true;
            attempts.caller_left();
        });
    const request_result ended = co_await attempts.run();
    co_await end_answer(ended);
}

request_plan chat::plan(const configuration::model_settings& model)
{
    return request_plan{
        .id = id_,
        .need =
            {.kind = configuration::upstream_kind::engine,
             .model = model.id,
             .version = model.version,
             .service = {}},
        .deadline = began_ + request_.deadline,
        .make_dispatch = [this](
                             const upstream_view&, const std::string& delivered,
                             std::uint32_t tokens)
        { return make_dispatch(delivered, tokens); },
        .sink = [this](std::string text)
        { return take_part(std::move(text)); }};
}

messages::dispatch chat::make_dispatch(
    const std::string& delivered, std::uint32_t tokens) const
{
    messages::dispatch asked;
    asked.set_workspace(workspace_.id.value());
    asked.set_model(request_.model.value());
    asked.set_weight_version(version_.value());
    asked.set_config_number(shared_.config_in_force.value());
    asked.set_priority(request_.priority);
    asked.set_path("/v1/chat/completions");
    // Workspaces and versions must not share prefixes in an engine's cache.
    const digest root = kept_cache::prefix_root(
        shared_.keys.sign(0, "kept cache of workspace " + workspace_.id.value())
            .view(),
        {.model = request_.model, .adapter = {}, .version = version_});
    const auto chain = kept_cache::chain_of(root, request_.rendered);
    const auto store = kept_cache::store_for(chain, stores_of(*shared_.config));
    if (store)
    {
        for (const kept_cache::block_id& id : chain)
        {
            asked.add_prefix(std::string(id.view()));
        }
        asked.set_import_store(store->value());
        asked.set_import_pieces(static_cast<std::uint32_t>(chain.size()));
        asked.set_cache_salt(std::string(root.view()));
    }
    const std::string salt = root.hex();
    asked.set_body(
        caller_http::upstream_body(request_, delivered, tokens, salt));
    return asked;
}

asio::awaitable<void> chat::begin_stream()
{
    streaming_ = true;
    const duration waited = monotonic_clock::now() - began_;
    shared_.metrics.observe(
        "wagtail_first_token_ms",
        static_cast<double>(waited.count()) / 1'000.0);
    if (!request_.stream)
    {
        co_return;
    }
    http::response head;
    head.content_type = "text/event-stream";
    head.headers.emplace_back("Cache-Control", "no-cache");
    head.headers.emplace_back("X-Request-Id", id_.value());
    (void)co_await exchange_.begin_stream(std::move(head));
}

asio::awaitable<void> chat::take_part(std::string text)
{
    if (!streaming_)
    {
        co_await begin_stream();
    }
    if (!request_.stream)
    {
        whole_ += text;
        co_return;
    }
    std::string events;
    caller_http::append_delta(events, identity_, text);
    if (!caller_gone_)
    {
        (void)co_await exchange_.write(events);
    }
}

asio::awaitable<void> chat::end_answer(const request_result& ended)
{
    telemetry::event("request_ended")
        .with("request", id_)
        .with("workspace", workspace_.id)
        .with("upstream", ended.upstream)
        .with("attempts", ended.attempts)
        .with("tokens", ended.tokens)
        .with("reason", ended.code);
    shared_.explain(id_, "event=end reason=" + std::string(name(ended.code)));
    shared_.metrics.count("wagtail_requests_total", "reason", name(ended.code));
    if (ended.code != result_code::ok)
    {
        shared_.metrics.count_refusal(ended.code);
    }
    if (caller_gone_)
    {
        co_return;
    }
    const bool ok = ended.code == result_code::ok;
    const std::string& reason = ended.last.finish_reason();
    if (!request_.stream || !streaming_)
    {
        auto answer = ok ? caller_http::whole_answer(
                               identity_, whole_, reason, usage_of(ended))
                         : caller_http::error_answer(
                               id_, error{ended.code}, ended.retry_after);
        (void)co_await exchange_.send(std::move(answer));
        co_return;
    }
    std::string events;
    if (ok)
    {
        caller_http::append_finish(events, identity_, reason, usage_of(ended));
    }
    else
    {
        caller_http::append_error(events, identity_, error{ended.code});
    }
    (void)co_await exchange_.write(events);
    (void)co_await exchange_.end_stream();
}

} // namespace wagtailseam::entry
