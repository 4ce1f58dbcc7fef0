// Merging of rows.
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
    text += '/' + std::to_string(row.identity.life.value());
    text += '/' + std::to_string(static_cast<int>(row.identity.state));
    text += '/' + std::to_string(row.identity.version.value());
    text += '\n';
}

} // namespace

fingerprint fingerprint_of(const std::vector<member_row>& rows)
{
    std::string text;
    for (const member_row& row : rows)
    {
        append_identity(text, row);
    }
    const digest whole = sha256(text);
    std::uint64_t word = 0;
    std::memcpy(&word, whole.bytes.data(), sizeof word);
    return fingerprint{word};
}

bool cell_table::merge(const member_row& row, mono_time now)
{
    const auto found = held_.find(row.member);
    if (found == held_.end())
    {
        if (held_.size() >= options_.max_members)
        {
            return false;
        }
        held_.emplace(row.member, held_row{row, now});
        return true;
    }
    if (row.age <= found->second.row.age)
    {
        return false;
    }
    found->second = held_row{row, now};
    return true;
}

bool cell_table::refresh_loads(
    const std::vector<member_load>& loads, mono_time now)
{
    if (live_rows(now).size() != loads.size())
    {
        return false;
    }
    auto load = loads.begin();
    for (auto& [member, held] : held_)
    {
        if (live(held, now))
        {
            held.row.load = *load++;
            held.row.clock_us += (now - held.heard).count();
            held.heard = now;
        }
    }
    return true;
}

void cell_table::forget_silent(mono_time now)
{
    std::erase_if(
        held_, [this, now](const auto& each)
        { return now - each.second.heard > options_.forget_after; });
}

const member_row* cell_table::find(const upstream_id& member) const
{
    const auto found = held_.find(member);
    return found == held_.end() ? nullptr : &found->second.row;
}

bool cell_table::live(const held_row& held, mono_time now) const
{
    return now - held.heard <= options_.suspect_after;
}

bool cell_table::is_live(const upstream_id& member, mono_time now) const
{
    const auto found = held_.find(member);
    return found != held_.end() && live(found->second, now);
}

std::vector<member_row> cell_table::live_rows(mono_time now) const
{
    std::vector<member_row> rows;
    for (const auto& [member, held] : held_)
    {
        if (live(held, now))
        {
            rows.push_back(held.row);
            rows.back().clock_us += (now - held.heard).count();
        }
    }
    return rows;
}

fingerprint cell_table::live_fingerprint(mono_time now) const
{
    return fingerprint_of(live_rows(now));
}

} // namespace wagtailseam::cell_gossip
