// Transitions between regimes and the encoding of their row.
#include "stream_origin/version_regime.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace wagtailseam::stream_origin
{
namespace
{

using nlohmann::json;

constexpr const char* single_field = "single";
constexpr const char* mixed_field = "mixed";

} // namespace

std::string name(const version_regime& regime)
{
    return std::visit(
        overloaded{
            [](const unknown_regime&) { return std::string("unknown"); },
            [](const absent_regime&) { return std::string("absent"); },
            [](const single_version& single)
            { return "single:" + single.version.value(); },
            [](const mixed_versions&) { return std::string("mixed"); }},
        regime);
}

std::string encode(const version_regime& regime)
{
    const auto* const single = std::get_if<single_version>(&regime);
    BOOST_ASSERT(
        single != nullptr || std::holds_alternative<mixed_versions>(regime));
    const auto row =
        single != nullptr
            ? json::object({{single_field, single->version.value()}})
            : json::object({{mixed_field, true}});
    return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<version_regime> decode_regime(std::string_view value)
{
    const json row = json::parse(value, nullptr, false);
    if (row.is_object() && row.value(single_field, json()).is_string())
    {
        return version_regime(single_version{
            serving::software_version{row[single_field].get<std::string>()}});
    }
    if (row.is_object() && row.value(mixed_field, json()) == json(true))
    {
        return version_regime(mixed_versions{});
    }
    return fail(
        result_code::malformed_message,
        "regime has neither a single version nor mixed ones: " +
            std::string(value));
}

regime_tracker::regime_tracker(const regime_tracker_options& options)
    : options_(options)
{
}

void regime_tracker::set_regime(version_regime regime)
{
    regime_ = std::move(regime);
    confirmed_ = true;
}

void regime_tracker::set_listed(
    std::set<serving::software_version> versions, mono_time read_at)
{
    const bool has_gap =
        !list_read_at_ || read_at - *list_read_at_ > options_.max_list_gap;
    if (has_gap || versions != listed_)
    {
        listed_ = std::move(versions);
        listed_since_ = read_at;
    }
    list_read_at_ = read_at;
    confirmed_ = confirmed_ && !has_gap && is_covered(regime_);
}

bool regime_tracker::is_covered(const version_regime& regime) const
{
    const auto* const single = std::get_if<single_version>(&regime);
    return single != nullptr && listed_.size() == 1 &&
           *listed_.begin() == single->version;
}

bool regime_tracker::needs_read() const
{
    return std::holds_alternative<unknown_regime>(regime_) ||
           (!confirmed_ && is_covered(regime_));
}

std::optional<version_regime> regime_tracker::due_write(mono_time now) const
{
    if (listed_.empty() || std::holds_alternative<unknown_regime>(regime_))
    {
        return std::nullopt;
    }
    const version_regime only_listed = single_version{*listed_.begin()};
    if (std::holds_alternative<absent_regime>(regime_))
    {
        return listed_.size() == 1 ? only_listed
                                   : version_regime(mixed_versions{});
    }
    if (std::holds_alternative<single_version>(regime_))
    {
        return is_covered(regime_)
                   ? std::nullopt
                   : std::optional<version_regime>(mixed_versions{});
    }
    const bool is_current = now - *list_read_at_ <= options_.max_list_gap;
    const bool is_quiet = *list_read_at_ - listed_since_ >= options_.quiet_time;
    return listed_.size() == 1 && is_current && is_quiet
               ? std::optional(only_listed)
               : std::nullopt;
}

bool regime_tracker::needs_record(
    const serving::software_version& version) const
{
    const auto* const single = std::get_if<single_version>(&regime_);
    return single == nullptr || !confirmed_ || single->version != version;
}

std::optional<serving::software_version> regime_tracker::begins_at() const
{
    const auto* const single = std::get_if<single_version>(&regime_);
    return single == nullptr ? std::nullopt : std::optional(single->version);
}

} // namespace wagtailseam::stream_origin
