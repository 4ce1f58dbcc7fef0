// Conditional writes, announcements, and the removal of claims.
#include "gateway/trial_claims.hpp"

#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wagtailseam::gateway
{

namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// Time without claims in a store that did not answer one. A call to a silent
/// store takes a second, for which the caller of the trial waits.
constexpr std::chrono::seconds store_retry_delay{1};
/// Limits the writes of a start. A later start removes the other claims.
constexpr std::size_t max_removals = 100;

} // namespace

using quarantine::claim_outcome;
using quarantine::content_fingerprint;
using quarantine::trial_claim;

trial_claims::trial_claims(
    asio::io_context& context, shared_state& state,
    platform::row_store_client& row_store, const peer_directory& peers)
    : context_(context), state_(state), row_store_(row_store), peers_(peers),
      peer_trials_(state.settings.vm)
{
}

void trial_claims::start()
{
    state_.claim_trial = [this](const content_fingerprint& content)
    { return claim(content); };
    state_.release_trial = [this](const content_fingerprint& content)
    { release(content); };
    asio::co_spawn(context_, remove_expired(), asio::detached);
}

asio::awaitable<claim_outcome> trial_claims::claim(content_fingerprint content)
{
    written_claim written{.detail = "the store did not answer lately"};
    if (store_absent_until_ <= monotonic_clock::now())
    {
        written = co_await write_claim(content);
        if (written.outcome == claim_outcome::unavailable)
        {
            store_absent_until_ = monotonic_clock::now() + store_retry_delay;
        }
    }
    auto outcome = written.outcome;
    if (outcome == claim_outcome::unavailable)
    {
        outcome = co_await claim_among_peers(content);
    }
    else if (outcome == claim_outcome::claimed)
    {
        held_.insert_or_assign(content, written.version);
        // Gateways that cannot reach the store do not see the claim.
        const bool is_announced =
            peer_trials_.is_announced_by_others(content, wall_clock::now());
        if (is_announced)
        {
            const auto among_peers = co_await claim_among_peers(content);
            if (among_peers == claim_outcome::held)
            {
                outcome = claim_outcome::held;
                remove_held_claim(content);
            }
        }
    }
    if (outcome == claim_outcome::claimed)
    {
        peer_trials_.claim(content, wall_clock::now());
    }
    telemetry::event("trial_claim")
        .with("content", short_name(content))
        .with("outcome", quarantine::name(outcome))
        .with("store", written.detail);
    co_return outcome;
}

asio::awaitable<claim_outcome> trial_claims::claim_among_peers(
    content_fingerprint content)
{
    const auto* const record = state_.crashes.quarantine().find(content);
    const bool is_part = record != nullptr &&
                         record->kind == quarantine::suspect_kind::prompt_part;
    if (!is_part || !peers_.knows_peers())
    {
        co_return claim_outcome::unavailable;
    }
    if (peer_trials_.has_claimed(content, wall_clock::now()))
    {
        // The outcome of the last trial is not known yet.
        co_return claim_outcome::held;
    }
    const auto datagram = quarantine::encode_datagram(
        peer_trials_.intend(content, wall_clock::now()));
    asio::steady_timer timer(context_);
    for (int sent = 0; sent < quarantine::announcements_per_intention; ++sent)
    {
        peers_.send_to_all(datagram);
        timer.expires_after(quarantine::announcement_interval);
        co_await timer.async_wait(completion);
    }
    co_return peer_trials_.claim_intended(content, wall_clock::now())
        ? claim_outcome::claimed
        : claim_outcome::held;
}

void trial_claims::handle_datagram(std::string_view datagram)
{
    const auto received = quarantine::decode_trial_announcement(datagram);
    if (!received || received.value().gateway == state_.settings.vm)
    {
        state_.metrics.count("wagtail_trial_announcements_dropped_total");
        return;
    }
    const auto now = wall_clock::now();
    const auto& content = received.value().content;
    switch (peer_trials_.receive(received.value(), now))
    {
    case quarantine::announcement_response::defer:
        if (state_.crashes.quarantine().find(content) == nullptr)
        {
            // Its record has not arrived yet. A claim will find the trial.
            break;
        }
        state_.crashes.quarantine().defer_trial(content, now);
        telemetry::event("trial_deferred")
            .with("content", short_name(content))
            .with("gateway", received.value().gateway);
        break;
    case quarantine::announcement_response::repeat_own:
        peers_.send_to_all(
            quarantine::encode_datagram(peer_trials_.announcement(content)));
        break;
    }
}

