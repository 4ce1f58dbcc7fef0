// Events of the quarantine core. Writes merge: a lost answer is followed by the
// same write, whose conflict shows the row as it stands.
#include "quarantine/quarantine_state_machine.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>

namespace wagtailseam::quarantine
{
namespace
{

table_service::row_key key_of(const prompt_fingerprint& prompt)
{
    return {std::string(table_name), prompt.value().hex()};
}

/// Chance of an entry deleting an expired row that it sees in a scan.
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
    const event& event_received, random_source& random, quarantine_time now)
{
    BOOST_ASSERT(out_.empty());
    std::visit([&](const auto& it) { on(it, random, now); }, event_received);
    write_changed_records(now.mono);
    return std::exchange(out_, {});
}

bool quarantine_state_machine::has_unwritten_record(
    const prompt_fingerprint& of) const
{
    const auto is_this = [&](const auto& one) { return one.first == of; };
    return changed_.contains(of) ||
           (pending_ &&
            std::any_of(
                pending_->records.begin(), pending_->records.end(), is_this));
}

void quarantine_state_machine::on(
    const crash_observed& crash, random_source& /*random*/, quarantine_time now)
{
    publish_records told;
    for (const prompt_fingerprint& prompt : crash.running_prompts)
    {
        crash_record strike{
            .crashes = {crash.crash},
            .expires = now.wall + options_.suspect_lifetime};
        records_.merge(prompt, strike);
        const crash_record& known = *records_.find(prompt);
        if (known.uncleared_crash_count() >= crashes_to_quarantine)
        {
            strike.expires = now.wall + options_.quarantine_lifetime;
            records_.merge(prompt, strike);
        }
        changed_.insert(prompt);
        told.records.emplace_back(prompt, *records_.find(prompt));
    }
    if (!told.records.empty())
    {
        out_.emplace_back(std::move(told));
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
    out_.emplace_back(publish_records{{{run.prompt, cleared}}});
}

void quarantine_state_machine::on(
    const records_received& from, random_source& /*random*/,
    quarantine_time now)
{
    for (const auto& [prompt, record] : from.records)
    {
        if (record.expires > now.wall)
        {
            records_.merge(prompt, record);
        }
    }
}

void quarantine_state_machine::on(
    const write_answered& got, random_source& random, quarantine_time now)
{
    if (!pending_ || pending_->number != got.write)
    {
        return;
    }
    const auto again = [&]
    {
        for (const auto& [prompt, record] : pending_->records)
        {
            changed_.insert(prompt);
        }
    };
    const auto later = [&]
    {
        next_write_ =
            now.mono +
            jitter(options_.min_retry_delay, options_.min_retry_delay, random);
    };
    std::visit(
        overloaded{
            [&](const table_service::committed& done) { on_committed(done); },
            [&](const table_service::conflicted& conflict)
            {
                on_conflict(conflict);
                again();
            },
            [&](const table_service::refused&)
            {
                again();
                later();
            },
            [&](const table_service::answer_lost&)
            {
                again();
                later();
            }},
        got.answer);
    pending_.reset();
}

void quarantine_state_machine::on_committed(
    const table_service::committed& done)
{
    BOOST_ASSERT(done.versions.size() == pending_->records.size());
    for (std::size_t i = 0; i < done.versions.size(); ++i)
    {
        versions_[pending_->records[i].first] = done.versions[i];
    }
}

void quarantine_state_machine::on_conflict(
    const table_service::conflicted& conflict)
{
    BOOST_ASSERT(conflict.index < pending_->records.size());
    const prompt_fingerprint& prompt = pending_->records[conflict.index].first;
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
    const digest key = digest::from_hex(row.at.key);
    if (!record.has_value() || key == digest{} || record.value().expires <= now)
    {
        return;
    }
    const prompt_fingerprint prompt(key);
    versions_[prompt] = row.version;
    records_.merge(prompt, record.value());
}

void quarantine_state_machine::on(
    const scan_answered& got, random_source& random, quarantine_time now)
{
    scanning_ = false;
    const auto* const rows =
        std::get_if<std::vector<table_service::row>>(&got.answer);
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
            deletes.writes.push_back({row.at, row.version, std::nullopt});
        }
    }
    if (!deletes.writes.empty())
    {
        // Not pending: whether it takes effect does not matter here.
        out_.emplace_back(write{++last_write_, std::move(deletes)});
    }
}

void quarantine_state_machine::on(
    const tick& /*time*/, random_source& random, quarantine_time now)
{
    records_.remove_expired(now.wall);
    const auto gone = [&](const prompt_fingerprint& prompt)
    { return records_.find(prompt) == nullptr; };
    std::erase_if(changed_, gone);
    std::erase_if(versions_, [&](const auto& one) { return gone(one.first); });
    if (!scanning_ && now.mono >= next_scan_)
    {
        scanning_ = true;
        const duration spread =
            options_.max_scan_interval - options_.min_scan_interval;
        next_scan_ =
            now.mono + jitter(options_.min_scan_interval, spread, random);
        out_.emplace_back(scan{});
    }
}

void quarantine_state_machine::write_changed_records(mono_time now)
{
    if (pending_ || changed_.empty() || now < next_write_)
    {
        return;
    }
    pending_ = pending_write{.number = ++last_write_, .records = {}};
    write asked{.number = last_write_, .rows = {}};
    while (!changed_.empty() &&
           asked.rows.writes.size() < options_.max_transaction_rows)
    {
        const prompt_fingerprint prompt = *changed_.begin();
        changed_.erase(changed_.begin());
        const crash_record* const record = records_.find(prompt);
        if (record == nullptr)
        {
            continue;
        }
        const auto version = versions_.find(prompt);
        asked.rows.writes.push_back(
            {key_of(prompt),
             version == versions_.end() ? table_service::absent_row
                                        : version->second,
             encode(*record)});
        pending_->records.emplace_back(prompt, *record);
    }
    if (pending_->records.empty())
    {
        pending_.reset();
        return;
    }
    out_.emplace_back(std::move(asked));
}

duration quarantine_state_machine::jitter(
    duration least, duration spread, random_source& random) const
{
    const double more = random.unit() * static_cast<double>(spread.count());
    return least + duration(std::llround(more));
}

} // namespace wagtailseam::quarantine
