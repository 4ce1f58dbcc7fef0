// An agent's memory of the streams that gateways have noted at it.
#ifndef WAGTAILSEAM_STREAM_ORIGIN_NOTED_ORIGINS_HPP
#define WAGTAILSEAM_STREAM_ORIGIN_NOTED_ORIGINS_HPP

#include "core/clock.hpp"
#include "stream_origin/origin_note.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace wagtailseam::stream_origin
{

struct noted_origins_options
{
    duration retention = max_stream_age;
    /// Limits the memory to about 1 MB. The oldest streams are dropped.
    std::size_t max_streams = 4096;
};

/// Not thread-safe.
class noted_origins
{
public:
    explicit noted_origins(const noted_origins_options& options = {})
        : options_(options)
    {
    }

    /// Stores a note. If two notes of a stream differ in its version, the
    /// version becomes unknown. Complexity: constant on average
    void add(const origin_note& note, mono_time now);
    /// Complexity: linear in the number of streams
    [[nodiscard]] origin_answer answer(
        const origin_question& question, mono_time now);
    [[nodiscard]] std::size_t size() const noexcept { return origins_.size(); }

private:
    struct noted_origin
    {
        origin begun_by;
        mono_time kept_until;
    };

    void expire(mono_time now);

    noted_origins_options options_;
    /// @invariant each stream has an entry in order_
    std::unordered_map<request_id, noted_origin> origins_;
    /// Streams with the times until which they are kept, in ascending order. A
    /// stream that was noted again has an outdated entry as well.
    std::deque<std::pair<mono_time, request_id>> order_;
};

/// Adds the origin of a stream. If it differs in its version from one that is
/// known already, the version becomes unknown.
void merge_origin(
    std::unordered_map<request_id, origin>& known, const request_id& stream,
    const origin& begun_by);

} // namespace wagtailseam::stream_origin

#endif
