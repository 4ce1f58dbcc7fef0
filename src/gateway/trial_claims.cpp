// Conditional writes and the removal of claims.
#include "gateway/trial_claims.hpp"

#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace wagtailseam::gateway
{

namespace
{

/// Limits the writes of a start. A later start removes the other claims.
constexpr std::size_t max_removals = 100;

} // namespace

using quarantine::claim_outcome;
using quarantine::content_fingerprint;
using quarantine::trial_claim;

trial_claims::trial_claims(
    asio::io_context& context, shared_state& state,
    platform::row_store_client& row_store)
    : context_(context), state_(state), row_store_(row_store)
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
    const auto written = co_await write_claim(content.value().hex());
    const bool claimed = written.outcome == claim_outcome::claimed;
    if (claimed)
    {
        held_.insert_or_assign(content, written.version);
    }
    telemetry::event("trial_claim")
        .with("content", short_name(content))
        .with("outcome", claimed ? "claimed" : written.detail);
    co_return written.outcome;
}

void trial_claims::release(const content_fingerprint& content)
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
    std::string key)
{
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
            co_return claim;
        }
        const auto& conflict =
            std::get<platform::write_conflict>(written.value());
        const auto holder = find_holder(conflict);
        claim.outcome = claim_outcome::held;
        claim.detail =
            "held by " + (holder ? holder->gateway.value() : "unknown");
        if (!conflict.current || (holder && is_held(*holder, now)))
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
