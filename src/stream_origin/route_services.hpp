// Which services may have begun the streams of a path, when routes are added,
// removed, split or moved while their streams run.
#ifndef WAGTAILSEAM_STREAM_ORIGIN_ROUTE_SERVICES_HPP
#define WAGTAILSEAM_STREAM_ORIGIN_ROUTE_SERVICES_HPP

#include "core/clock.hpp"
#include "stream_origin/route_record.hpp"
#include "stream_origin/stream_routes.hpp"

#include <optional>
#include <vector>

namespace wagtailseam::stream_origin
{

struct route_services_options
{
    /// Time for which a replaced configuration counts: callers resume a stream
    /// for 15 s, and gateways apply a configuration within some seconds of each
    /// other.
    duration memory = std::chrono::seconds(20);
};

/// A stream without a record must have begun at a service that every gateway
/// can name, also one that has started since. So the streams of a path are
/// recorded while it has several services, for some time after its services
/// changed, and until the record of routes has the gateway's own. Not
/// thread-safe. Complexity: linear in the number of routes of a host, times
/// that of the replaced configurations.
class route_services
{
public:
    explicit route_services(const route_services_options& options = {})
        : options_(options)
    {
    }

    /// Applies a configuration.
    void set(
        config_number number, const std::vector<serving::route>& routes,
        mono_time now);
    /// Applies the record as it was read or written; nullopt if there is none.
    /// @param store_now time of the store's clock at `now`
    void set_record(
        std::optional<route_record> record, store_time store_now,
        mono_time now);
    /// Forgets the record, since the store may have lost a part of it.
    void forget_record();

    /// Returns whether the record has to be read.
    [[nodiscard]] bool needs_read() const
    {
        return number_ && !is_record_read_;
    }
    /// Returns the record that has to be written, if any.
    /// @param store_now time of the store's clock, just before the write
    [[nodiscard]] std::optional<route_record> due_record(
        store_time store_now) const;

    /// Returns whether a stream that the service began has to be recorded.
    [[nodiscard]] bool needs_record(
        const stream_target& target, const serving::service_id& begun_by,
        mono_time now) const;
    /// Returns the services that may have begun a stream without a record; if
    /// such a stream should have one, all services of the path.
    [[nodiscard]] service_set candidates(
        const stream_target& target, mono_time now) const;

private:
    /// Routes that some gateway may have had in force lately.
    struct earlier_routes
    {
        stream_routes routes;
        mono_time replaced_at;
    };

    [[nodiscard]] bool is_recent(
        const earlier_routes& earlier, mono_time now) const
    {
        return now - earlier.replaced_at < options_.memory;
    }
    /// Returns the sets of services that the path had lately, but for the
    /// current ones.
    [[nodiscard]] std::vector<service_set> find_earlier(
        const stream_target& target, mono_time now) const;

    route_services_options options_;
    /// Of the configuration in force. Unset before the first one.
    std::optional<config_number> number_;
    stream_routes current_;
    /// Routes that this gateway replaced.
    std::vector<earlier_routes> earlier_;
    /// As last read or written.
    std::optional<route_record> record_;
    /// Those of the record.
    std::vector<earlier_routes> recorded_earlier_;
    /// Whether the record was read since the routes in force changed.
    bool is_record_read_ = false;
};

} // namespace wagtailseam::stream_origin

#endif