void trial_claims::release(const content_fingerprint& content)
{
    peer_trials_.release(content);
    remove_held_claim(content);
}

void trial_claims::remove_held_claim(const content_fingerprint& content)
{
    const auto held = held_.find(content);
    if (held == held_.end())
    {
        return;
    }
    asio::co_spawn(
        context_, remove_claim(content.value().hex(), held->second),
        asio::detached);
    held_.erase(held);
}

asio::awaitable<bool> trial_claims::remove_claim(
    std::string key, platform::store_version expected)
{
    const platform::row_change removal{.key = key, .value = std::nullopt};
    const auto removed =
        co_await row_store_.write_if(trial_table, removal, expected);
    if (!removed)
    {
        telemetry::event("trial_claim_not_removed")
            .with("row", key)
            .with("detail", removed.error().detail);
    }
    co_return removed.has_value();
}

asio::awaitable<trial_claims::written_claim> trial_claims::write_claim(
    content_fingerprint content)
{
    const auto key = content.value().hex();
    const auto now = wall_clock::now();
    const trial_claim wanted{
        .gateway = state_.settings.vm,
        .expires = now + quarantine::trial_claim_time};
    // Most contents have no row yet.
    platform::store_version expected{0};
    written_claim claim;
    // The second write replaces a claim that has expired.
    for (int write = 0; write < 2; ++write)
    {
        const platform::row_change change{.key = key, .value = encode(wanted)};
        const auto written =
            co_await row_store_.write_if(trial_table, change, expected);
        if (!written)
        {
            claim.outcome = claim_outcome::unavailable;
            claim.detail = written.error().detail;
            co_return claim;
        }
        if (const auto* const position =
                std::get_if<platform::store_position>(&written.value()))
        {
            claim.outcome = claim_outcome::claimed;
            claim.version = position->version;
            claim.detail = "written";
            co_return claim;
        }
        const auto& conflict =
            std::get<platform::write_conflict>(written.value());
        const auto holder = find_holder(conflict);
        claim.outcome = claim_outcome::held;
        claim.detail =
            "held by " + (holder ? holder->gateway.value() : "unknown");
        // A call that was not answered may have written a claim of this
        // gateway.
        const bool is_own = holder && holder->gateway == state_.settings.vm &&
                            !peer_trials_.has_claimed(content, now);
        if (!conflict.current || (holder && is_held(*holder, now) && !is_own))
        {
            co_return claim;
        }
        expected = conflict.current->version;
    }
    co_return claim;
}

std::optional<trial_claim> trial_claims::find_holder(
    const platform::write_conflict& conflict)
{
    if (!conflict.current)
    {
        return std::nullopt;
    }
    const auto decoded =
        quarantine::decode_trial_claim(conflict.current->value.value_or(""));
    if (!decoded)
    {
        telemetry::event("trial_claim_ignored")
            .with("row", conflict.current->key)
            .with("detail", decoded.error().detail)
            .warning();
        return std::nullopt;
    }
    return decoded.value();
}

asio::awaitable<void> trial_claims::remove_expired()
{
    const auto rows = co_await row_store_.read_table(trial_table);
    if (!rows)
    {
        // The rows are small, and a later start removes them.
        telemetry::event("trial_claims_read_failed")
            .with("detail", rows.error().detail);
        co_return;
    }
    std::size_t removals = 0;
    for (const auto& row : rows.value().rows)
    {
        const auto claim =
            quarantine::decode_trial_claim(row.value.value_or(""));
        const bool held = claim && is_held(claim.value(), wall_clock::now());
        if (held || removals >= max_removals)
        {
            continue;
        }
        ++removals;
        // Another gateway may have claimed the trial since.
        const bool removed = co_await remove_claim(row.key, row.version);
        if (!removed)
        {
            co_return;
        }
    }
    telemetry::event("trial_claims_read")
        .with("rows", rows.value().rows.size())
        .with("expired", removals);
}

} // namespace wagtailseam::gateway
