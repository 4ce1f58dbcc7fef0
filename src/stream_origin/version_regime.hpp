// Which software versions of a service may have begun a stream that no gateway
// has recorded. One row per service in the row store holds it.
#ifndef WAGTAILSEAM_STREAM_ORIGIN_VERSION_REGIME_HPP
#define WAGTAILSEAM_STREAM_ORIGIN_VERSION_REGIME_HPP

#include "core/clock.hpp"
#include "core/result.hpp"
#include "serving/ids.hpp"
#include "stream_origin/stream_origin.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace wagtailseam::stream_origin
{

/// The row has not been read.
struct unknown_regime
{
    friend bool operator==(unknown_regime, unknown_regime) = default;
};

/// The row does not exist.
struct absent_regime
{
    friend bool operator==(absent_regime, absent_regime) = default;
};

/// Streams without a record began at this version.
struct single_version
{
    serving::software_version version;
    /// Streams that are older than this may have begun at another version; zero
    /// if no caller can resume such a stream any more.
    store_time since{};

    friend bool operator==(const single_version&, const single_version&) =
        default;
};

/// Streams without a record may have begun at any version.
struct mixed_versions
{
    friend bool operator==(mixed_versions, mixed_versions) = default;
};

/// The row names a single version but was written before the store returned
/// from an older copy. Later rows are lost, so streams without a record may
/// have begun at any version.
struct lapsed_version
{
    serving::software_version version;
    /// When it was first read since the store returned.
    mono_time read_at;

    friend bool operator==(
        const lapsed_version& left, const lapsed_version& right)
    {
        return left.version == right.version;
    }
};

using version_regime = std::variant<
    unknown_regime, absent_regime, single_version, mixed_versions,
    lapsed_version>;

/// The value of a regime's row.
struct regime_record
{
    /// @invariant single_version or mixed_versions
    version_regime regime;
    /// Era of the store for which it was written; zero if the row does not say.
    store_era era;

    friend bool operator==(const regime_record&, const regime_record&) =
        default;
};

/// Returns the name of the regime in logs, with the version if it names one.
[[nodiscard]] std::string name(const version_regime& regime);

/// Encodes a record as JSON for the value of a table row.
[[nodiscard]] std::string encode(const regime_record& record);
/// @errors malformed_message: contains the value
[[nodiscard]] result<regime_record> decode_regime(std::string_view value);

/// Returns the regime that a record states in an era of the store.
[[nodiscard]] version_regime regime_in_era(
    const regime_record& record, store_era current, mono_time read_at);

/// Returns the version that a regime names, if any.
[[nodiscard]] std::optional<serving::software_version> named_version(
    const version_regime& regime);

/// Returns the version at which all streams without a record began that a
/// caller may still resume, if the regime alone is evidence of it.
/// @param store_now time of the store's clock
[[nodiscard]] std::optional<serving::software_version> certain_version(
    const version_regime& regime, store_time store_now);

struct regime_tracker_options
{
    /// Time for which only one version must be listed before the regime becomes
    /// single again. It exceeds the sum of twice max_list_gap, the time for
    /// which an upstream runs after it left the list (10 s), and the time for
    /// which callers resume a stream (15 s).
    duration quiet_time = std::chrono::seconds(45);
    /// Versions may have come and gone unseen between two reads of the list
    /// that are further apart.
    duration max_list_gap = std::chrono::seconds(8);
    /// Time within which upstreams are listed again after the store returned
    /// from a copy that lacks them: about two seconds.
    duration return_time = std::chrono::seconds(3);
};

/// Decides when the regime of one service changes, and what it permits. A
/// gateway begins a stream at another version than that of a single regime only
/// after it has read or written that versions are mixed. Not thread-safe.
class regime_tracker
{
public:
    explicit regime_tracker(const regime_tracker_options& options = {});

    /// Sets the regime as it was last read or written.
    void set_regime(version_regime regime);
    /// Sets the versions of the upstreams that may still run.
    /// @param read_at when the list was last read, or reported as unchanged
    void set_listed(
        std::set<serving::software_version> versions, mono_time read_at);

    /// Returns whether the row has to be read, because it was not, or because
    /// it may have changed twice since. A due write reads it as well.
    [[nodiscard]] bool needs_read() const;

    /// Returns the regime that has to be written, if any.
    /// @param store_now time of the store's clock, just before the write
    [[nodiscard]] std::optional<version_regime> due_write(
        mono_time now, store_time store_now = {}) const;
    /// Returns the time until only the version that the regime names has been
    /// listed for the time in which upstreams are listed again. Zero: it has;
    /// nullopt: another version is listed, or the regime names none.
    [[nodiscard]] std::optional<duration> settles_in(mono_time now) const;
    /// Returns whether the named version settles once the list is read again.
    [[nodiscard]] bool needs_list(mono_time now) const;
    /// Returns whether a stream that begins at a version has to be recorded.
    [[nodiscard]] bool needs_record(
        const serving::software_version& version) const;
    /// Returns the version at which new streams begin while one of its
    /// upstreams is available; nullopt: any.
    [[nodiscard]] std::optional<serving::software_version> begins_at() const;
    [[nodiscard]] const version_regime& regime() const noexcept
    {
        return regime_;
    }

private:
    /// Returns whether the only listed version is the one that a regime names.
    [[nodiscard]] bool is_covered(const version_regime& regime) const;
    /// Returns when only the named version has been listed for long enough. A
    /// list that is read from then on shows it. @pre is_covered(regime_)
    [[nodiscard]] mono_time settling_time() const;

    regime_tracker_options options_;
    version_regime regime_;
    /// Whether each list read since regime_ was set is covered by it, without
    /// gaps. Otherwise other gateways may meanwhile have made another version
    /// the single one.
    bool confirmed_ = false;
    std::set<serving::software_version> listed_;
    /// Since when listed_ has not changed, as far as the reads show.
    mono_time listed_since_;
    std::optional<mono_time> list_read_at_;
};

} // namespace wagtailseam::stream_origin

#endif
