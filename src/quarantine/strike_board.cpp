// Merging, judging and encoding of strikes.
#include "quarantine/strike_board.hpp"

#include <boost/assert.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace wagtailseam::quarantine
{
namespace
{

using json = nlohmann::json;

std::string with_length(std::string_view part)
{
    return std::to_string(part.size()) + ':' + std::string(part);
}

json to_array(const std::set<crash_id>& ids)
{
    json array = json::array();
    for (const crash_id& id : ids)
    {
        array.push_back(id.value());
    }
    return array;
}

bool read_array(const json& from, const char* name, std::set<crash_id>& into)
{
    const auto found = from.find(name);
    if (found == from.end() || !found->is_array())
    {
        return false;
    }
    for (const json& one : *found)
    {
        if (!one.is_string())
        {
            return false;
        }
        into.emplace(one.get<std::string>());
    }
    return true;
}

} // namespace

fingerprint fingerprint_of(
    const workspace_id& workspace, const model_id& model, const digest& prompt)
{
    const std::string text = with_length(workspace.value()) +
                             with_length(model.value()) +
                             std::string(prompt.view());
    return fingerprint(sha256(text));
}

crash_id crash_of(
    const upstream_id& upstream, incarnation sidecar, std::uint64_t life)
{
    return crash_id(
        upstream.value() + '/' + std::to_string(sidecar.value()) + '/' +
        std::to_string(life));
}

std::size_t strike_record::live_strikes() const
{
    const auto counts = std::count_if(
        strikes.begin(), strikes.end(),
        [&](const crash_id& id) { return !cleared.contains(id); });
    return static_cast<std::size_t>(counts);
}

bool strike_record::merge(const strike_record& other)
{
    const strike_record before = *this;
    strikes.insert(other.strikes.begin(), other.strikes.end());
    cleared.insert(other.cleared.begin(), other.cleared.end());
    expires = std::max(expires, other.expires);
    return !(*this == before);
}

void strike_record::clear()
{
    cleared.insert(strikes.begin(), strikes.end());
}

std::string encode(const strike_record& record)
{
    const json row = {
        {"strikes", to_array(record.strikes)},
        {"cleared", to_array(record.cleared)},
        {"expires_us", record.expires.time_since_epoch().count()}};
    return row.dump();
}

result<strike_record> decode(std::string_view value)
{
    const json row = json::parse(value, nullptr, false);
    strike_record record;
    if (!row.is_object() || !read_array(row, "strikes", record.strikes) ||
        !read_array(row, "cleared", record.cleared))
    {
        return fail(result_code::malformed_message, "quarantine row");
    }
    const auto expires = row.find("expires_us");
    if (expires == row.end() || !expires->is_number_integer())
    {
        return fail(result_code::malformed_message, "quarantine row's expiry");
    }
    record.expires = wall_time(duration(expires->get<std::int64_t>()));
    return record;
}

strike_board::strike_board(std::size_t max_records) : max_records_(max_records)
{
    BOOST_ASSERT(max_records >= 1);
}

bool strike_board::merge(const fingerprint& of, const strike_record& record)
{
    const auto found = records_.find(of);
    if (found != records_.end())
    {
        return found->second.merge(record);
    }
    if (records_.size() >= max_records_)
    {
        make_room();
    }
    records_.emplace(of, record);
    return true;
}

void strike_board::make_room()
{
    const auto first = std::min_element(
        records_.begin(), records_.end(),
        [](const auto& a, const auto& b)
        { return a.second.expires < b.second.expires; });
    records_.erase(first);
}

const strike_record* strike_board::find(const fingerprint& of) const
{
    const auto found = records_.find(of);
    return found == records_.end() ? nullptr : &found->second;
}

verdict strike_board::check(const fingerprint& of, wall_time now) const
{
    const strike_record* const record = find(of);
    if (record == nullptr || record->expires <= now)
    {
        return clear{};
    }
    const std::size_t strikes = record->live_strikes();
    if (strikes >= strikes_to_quarantine)
    {
        return quarantined{record->expires};
    }
    return strikes == 0 ? verdict(clear{}) : verdict(suspect{});
}

void strike_board::forget_expired(wall_time now)
{
    std::erase_if(
        records_, [&](const auto& one) { return one.second.expires <= now; });
}

} // namespace wagtailseam::quarantine
