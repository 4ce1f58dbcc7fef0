// The streams of one gateway that are not complete, and their record for other
// gateways.
#ifndef WAGTAILSEAM_STREAM_ORIGIN_OPEN_STREAMS_HPP
#define WAGTAILSEAM_STREAM_ORIGIN_OPEN_STREAMS_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/result.hpp"
#include "stream_origin/route_services.hpp"
#include "stream_origin/stream_origin.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace wagtailseam::stream_origin
{

/// Origins by the request that brought the first event of the stream.
using origin_map = std::unordered_map<request_id, origin>;

/// Encodes origins as JSON for the value of a table row.
[[nodiscard]] std::string encode(const origin_map& origins);
/// @errors malformed_message: names the field that is wrong
[[nodiscard]] result<origin_map> decode_origins(std::string_view value);

struct open_streams_options
{
    /// Time for which a stream that broke off is kept. Callers resume it
    /// within their deadline, which is at most 15 s.
    duration retention = std::chrono::seconds(20);
    /// Limits the memory, and the encoded size to 64 KB in base64.
    std::size_t max_streams = 1500;
    /// Longer paths are not kept.
    std::size_t max_path_bytes = 256;
};

/// Not thread-safe. Complexity: constant on average, unless stated otherwise.
class open_streams
{
public:
    explicit open_streams(const open_streams_options& options = {});

    /// Adds a stream when its first event is forwarded.
    /// @param id the request that brought the stream's first event
    /// @param target that of the request
    /// @param needs_record whether it belongs into the record whatever its
    /// origin. One with a long path always does.
    /// @return whether it belongs into the record whatever its origin
    bool begin(
        const request_id& id, const origin& begun_by,
        const stream_target& target, bool needs_record);
    /// Removes a stream whose last event was forwarded.
    void complete(const request_id& id);
    /// Keeps a stream that broke off for the retention time.
    void break_off(const request_id& id, mono_time now);
    /// Adds the streams of this gateway's previous incarnation as broken off.
    /// They stay in the record.
    /// Complexity: linear in their number.
    void adopt(const origin_map& recorded, mono_time now);
    /// Removes the streams whose retention time is over. Complexity: linear.
    void expire(mono_time now);

    [[nodiscard]] std::optional<origin> find(const request_id& id) const;
    /// Returns all streams. Complexity: linear.
    [[nodiscard]] origin_map origins() const;
    /// Returns the streams that belong into the record, or whose origin has to
    /// be recorded. Complexity: linear.
    [[nodiscard]] origin_map origins_to_record(
        const std::function<bool(const origin&)>& needs_record) const;
    /// Adds streams to those that belong into the record.
    /// @return whether there are new ones. Complexity: linear.
    bool mark_recorded(
        const std::function<bool(const stream_target&, const origin&)>&
            needs_record);
    /// Returns a number that changes with each stream that is added.
    [[nodiscard]] std::uint64_t additions() const noexcept
    {
        return additions_;
    }
    [[nodiscard]] std::size_t size() const noexcept { return streams_.size(); }

private:
    struct stream
    {
        origin begun_by;
        /// Empty if the path is long, or if a previous incarnation of this
        /// gateway forwarded the stream.
        stream_target target;
        /// Whether it belongs into the record whatever its origin.
        /// @invariant true if the target is empty
        bool is_recorded = false;
        /// Position in order_.
        std::uint64_t number = 0;
        /// Unset while it is forwarded.
        std::optional<mono_time> kept_until;
    };

    void add(const request_id& id, stream added);
    void erase(const request_id& id);

    open_streams_options options_;
    /// @invariant at most options_.max_streams entries, those of order_
    std::unordered_map<request_id, stream> streams_;
    /// Streams by the order in which they were added.
    std::map<std::uint64_t, request_id> order_;
    std::uint64_t additions_ = 0;
};

} // namespace wagtailseam::stream_origin

#endif
