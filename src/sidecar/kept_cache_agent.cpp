// I/O of imports and exports.
#include "sidecar/kept_cache_agent.hpp"

#include "peer/signed_http.hpp"
#include "runtime/program.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace wagtailseam::sidecar
{
namespace
{

using namespace kept_cache;
using nlohmann::json;

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
constexpr unsigned status_ok = 200;
constexpr std::chrono::seconds block_timeout{2};
/// An import that takes longer is given up; the engine computes instead.
constexpr std::chrono::milliseconds import_limit{1000};
/// Bound of dispatches whose pieces are exported at a time; further ones are
/// exported at their next return.
constexpr std::size_t max_exports = 4;
/// Assumed until exports report what the engine measured.
constexpr std::uint64_t piece_cost_us = 50'000;

prefix_chain chain_of(const messages::dispatch& asked)
{
    prefix_chain chain;
    for (const std::string& id : asked.prefix())
    {
        chain.push_back(digest::from_bytes(id));
    }
    return chain;
}

scope_tag scope_of(const messages::dispatch& asked)
{
    return scope_tag_of(digest::from_bytes(asked.cache_salt()));
}

std::string field(const char* name, std::uint64_t value)
{
    return std::string("&") + name + "=" + std::to_string(value);
}

std::uint64_t whole(const json& object, const char* name)
{
    const bool present =
        object.contains(name) && object[name].is_number_unsigned();
    return present ? object[name].get<std::uint64_t>() : 0;
}

/// Returns the code of a store's refusal; a lost store when there is none.
result_code code_of(const result<http::response>& answer)
{
    if (!answer)
    {
        return result_code::store_lost;
    }
    const json body = json::parse(answer.value().body, nullptr, false);
    return body.is_object()
               ? result_code_from_number(
                     static_cast<std::uint32_t>(whole(body, "code")))
               : result_code::store_lost;
}

bool ok(const result<http::response>& answer)
{
    return answer && answer.value().status == status_ok;
}

std::string ids_of(const prefix_chain& chain)
{
    std::string text;
    for (const block_id& id : chain)
    {
        text += id.hex();
    }
    return text;
}

/// Reads how many leading pieces are held; none when there is no answer.
std::ptrdiff_t pieces_held(
    const result<http::response>& answer, std::size_t asked)
{
    const json body =
        ok(answer) ? json::parse(answer.value().body, nullptr, false) : json();
    const std::uint64_t held = body.is_object() ? whole(body, "pieces") : 0;
    return static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(held, asked));
}

} // namespace

kept_cache_agent::kept_cache_agent(
    asio::io_context& context, http::client& client,
    const identity::process_keys& keys, telemetry::metrics& metrics,
    http::address engine)
    : context_(context), client_(client), keys_(keys), metrics_(metrics),
      engine_(std::move(engine)), nonces_(runtime::random_incarnation())
{
}

void kept_cache_agent::version_changed(weight_version version)
{
    feed(engine_version{version});
}

void kept_cache_agent::feed(const import_event& what)
{
    const auto commands = importer_.handle(what, monotonic_clock::now());
    for (const import_command& command : commands)
    {
        std::visit([this](const auto& known) { obey(known); }, command);
    }
}

asio::awaitable<void> kept_cache_agent::bring(const messages::dispatch& asked)
{
    prefix_chain chain = chain_of(asked);
    if (chain.empty() || asked.import_store().empty())
    {
        co_return;
    }
    const auto held = co_await ask_engine("/v1/kv/held", ids_of(chain));
    chain.erase(chain.begin(), chain.begin() + pieces_held(held, chain.size()));
    if (chain.empty())
    {
        co_return;
    }
    const call_id call{++last_call_};
    const auto wait = std::make_shared<waiter>(context_);
    wait->timer.expires_after(import_limit);
    waiters_[call] = wait;
    feed(import_prefix{
        .call = call,
        .version = weight_version{asked.weight_version()},
        .scope = scope_of(asked),
        .store = upstream_id{asked.import_store()},
        .ids = std::move(chain),
        .give_up_at = monotonic_clock::now() + import_limit});
    if (!wait->ended)
    {
        co_await wait->timer.async_wait(completion);
        feed(abandon_import{call});
    }
    waiters_.erase(call);
}

void kept_cache_agent::obey(const open_piece& command)
{
    asio::co_spawn(context_, open(command), asio::detached);
}

void kept_cache_agent::obey(const read_piece& command)
{
    asio::co_spawn(context_, read(command), asio::detached);
}

void kept_cache_agent::obey(const hand_to_engine& command)
{
    asio::co_spawn(context_, hand_over(command), asio::detached);
}

void kept_cache_agent::obey(const drop_piece& command)
{
    staged_.erase(command.flight);
    if (command.pin != pin_id{})
    {
        std::string target =
            "/v1/blocks/release?pin=" + std::to_string(command.pin.value());
        asio::co_spawn(
            context_,
            tell_store(http::address{command.store.value()}, std::move(target)),
            asio::detached);
    }
}

void kept_cache_agent::obey(const free_at_store& command)
{
    telemetry::event("block_rejected").with("store", command.store).warning();
    asio::co_spawn(
        context_,
        tell_store(
            http::address{command.store.value()},
            "/v1/blocks/free?id=" + command.id.hex()),
        asio::detached);
}

