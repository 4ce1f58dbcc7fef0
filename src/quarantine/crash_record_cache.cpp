// Merging, evaluation and serialization of crash records.
#include "quarantine/crash_record_cache.hpp"

#include <boost/assert.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace wagtailseam::quarantine
{
namespace
{

using json = nlohmann::json;

constexpr const char* runs_field = "runs";
/// Rows of records without failed trials lack it.
constexpr const char* trials_field = "trials";
/// Rows of requests have no kind.
constexpr const char* kind_field = "kind";

std::string length_prefixed(std::string_view part)
{
    return std::to_string(part.size()) + ':' + std::string(part);
}

json ids_to_json(const std::set<crash_id>& ids)
{
    json array = json::array();
    for (const crash_id& id : ids)
    {
        array.push_back(id.value());
    }
    return array;
}

json runs_to_json(const std::set<crashed_run>& runs)
{
    json array = json::array();
    for (const auto& [crash, request] : runs)
    {
        array.push_back(json::array({crash.value(), request}));
    }
    return array;
}

/// Returns the number of ids that are not among the others.
std::size_t count_missing(
    const std::set<crash_id>& ids, const std::set<crash_id>& others)
{
    const auto count = std::count_if(
        ids.begin(), ids.end(),
        [&](const crash_id& id) { return !others.contains(id); });
    return static_cast<std::size_t>(count);
}

/// Rows without runs are valid.
bool read_runs(const json& object, crash_record& record)
{
    for (const json& run : object.value(runs_field, json::array()))
    {
        if (!run.is_array() || run.size() != 2 || !run[0].is_string() ||
            !run[1].is_string())
        {
            return false;
        }
        record.add_run(
            {crash_id(run[0].get<std::string>()), run[1].get<std::string>()});
    }
    return true;
}

bool read_ids(const json& object, const char* name, std::set<crash_id>& ids)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_array())
    {
        return false;
    }
    for (const json& id : *found)
    {
        if (!id.is_string())
        {
            return false;
        }
        ids.emplace(id.get<std::string>());
    }
    return true;
}

} // namespace

content_fingerprint make_prompt_fingerprint(
    const workspace_id& workspace, const model_id& model, const digest& prompt)
{
    const std::string text = length_prefixed(workspace.value()) +
                             length_prefixed(model.value()) +
                             std::string(prompt.view());
    return content_fingerprint(sha256(text));
}

content_fingerprint make_part_fingerprint(std::string_view part)
{
    // No request has a fingerprint of this form: its workspace has a length.
    return content_fingerprint(sha256("part:" + std::string(part)));
}

std::string_view name(suspect_kind kind) noexcept
{
    return kind == suspect_kind::request ? "request" : "part";
}

std::string short_name(const content_fingerprint& content)
{
    constexpr std::size_t logged_digits = 16;
    return content.value().hex().substr(0, logged_digits);
}

content_fingerprint make_request_fingerprint(
    const workspace_id& workspace, std::string_view target,
    std::string_view body)
{
    const auto path = target.substr(0, target.find('?'));
    sha256_stream hash;
    hash.update(length_prefixed(workspace.value()));
    hash.update(length_prefixed(body.empty() ? target : path));
    hash.update(body);
    return content_fingerprint(hash.value());
}

crash_id make_crash_id(
    const upstream_id& upstream, incarnation sidecar,
    std::uint64_t start_number)
{
    return crash_id(
        upstream.value() + '/' + std::to_string(sidecar.value()) + '/' +
        std::to_string(start_number));
}

crashed_run make_crashed_run(const crash_id& crash, const request_id& request)
{
    constexpr std::size_t kept_digits = 8;
    return {crash, sha256(request.value()).hex().substr(0, kept_digits)};
}

std::size_t crash_record::uncleared_crash_count() const
{
    return count_missing(crashes, cleared);
}

std::size_t crash_record::failed_trial_count() const
{
    return count_missing(failed_trials, cleared);
}

