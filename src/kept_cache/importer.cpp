// One flight a block; bytes are verified before the engine hears of them.
#include "kept_cache/importer.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace wagtailseam::kept_cache
{

std::vector<import_command> importer::handle(
    const import_event& what, mono_time now)
{
    now_ = now;
    out_.clear();
    std::visit([this](const auto& event) { on(event); }, what);
    for (auto i = imports_.begin(); i != imports_.end();)
    {
        const auto here = i++;
        if (here->second.asked.give_up_at <= now_)
        {
            end(here, result_code::import_abandoned);
        }
    }
    drop_unwanted();
    start_flights();
    return std::move(out_);
}

void importer::on(const import_prefix& asked)
{
    const bool refused = asked.version != version_;
    if (refused || imports_.size() >= options_.max_imports ||
        imports_.contains(asked.call))
    {
        const result_code code = refused ? result_code::weight_version_mismatch
                                         : result_code::upstream_busy;
        ++reasons_[code];
        out_.emplace_back(import_ended{asked.call, 0, code});
        return;
    }
    const auto [added, inserted] = imports_.emplace(asked.call, waiting{asked});
    if (asked.ids.empty())
    {
        end(added, result_code::ok);
    }
}

void importer::on(const abandon_import& gone)
{
    if (const auto found = imports_.find(gone.call); found != imports_.end())
    {
        end(found, result_code::import_abandoned);
    }
}

void importer::on(const piece_opened& done)
{
    const block_id& id = done.opened.ref.id;
    const auto found = find(done.flight, id, stage::opening);
    if (found == flights_.end())
    {
        return;
    }
    if (rejected_.contains(done.opened.ref))
    {
        fail_piece(id, result_code::block_digest_mismatch);
        return;
    }
    flight& under_way = found->second;
    under_way.opened = done.opened;
    under_way.at = stage::reading;
    out_.emplace_back(read_piece{
        done.flight, under_way.store, done.opened.ref, done.opened.pin,
        done.opened.length});
}

void importer::on(const piece_staged& done)
{
    const auto found = find(done.flight, done.id, stage::reading);
    if (found == flights_.end())
    {
        return;
    }
    flight& under_way = found->second;
    if (done.length != under_way.opened.length ||
        done.content != under_way.opened.content)
    {
        reject(under_way.opened.ref);
        out_.emplace_back(free_at_store{under_way.store, done.id});
        fail_piece(done.id, result_code::block_digest_mismatch);
        return;
    }
    // A swap ends all imports, and with them the flights not handed over.
    BOOST_ASSERT(under_way.version == version_);
    under_way.at = stage::handing_over;
    out_.emplace_back(hand_to_engine{done.flight, under_way.version, done.id});
}

void importer::on(const piece_failed& failed)
{
    const bool early =
        find(failed.flight, failed.id, stage::opening) != flights_.end() ||
        find(failed.flight, failed.id, stage::reading) != flights_.end();
    if (early)
    {
        fail_piece(failed.id, failed.code);
    }
}

void importer::on(const engine_took& done)
{
    const auto found = find(done.flight, done.id, stage::handing_over);
    if (found == flights_.end())
    {
        return;
    }
    if (!done.accepted)
    {
        fail_piece(done.id, result_code::upstream_refused);
        return;
    }
    drop(done.id, found->second);
    flights_.erase(found);
    advance(done.id);
}

void importer::on(const engine_version& swapped)
{
    if (swapped.version == version_)
    {
        return;
    }
    version_ = swapped.version;
    for (auto i = imports_.begin(); i != imports_.end();)
    {
        const auto here = i++;
        end(here, result_code::weight_version_mismatch);
    }
}

void importer::on(const import_tick& /*tick*/)
{
    // handle() gives up late imports at each event.
}

importer::flight_map::iterator importer::find(
    flight_id number, const block_id& id, stage at)
{
    const auto found = flights_.find(id);
    const bool same = found != flights_.end() &&
                      found->second.number == number && found->second.at == at;
    return same ? found : flights_.end();
}

void importer::drop(const block_id& id, const flight& under_way)
{
    out_.emplace_back(drop_piece{
        under_way.number, under_way.store, id, under_way.opened.pin});
}

void importer::start_flights()
{
    for (const auto& [call, import] : imports_)
    {
        for (std::size_t i = import.done; i < import.asked.ids.size(); ++i)
        {
            if (flights_.size() >= options_.max_flights)
            {
                return;
            }
            if (import.landed.contains(i))
            {
                continue;
            }
            const block_id& id = import.asked.ids[i];
            const auto [added, is_new] = flights_.try_emplace(id);
            if (!is_new)
            {
                continue;
            }
            added->second.number = flight_id{++last_flight_};
            added->second.store = import.asked.store;
            added->second.version = import.asked.version;
            out_.emplace_back(open_piece{
                added->second.number, import.asked.store, import.asked.scope,
                id});
        }
    }
}

std::optional<std::size_t> importer::awaited(
    const waiting& import, const block_id& id)
{
    const auto& ids = import.asked.ids;
    const auto at = std::find(
        ids.begin() + static_cast<std::ptrdiff_t>(import.done), ids.end(), id);
    const auto position = static_cast<std::size_t>(at - ids.begin());
    const bool waits = at != ids.end() && !import.landed.contains(position);
    return waits ? std::optional(position) : std::nullopt;
}

void importer::advance(const block_id& id)
{
    for (auto i = imports_.begin(); i != imports_.end();)
    {
        const auto here = i++;
        waiting& import = here->second;
        const auto position = awaited(import, id);
        if (!position)
        {
            continue;
        }
        import.landed.insert(*position);
        while (import.landed.erase(import.done) > 0)
        {
            ++import.done;
        }
        if (import.done == import.asked.ids.size())
        {
            end(here, result_code::ok);
        }
    }
}

void importer::fail_piece(const block_id& id, result_code code)
{
    const auto found = flights_.find(id);
    BOOST_ASSERT(found != flights_.end());
    drop(id, found->second);
    flights_.erase(found);
    for (auto i = imports_.begin(); i != imports_.end();)
    {
        const auto here = i++;
        waiting& import = here->second;
        const auto position = awaited(import, id);
        if (!position)
        {
            continue;
        }
        // The pieces before the lost one are still worth having.
        ++reasons_[code];
        import.cut = code;
        import.asked.ids.resize(*position);
        if (import.done == import.asked.ids.size())
        {
            end(here, code);
        }
    }
}

void importer::end(std::map<call_id, waiting>::iterator which, result_code code)
{
    const waiting& import = which->second;
    const bool whole = code == result_code::ok;
    if (!whole && import.cut != code)
    {
        ++reasons_[code];
    }
    out_.emplace_back(
        import_ended{which->first, import.done, whole ? import.cut : code});
    imports_.erase(which);
}

bool importer::wanted(const block_id& id) const
{
    return std::any_of(
        imports_.begin(), imports_.end(),
        [&](const auto& one) { return awaited(one.second, id).has_value(); });
}

void importer::drop_unwanted()
{
    for (auto i = flights_.begin(); i != flights_.end();)
    {
        const bool keep =
            i->second.at == stage::handing_over || wanted(i->first);
        if (!keep)
        {
            drop(i->first, i->second);
        }
        i = keep ? std::next(i) : flights_.erase(i);
    }
}

void importer::reject(const block_ref& ref)
{
    if (rejected_.insert(ref).second)
    {
        rejected_order_.push_back(ref);
    }
    if (rejected_order_.size() > options_.max_rejected)
    {
        rejected_.erase(rejected_order_.front());
        rejected_order_.pop_front();
    }
}

} // namespace wagtailseam::kept_cache
