// Event handlers of the quarantine state machine. Writes are idempotent because
// records merge: after a lost answer the same write is sent again, and its
// conflict returns the current row.
#include "quarantine/quarantine_state_machine.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>

namespace wagtailseam::quarantine
{
namespace
{

table_service::row_key key_of(const content_fingerprint& prompt)
{
    return {std::string(table_name), prompt.value().hex()};
}

/// Probability that an entry deletes an expired row found in a scan.
constexpr double delete_probability = 0.02;

} // namespace

quarantine_state_machine::quarantine_state_machine(
    const quarantine_options& options)
    : options_(options), records_(options.max_records)
{
    BOOST_ASSERT(options.min_scan_interval <= options.max_scan_interval);
    BOOST_ASSERT(options.max_transaction_rows >= 1);
}

std::vector<command> quarantine_state_machine::handle(
    const event& received, random_source& random, quarantine_time now)
{
    BOOST_ASSERT(commands_.empty());
    std::visit([&](const auto& known) { on(known, random, now); }, received);
    write_changed_records(now.mono);
    return std::exchange(commands_, {});
}

bool quarantine_state_machine::has_unwritten_record(
    const content_fingerprint& prompt) const
{
    const auto matches = [&](const auto& entry)
    { return entry.first == prompt; };
    return changed_.contains(prompt) ||
           (pending_ &&
            std::any_of(
                pending_->records.begin(), pending_->records.end(), matches));
}

void quarantine_state_machine::on(
    const crash_observed& crash, random_source& /*random*/, quarantine_time now)
{
    publish_records published;
    for (const content_fingerprint& prompt : crash.running_prompts)
    {
        crash_record update{
            .crashes = {crash.crash},
            .expires = now.wall + options_.suspect_lifetime};
        records_.merge(prompt, update);
        const crash_record& known = *records_.find(prompt);
        if (known.uncleared_crash_count() >= crashes_to_quarantine)
        {
            update.expires = now.wall + options_.quarantine_lifetime;
            records_.merge(prompt, update);
        }
        changed_.insert(prompt);
        published.records.emplace_back(prompt, *records_.find(prompt));
    }
    if (!published.records.empty())
    {
        commands_.emplace_back(std::move(published));
    }
}

void quarantine_state_machine::on(
    const run_finished& run, random_source& /*random*/, quarantine_time /*now*/)
{
    const crash_record* const known = records_.find(run.prompt);
    if (known == nullptr || known->uncleared_crash_count() == 0)
    {
        return;
    }
    crash_record cleared = *known;
    cleared.clear_crashes();
    records_.merge(run.prompt, cleared);
    changed_.insert(run.prompt);
    commands_.emplace_back(publish_records{{{run.prompt, cleared}}});
}

void quarantine_state_machine::on(
    const records_received& received, random_source& /*random*/,
    quarantine_time now)
{
    for (const auto& [prompt, record] : received.records)
    {
        if (record.expires > now.wall)
        {
            records_.merge(prompt, record);
        }
    }
}

void quarantine_state_machine::on(
    const write_answered& response, random_source& random, quarantine_time now)
{
    if (!pending_ || pending_->number != response.write)
    {
        return;
    }
    const auto mark_changed = [&]
    {
        for (const auto& [prompt, record] : pending_->records)
        {
            changed_.insert(prompt);
        }
    };
    const auto delay_next_write = [&]
    {
        next_write_ =
            now.mono +
            jitter(options_.min_retry_delay, options_.min_retry_delay, random);
    };
    std::visit(
        overloaded{
            [&](const table_service::committed& commit)
            { on_committed(commit); },
            [&](const table_service::conflicted& conflict)
            {
                on_conflict(conflict);
                mark_changed();
            },
            [&](const table_service::rejected&)
            {
                mark_changed();
                delay_next_write();
            },
            [&](const table_service::outcome_unknown&)
            {
                mark_changed();
                delay_next_write();
            }},
        response.answer);
    pending_.reset();
}

void quarantine_state_machine::on_committed(
    const table_service::committed& commit)
{
    BOOST_ASSERT(commit.versions.size() == pending_->records.size());
    for (std::size_t i = 0; i < commit.versions.size(); ++i)
    {
        versions_[pending_->records[i].first] = commit.versions[i];
    }
}

void quarantine_state_machine::on_conflict(
    const table_service::conflicted& conflict)
{
    BOOST_ASSERT(conflict.index < pending_->records.size());
    const content_fingerprint& prompt = pending_->records[conflict.index].first;
    if (!conflict.current)
    {
        versions_.erase(prompt);
        return;
    }
    versions_[prompt] = conflict.current->version;
    const auto record = decode(conflict.current->value);
    if (record.has_value())
    {
        records_.merge(prompt, record.value());
    }
}

void quarantine_state_machine::apply_row(
    const table_service::row& row, wall_time now)
{
    const auto record = decode(row.value);
    const digest key = digest::from_hex(row.key.key);
    if (!record.has_value() || key == digest{} || record.value().expires <= now)
    {
        return;
    }
    const content_fingerprint prompt(key);
    versions_[prompt] = row.version;
    records_.merge(prompt, record.value());
}

void quarantine_state_machine::on(
    const scan_answered& response, random_source& random, quarantine_time now)
{
    scanning_ = false;
    const auto* const rows =
        std::get_if<std::vector<table_service::row>>(&response.answer);
    if (rows == nullptr)
    {
        next_scan_ =
            now.mono +
            jitter(options_.min_retry_delay, options_.min_retry_delay, random);
        return;
    }
    table_service::transaction deletes;
    for (const table_service::row& row : *rows)
    {
        apply_row(row, now.wall);
        const auto record = decode(row.value);
        const bool expired =
            record.has_value() && record.value().expires <= now.wall;
        if (expired && deletes.writes.size() < options_.max_transaction_rows &&
            random.unit() < delete_probability)
        {
            deletes.writes.push_back({row.key, row.version, std::nullopt});
        }
    }
    if (!deletes.writes.empty())
    {
        // Not tracked in pending_: correctness does not depend on the deletion.
        commands_.emplace_back(write{++last_write_, std::move(deletes)});
    }
}

void quarantine_state_machine::on(
    const tick& /*time*/, random_source& random, quarantine_time now)
{
    records_.remove_expired(now.wall);
    const auto is_removed = [&](const content_fingerprint& prompt)
    { return records_.find(prompt) == nullptr; };
    std::erase_if(changed_, is_removed);
    std::erase_if(
        versions_, [&](const auto& entry) { return is_removed(entry.first); });
    if (!scanning_ && now.mono >= next_scan_)
    {
        scanning_ = true;
        const duration spread =
            options_.max_scan_interval - options_.min_scan_interval;
        next_scan_ =
            now.mono + jitter(options_.min_scan_interval, spread, random);
        commands_.emplace_back(scan{});
    }
}

void quarantine_state_machine::write_changed_records(mono_time now)
{
    if (pending_ || changed_.empty() || now < next_write_)
    {
        return;
    }
    pending_ = pending_write{.number = ++last_write_, .records = {}};
    write request{.number = last_write_, .rows = {}};
    while (!changed_.empty() &&
           request.rows.writes.size() < options_.max_transaction_rows)
    {
        const content_fingerprint prompt = *changed_.begin();
        changed_.erase(changed_.begin());
        const crash_record* const record = records_.find(prompt);
        if (record == nullptr)
        {
            continue;
        }
        const auto version = versions_.find(prompt);
        request.rows.writes.push_back(
            {key_of(prompt),
             version == versions_.end() ? table_service::absent_row_version
                                        : version->second,
             encode(*record)});
        pending_->records.emplace_back(prompt, *record);
    }
    if (pending_->records.empty())
    {
        pending_.reset();
        return;
    }
    commands_.emplace_back(std::move(request));
}

duration quarantine_state_machine::jitter(
    duration min, duration spread, random_source& random) const
{
    const double extra = random.unit() * static_cast<double>(spread.count());
    return min + duration(std::llround(extra));
}

} // namespace wagtailseam::quarantine