void kept_cache_agent::obey(const import_ended& command)
{
    metrics_.count("wagtail_imported_pieces_total", {}, {}, command.pieces);
    metrics_.count("wagtail_imports_total", "reason", name(command.code));
    if (const auto found = waiters_.find(command.call); found != waiters_.end())
    {
        found->second->ended = true;
        found->second->timer.cancel();
    }
}

asio::awaitable<void> kept_cache_agent::open(open_piece command)
{
    const auto answer = co_await ask_store(
        http::address{command.store.value()},
        "/v1/blocks/open?id=" + command.id.hex() +
            field("scope", command.scope.value()),
        "");
    const json body =
        ok(answer) ? json::parse(answer.value().body, nullptr, false) : json();
    if (!body.is_object() || !body.contains("content"))
    {
        feed(piece_failed{command.flight, command.id, code_of(answer)});
        co_return;
    }
    feed(piece_opened{
        command.flight,
        block_opened{
            .ref =
                {incarnation{whole(body, "store")}, command.id,
                 block_generation{whole(body, "generation")}},
            .pin = pin_id{whole(body, "pin")},
            .length = byte_count{whole(body, "length")},
            .content = digest::from_hex(body.value("content", ""))}});
}

asio::awaitable<void> kept_cache_agent::read(read_piece command)
{
    const auto answer = co_await ask_store(
        http::address{command.store.value()},
        "/v1/blocks/read?id=" + command.ref.id.hex() +
            field("store", command.ref.store.value()) +
            field("generation", command.ref.generation.value()) +
            field("pin", command.pin.value()) + field("offset", 0) +
            field("length", command.length.value()),
        "");
    if (!ok(answer))
    {
        feed(piece_failed{command.flight, command.ref.id, code_of(answer)});
        co_return;
    }
    const std::string& bytes = answer.value().body;
    staged_[command.flight] = bytes;
    feed(piece_staged{
        command.flight, command.ref.id, byte_count{bytes.size()},
        sha256(bytes)});
}

asio::awaitable<void> kept_cache_agent::hand_over(hand_to_engine command)
{
    const auto staged = staged_.find(command.flight);
    bool accepted = false;
    if (staged != staged_.end())
    {
        const auto answer = co_await ask_engine(
            "/v1/kv/import?id=" + command.id.hex() +
                field("version", command.version.value()),
            staged->second);
        accepted = ok(answer);
    }
    feed(engine_took{command.flight, command.id, accepted});
}

asio::awaitable<void> kept_cache_agent::tell_store(
    http::address store, std::string target)
{
    (void)co_await ask_store(std::move(store), std::move(target), "");
}

void kept_cache_agent::export_later(const messages::dispatch& asked)
{
    if (asked.prefix_size() == 0 || asked.import_store().empty())
    {
        return;
    }
    if (exports_ >= max_exports)
    {
        metrics_.count("wagtail_exports_total", "reason", "queue_full");
        return;
    }
    ++exports_;
    asio::co_spawn(context_, export_pieces(asked), asio::detached);
}

asio::awaitable<void> kept_cache_agent::export_pieces(messages::dispatch asked)
{
    const http::address store{asked.import_store()};
    const scope_tag scope = scope_of(asked);
    const prefix_chain chain = chain_of(asked);
    const auto kept = co_await ask_store(
        store, "/v1/blocks/held?" + field("scope", scope.value()),
        ids_of(chain));
    result_code code = result_code::ok;
    const auto first = chain.begin() + pieces_held(kept, chain.size());
    block_id parent = first == chain.begin() ? block_id{} : *(first - 1);
    for (auto i = first; i != chain.end(); ++i)
    {
        const block_id id = *i;
        const auto bytes = co_await ask_engine(
            "/v1/kv/export?id=" + id.hex() +
                field("version", asked.weight_version()),
            "");
        if (!ok(bytes))
        {
            // The engine evicted it; later pieces are of no use without it.
            code = result_code::block_freed;
            break;
        }
        const auto answer = co_await ask_store(
            store,
            "/v1/blocks/write?id=" + id.hex() + "&parent=" + parent.hex() +
                "&content=" + sha256(bytes.value().body).hex() +
                field("scope", scope.value()) + field("cost_us", piece_cost_us),
            bytes.value().body);
        if (!ok(answer))
        {
            code = code_of(answer);
            break;
        }
        parent = id;
    }
    metrics_.count("wagtail_exports_total", "reason", name(code));
    --exports_;
}

asio::awaitable<result<http::response>> kept_cache_agent::ask_store(
    http::address store, std::string target, std::string body)
{
    http::request request = peer::signed_post(
        keys_, nonces_.bits(), std::move(target), std::move(body));
    co_return co_await client_.fetch(
        std::move(store), std::move(request), block_timeout);
}

asio::awaitable<result<http::response>> kept_cache_agent::ask_engine(
    std::string target, std::string body)
{
    http::request request;
    request.method = "POST";
    request.target = std::move(target);
    request.body = std::move(body);
    co_return co_await client_.fetch(
        engine_, std::move(request), block_timeout);
}

} // namespace wagtailseam::sidecar
