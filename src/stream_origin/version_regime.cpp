// Transitions between regimes and the encoding of their row.
#include "stream_origin/version_regime.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace wagtailseam::stream_origin
{
namespace
{

using nlohmann::json;

constexpr const char* single_field = "single";
constexpr const char* since_field = "since_ms";
constexpr const char* mixed_field = "mixed";
constexpr const char* era_field = "era";

/// Returns a number of a row, or zero if the row has none.
std::uint64_t number_of(const json& row, const char* field)
{
    const auto found = row.find(field);
    return found != row.end() && found->is_number_unsigned()
               ? found->get<std::uint64_t>()
               : 0;
}

} // namespace

std::string name(const version_regime& regime)
{
    return std::visit(
        overloaded{
            [](const unknown_regime&) { return std::string("unknown"); },
            [](const absent_regime&) { return std::string("absent"); },
            [](const single_version& single)
            { return "single:" + single.version.value(); },
            [](const mixed_versions&) { return std::string("mixed"); },
            [](const lapsed_version& lapsed)
            { return "lapsed:" + lapsed.version.value(); }},
        regime);
}

std::string encode(const regime_record& record)
{
    const auto* const single = std::get_if<single_version>(&record.regime);
    BOOST_ASSERT(
        single != nullptr ||
        std::holds_alternative<mixed_versions>(record.regime));
    json row{{era_field, record.era.value()}};
    if (single == nullptr)
    {
        row[mixed_field] = true;
    }
    else
    {
        row[single_field] = single->version.value();
        row[since_field] = single->since.count();
    }
    return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<regime_record> decode_regime(std::string_view value)
{
    const json row = json::parse(value, nullptr, false);
    if (row.is_object() && row.value(single_field, json()).is_string())
    {
        return regime_record{
            .regime =
                single_version{
                    .version =
                        serving::software_version{
                            row[single_field].get<std::string>()},
                    .since = store_time(number_of(row, since_field))},
            .era = store_era{number_of(row, era_field)}};
    }
    if (row.is_object() && row.value(mixed_field, json()) == json(true))
    {
        return regime_record{
            .regime = mixed_versions{},
            .era = store_era{number_of(row, era_field)}};
    }
    return fail(
        result_code::malformed_message,
        "regime has neither a single version nor mixed ones: " +
            std::string(value));
}

version_regime regime_in_era(
    const regime_record& record, store_era current, mono_time read_at)
{
    const auto* const single = std::get_if<single_version>(&record.regime);
    if (single == nullptr || record.era == current)
    {
        return record.regime;
    }
    return lapsed_version{.version = single->version, .read_at = read_at};
}

std::optional<serving::software_version> named_version(
    const version_regime& regime)
{
    if (const auto* const single = std::get_if<single_version>(&regime))
    {
        return single->version;
    }
    if (const auto* const lapsed = std::get_if<lapsed_version>(&regime))
    {
        return lapsed->version;
    }
    return std::nullopt;
}

std::optional<serving::software_version> certain_version(
    const version_regime& regime, store_time store_now)
{
    const auto* const single = std::get_if<single_version>(&regime);
    const bool is_certain =
        single != nullptr && (single->since == store_time::zero() ||
                              store_now - single->since >= max_stream_age);
    return is_certain ? std::optional(single->version) : std::nullopt;
}

regime_tracker::regime_tracker(const regime_tracker_options& options)
    : options_(options)
{
}

void regime_tracker::set_regime(version_regime regime)
{
    const auto* const previous = std::get_if<lapsed_version>(&regime_);
    auto* const lapsed = std::get_if<lapsed_version>(&regime);
    if (previous != nullptr && lapsed != nullptr && *previous == *lapsed)
    {
        lapsed->read_at = previous->read_at;
    }
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
    const auto named = named_version(regime);
    return named && listed_.size() == 1 && *listed_.begin() == *named;
}

mono_time regime_tracker::settling_time() const
{
    const auto* const lapsed = std::get_if<lapsed_version>(&regime_);
    const auto from = lapsed == nullptr
                          ? listed_since_
                          : std::max(listed_since_, lapsed->read_at);
    return from + options_.return_time;
}

std::optional<duration> regime_tracker::settles_in(mono_time now) const
{
    if (!is_covered(regime_) || now - *list_read_at_ > options_.max_list_gap)
    {
        return std::nullopt;
    }
    const auto settled_at = settling_time();
    return *list_read_at_ >= settled_at
               ? duration::zero()
               : std::max<duration>(settled_at - now, duration(1));
}

bool regime_tracker::needs_list(mono_time now) const
{
    return is_covered(regime_) && now >= settling_time() &&
           *list_read_at_ < settling_time();
}

bool regime_tracker::needs_read() const
{
    const bool is_single = std::holds_alternative<single_version>(regime_);
    return std::holds_alternative<unknown_regime>(regime_) ||
           (is_single && !confirmed_ && is_covered(regime_));
}

std::optional<version_regime> regime_tracker::due_write(
    mono_time now, store_time store_now) const
{
    if (listed_.empty() || std::holds_alternative<unknown_regime>(regime_))
    {
        return std::nullopt;
    }
    if (std::holds_alternative<absent_regime>(regime_))
    {
        // The store may have returned from a copy that lacks the row.
        return listed_.size() == 1
                   ? version_regime(single_version{
                         .version = *listed_.begin(), .since = store_now})
                   : version_regime(mixed_versions{});
    }
    if (const auto* const lapsed = std::get_if<lapsed_version>(&regime_))
    {
        if (!is_covered(regime_))
        {
            return mixed_versions{};
        }
        return settles_in(now) == duration::zero()
                   ? std::optional<version_regime>(single_version{
                         .version = lapsed->version, .since = store_now})
                   : std::nullopt;
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
               ? std::optional<version_regime>(
                     single_version{.version = *listed_.begin()})
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
