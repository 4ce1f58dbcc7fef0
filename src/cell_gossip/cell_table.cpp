// Merging, expiry and fingerprints of membership rows.
#include "cell_gossip/cell_table.hpp"

#include "core/digest.hpp"

#include <cstring>
#include <string>

namespace wagtailseam::cell_gossip
{
namespace
{

void append_identity(std::string& text, const member_row& row)
{
    text += row.member.value();
    text += '/' + std::to_string(row.identity.process_incarnation.value());
    text += '/' + std::to_string(static_cast<int>(row.identity.state));
    text += '/' + std::to_string(row.identity.running_version.value());
    text += '\n';
}

} // namespace

fingerprint compute_fingerprint(const std::vector<member_row>& rows)
{
    std::string text;
    for (const member_row& row : rows)
    {
        append_identity(text, row);
    }
    const digest hash = sha256(text);
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, hash.bytes.data(), sizeof prefix);
    return fingerprint{prefix};
}

bool cell_table::merge(const member_row& row, mono_time now)
{
    const auto found = rows_.find(row.member);
    if (found == rows_.end())
    {
        if (rows_.size() >= options_.max_members)
        {
            return false;
        }
        rows_.emplace(row.member, stored_row{row, now});
        return true;
    }
    if (row.version <= found->second.row.version)
    {
        return false;
    }
    found->second = stored_row{row, now};
    return true;
}

bool cell_table::update_loads(
    const std::vector<member_load>& loads, mono_time now)
{
    if (live_rows(now).size() != loads.size())
    {
        return false;
    }
    auto next_load = loads.begin();
    for (auto& [member, stored] : rows_)
    {
        if (is_live_row(stored, now))
        {
            stored.row.load = *next_load++;
            stored.row.clock_us += (now - stored.received_at).count();
            stored.received_at = now;
        }
    }
    return true;
}

void cell_table::remove_expired(mono_time now)
{
    std::erase_if(
        rows_, [this, now](const auto& entry)
        { return now - entry.second.received_at > options_.expire_after; });
}

const member_row* cell_table::find(const upstream_id& member) const
{
    const auto found = rows_.find(member);
    return found == rows_.end() ? nullptr : &found->second.row;
}

bool cell_table::is_live_row(const stored_row& stored, mono_time now) const
{
    return now - stored.received_at <= options_.suspect_after;
}

bool cell_table::is_live(const upstream_id& member, mono_time now) const
{
    const auto found = rows_.find(member);
    return found != rows_.end() && is_live_row(found->second, now);
}

std::vector<member_row> cell_table::live_rows(mono_time now) const
{
    std::vector<member_row> rows;
    for (const auto& [member, stored] : rows_)
    {
        if (is_live_row(stored, now))
        {
            rows.push_back(stored.row);
            rows.back().clock_us += (now - stored.received_at).count();
        }
    }
    return rows;
}

fingerprint cell_table::live_fingerprint(mono_time now) const
{
    return compute_fingerprint(live_rows(now));
}

} // namespace wagtailseam::cell_gossip