bool crash_record::merge(const crash_record& other)
{
    const crash_record before = *this;
    crashes.insert(other.crashes.begin(), other.crashes.end());
    failed_trials.insert(
        other.failed_trials.begin(), other.failed_trials.end());
    cleared.insert(other.cleared.begin(), other.cleared.end());
    runs.insert(other.runs.begin(), other.runs.end());
    prune_runs();
    expires = std::max(expires, other.expires);
    return !(*this == before);
}

bool crash_record::add_run(const crashed_run& run)
{
    const auto before = runs;
    runs.insert(run);
    prune_runs();
    return runs != before;
}

void crash_record::clear_crashes()
{
    cleared.insert(crashes.begin(), crashes.end());
    prune_runs();
}

void crash_record::prune_runs()
{
    std::erase_if(
        runs,
        [this](const crashed_run& run) { return cleared.contains(run.crash); });
    while (runs.size() > max_runs_per_record)
    {
        runs.erase(std::prev(runs.end()));
    }
}

std::string encode(const crash_record& record)
{
    json row = {
        {"strikes", ids_to_json(record.crashes)},
        {"cleared", ids_to_json(record.cleared)},
        {"expires_us", record.expires.time_since_epoch().count()}};
    if (record.kind == suspect_kind::prompt_part)
    {
        row[kind_field] = name(record.kind);
    }
    if (!record.runs.empty())
    {
        row[runs_field] = runs_to_json(record.runs);
    }
    if (!record.failed_trials.empty())
    {
        row[trials_field] = ids_to_json(record.failed_trials);
    }
    return row.dump();
}

result<crash_record> decode(std::string_view value)
{
    const json row = json::parse(value, nullptr, false);
    crash_record record;
    if (!row.is_object() || !read_ids(row, "strikes", record.crashes) ||
        !read_ids(row, "cleared", record.cleared) || !read_runs(row, record) ||
        (row.contains(trials_field) &&
         !read_ids(row, trials_field, record.failed_trials)))
    {
        return fail(
            result_code::malformed_message,
            "quarantine row lacks valid strikes, cleared, runs or trials");
    }
    const auto expires = row.find("expires_us");
    if (expires == row.end() || !expires->is_number_integer())
    {
        return fail(
            result_code::malformed_message,
            "quarantine row lacks a valid expires_us");
    }
    record.expires = wall_time(duration(expires->get<std::int64_t>()));
    if (row.value(kind_field, json()) == name(suspect_kind::prompt_part))
    {
        record.kind = suspect_kind::prompt_part;
    }
    return record;
}

crash_record_cache::crash_record_cache(std::size_t max_records)
    : max_records_(max_records)
{
    BOOST_ASSERT(max_records >= 1);
}

bool crash_record_cache::merge(
    const content_fingerprint& prompt, const crash_record& record)
{
    const auto found = records_.find(prompt);
    if (found != records_.end())
    {
        return found->second.merge(record);
    }
    if (records_.size() >= max_records_)
    {
        evict_least_significant();
    }
    records_.emplace(prompt, record);
    return true;
}

void crash_record_cache::evict_least_significant()
{
    const auto significance = [](const crash_record& record)
    { return std::pair(record.uncleared_crash_count(), record.expires); };
    records_.erase(std::min_element(
        records_.begin(), records_.end(),
        [&](const auto& a, const auto& b)
        { return significance(a.second) < significance(b.second); }));
}

const crash_record* crash_record_cache::find(
    const content_fingerprint& prompt) const
{
    const auto found = records_.find(prompt);
    return found == records_.end() ? nullptr : &found->second;
}

prompt_status crash_record_cache::check(
    const content_fingerprint& prompt, wall_time now) const
{
    const crash_record* const record = find(prompt);
    if (record == nullptr || record->expires <= now)
    {
        return unrestricted{};
    }
    const std::size_t crashes = record->uncleared_crash_count();
    if (crashes >= crashes_to_quarantine)
    {
        return quarantined{record->expires, prompt};
    }
    return crashes == 0 ? prompt_status(unrestricted{})
                        : prompt_status(suspect{});
}

void crash_record_cache::remove_expired(wall_time now)
{
    std::erase_if(
        records_,
        [&](const auto& entry) { return entry.second.expires <= now; });
}

} // namespace wagtailseam::quarantine
