// What a gateway knows of the software versions at which streams began.
#ifndef WAGTAILSEAM_GATEWAY_STREAM_ORIGINS_HPP
#define WAGTAILSEAM_GATEWAY_STREAM_ORIGINS_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "serving/configuration.hpp"
#include "stream_origin/open_streams.hpp"
#include "stream_origin/route_services.hpp"
#include "stream_origin/version_regime.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wagtailseam::gateway
{

/// The stream began at this service and version.
struct origin_known
{
    /// @invariant the version is set
    stream_origin::origin begun_by;
    /// "gateway", "record", "agent", "regime" or "list", for the log.
    std::string_view source;
};

/// No gateway recorded the stream, and several versions may have begun it, or
/// its gateway did not know which process did.
struct origin_unknown
{
    /// Time after which it may be known without a record; unset if that is not
    /// foreseeable.
    std::optional<duration> known_in;
};

/// The records could not be read.
struct origin_lookup_failed
{
    std::string detail;
};

using origin_lookup =
    std::variant<origin_known, origin_unknown, origin_lookup_failed>;

/// What agents know of streams.
struct noted_streams
{
    stream_origin::origin_map known;
    /// All origins that gateways noted within the time for which callers resume
    /// a stream.
    std::set<stream_origin::origin> recent;
    /// Whether an agent may know more: one that runs did not answer, or had no
    /// room for all, or it was not asked about each stream.
    bool is_partial = false;
};

/// The part of the shared state that concerns streams which a caller or the
/// gateway resumes.
struct stream_origins
{
    /// The streams of this gateway.
    stream_origin::open_streams open;
    /// The services of resumable streams by path.
    stream_origin::route_services routes;
    /// Regimes of the services to which resumable streams are routed.
    std::map<serving::service_id, stream_origin::regime_tracker> regimes;
    /// Reads the records of all gateways and finds the origin of a stream that
    /// is not among those of this one.
    std::function<boost::asio::awaitable<origin_lookup>(
        const request_id& stream, const stream_origin::stream_target& target)>
        look_up_records =
            [](const auto&,
               const auto&) -> boost::asio::awaitable<origin_lookup>
    { co_return origin_unknown{}; };
    /// Returns true when other gateways can find a stream that was added to the
    /// open ones, or false after a time limit or while no record can be
    /// written.
    std::function<boost::asio::awaitable<bool>(std::uint64_t addition)>
        wait_until_recorded = [](auto) -> boost::asio::awaitable<bool>
    { co_return true; };

    /// Notes the origin of a stream outside the row store, at the agent beside
    /// the upstream that sends it.
    std::function<void(
        const request_id& stream, const stream_origin::origin& begun_by,
        const upstream_id& upstream)>
        note_origin = [](const auto&, const auto&, const auto&) {};
    /// Asks the agents about streams.
    std::function<boost::asio::awaitable<noted_streams>(
        std::vector<request_id> streams)>
        ask_agents = [](auto) -> boost::asio::awaitable<noted_streams>
    { co_return noted_streams{}; };

    /// Returns whether the regime of its service requires a record of a stream
    /// that begins at this origin.
    [[nodiscard]] bool needs_record(
        const stream_origin::origin& begun_by) const;
    /// Adds a stream to the open ones.
    /// @return whether other gateways find it only in the record
    bool begin(
        const request_id& stream, const stream_origin::origin& begun_by,
        const stream_origin::stream_target& target, mono_time now);
    /// Returns the version at which new streams of a service begin while one of
    /// its upstreams is available; nullopt: any.
    [[nodiscard]] std::optional<serving::software_version> begins_at(
        const serving::service_id& service) const;
};

} // namespace wagtailseam::gateway

#endif
