// Events of the quarantine core. Writes merge: a lost answer is followed by the
// same write, whose conflict shows the row as it stands.
#include "quarantine/quarantine_core.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>

namespace wagtailseam::quarantine
{
namespace
{

table_service::row_key key_of(const fingerprint& prompt)
{
    return {std::string(table_name), prompt.value().hex()};
}

/// Chance of an entry deleting an expired row that it sees in a scan.
constexpr double delete_chance = 0.02;

} // namespace

quarantine_core::quarantine_core(const quarantine_options& options)
    : options_(options), board_(options.max_records)
{
    BOOST_ASSERT(options.scan_least <= options.scan_most);
    BOOST_ASSERT(options.max_batch >= 1);
}

std::vector<command> quarantine_core::handle(
    const event& happened, random_source& random, quarantine_time now)
{
    BOOST_ASSERT(out_.empty());
    std::visit([&](const auto& it) { on(it, random, now); }, happened);
    flush(now.mono);
    return std::exchange(out_, {});
}

bool quarantine_core::unwritten(const fingerprint& of) const
{
    const auto is_this = [&](const auto& one) { return one.first == of; };
    return dirty_.contains(of) ||
           (pending_ &&
            std::any_of(
                pending_->records.begin(), pending_->records.end(), is_this));
}

void quarantine_core::on(
    const crash_seen& crash, random_source& /*random*/, quarantine_time now)
{
    tell told;
    for (const fingerprint& prompt : crash.present)
    {
        strike_record strike{
            .strikes = {crash.crash},
            .expires = now.wall + options_.suspect_life};
        board_.merge(prompt, strike);
        const strike_record& known = *board_.find(prompt);
        if (known.live_strikes() >= strikes_to_quarantine)
        {
            strike.expires = now.wall + options_.quarantine_life;
            board_.merge(prompt, strike);
        }
        dirty_.insert(prompt);
        told.records.emplace_back(prompt, *board_.find(prompt));
    }
    if (!told.records.empty())
    {
        out_.emplace_back(std::move(told));
    }
}

void quarantine_core::on(
    const run_finished& run, random_source& /*random*/, quarantine_time /*now*/)
{
    const strike_record* const known = board_.find(run.prompt);
    if (known == nullptr || known->live_strikes() == 0)
    {
        return;
    }
    strike_record cleared = *known;
    cleared.clear();
    board_.merge(run.prompt, cleared);
    dirty_.insert(run.prompt);
    out_.emplace_back(tell{{{run.prompt, cleared}}});
}

void quarantine_core::on(
    const heard& from, random_source& /*random*/, quarantine_time now)
{
    for (const auto& [prompt, record] : from.records)
    {
        if (record.expires > now.wall)
        {
            board_.merge(prompt, record);
        }
    }
}

void quarantine_core::on(
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
            dirty_.insert(prompt);
        }
    };
    const auto later = [&]
    {
        next_write_ =
            now.mono + jitter(options_.retry_wait, options_.retry_wait, random);
    };
    std::visit(
        overloaded{
            [&](const table_service::committed& done) { on_committed(done); },
            [&](const table_service::conflicted& conflict)
            {
                on_conflict(conflict);
                again();
            },
            [&](const table_service::rejected&)
            {
                again();
                later();
            },
            [&](const table_service::outcome_unknown&)
            {
                again();
                later();
            }},
        got.answer);
    pending_.reset();
}

void quarantine_core::on_committed(const table_service::committed& done)
{
    BOOST_ASSERT(done.versions.size() == pending_->records.size());
    for (std::size_t i = 0; i < done.versions.size(); ++i)
    {
        versions_[pending_->records[i].first] = done.versions[i];
    }
}

void quarantine_core::on_conflict(const table_service::conflicted& conflict)
{
    BOOST_ASSERT(conflict.index < pending_->records.size());
    const fingerprint& prompt = pending_->records[conflict.index].first;
    if (!conflict.current)
    {
        versions_.erase(prompt);
        return;
    }
    versions_[prompt] = conflict.current->version;
    const auto record = decode(conflict.current->value);
    if (record.has_value())
    {
        board_.merge(prompt, record.value());
    }
}

void quarantine_core::learn(const table_service::row& row, wall_time now)
{
    const auto record = decode(row.value);
    const digest key = digest::from_hex(row.key.key);
    if (!record.has_value() || key == digest{} || record.value().expires <= now)
    {
        return;
    }
    const fingerprint prompt(key);
    versions_[prompt] = row.version;
    board_.merge(prompt, record.value());
}

void quarantine_core::on(
    const scan_answered& got, random_source& random, quarantine_time now)
{
    scanning_ = false;
    const auto* const rows =
        std::get_if<std::vector<table_service::row>>(&got.answer);
    if (rows == nullptr)
    {
        next_scan_ =
            now.mono + jitter(options_.retry_wait, options_.retry_wait, random);
        return;
    }
    table_service::transaction deletes;
    for (const table_service::row& row : *rows)
    {
        learn(row, now.wall);
        const auto record = decode(row.value);
        const bool expired =
            record.has_value() && record.value().expires <= now.wall;
        if (expired && deletes.writes.size() < options_.max_batch &&
            random.unit() < delete_chance)
        {
            deletes.writes.push_back({row.key, row.version, std::nullopt});
        }
    }
    if (!deletes.writes.empty())
    {
        // Not pending: whether it takes effect does not matter here.
        out_.emplace_back(write{++last_write_, std::move(deletes)});
    }
}

void quarantine_core::on(
    const tick& /*time*/, random_source& random, quarantine_time now)
{
    board_.forget_expired(now.wall);
    const auto gone = [&](const fingerprint& prompt)
    { return board_.find(prompt) == nullptr; };
    std::erase_if(dirty_, gone);
    std::erase_if(versions_, [&](const auto& one) { return gone(one.first); });
    if (!scanning_ && now.mono >= next_scan_)
    {
        scanning_ = true;
        const duration spread = options_.scan_most - options_.scan_least;
        next_scan_ = now.mono + jitter(options_.scan_least, spread, random);
        out_.emplace_back(scan{});
    }
}

void quarantine_core::flush(mono_time now)
{
    if (pending_ || dirty_.empty() || now < next_write_)
    {
        return;
    }
    pending_ = pending_write{.number = ++last_write_, .records = {}};
    write asked{.number = last_write_, .rows = {}};
    while (!dirty_.empty() && asked.rows.writes.size() < options_.max_batch)
    {
        const fingerprint prompt = *dirty_.begin();
        dirty_.erase(dirty_.begin());
        const strike_record* const record = board_.find(prompt);
        if (record == nullptr)
        {
            continue;
        }
        const auto version = versions_.find(prompt);
        asked.rows.writes.push_back(
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
    out_.emplace_back(std::move(asked));
}

duration quarantine_core::jitter(
    duration least, duration spread, random_source& random) const
{
    const double more = random.unit() * static_cast<double>(spread.count());
    return least + duration(std::llround(more));
}

} // namespace wagtailseam::quarantine
