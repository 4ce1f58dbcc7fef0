// Records the origins of streams in the row store, from which another gateway
// learns them when a caller resumes a stream there.
#ifndef WAGTAILSEAM_GATEWAY_STREAM_ORIGIN_SYNC_HPP
#define WAGTAILSEAM_GATEWAY_STREAM_ORIGIN_SYNC_HPP

#include "gateway/route_record_sync.hpp"
#include "gateway/shared_state.hpp"
#include "platform/row_store_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;

/// Table with one row per gateway, which holds its open streams.
inline constexpr const char* stream_record_table = "stream_records";
/// Table with one row per service, which holds its version regime.
inline constexpr const char* version_regime_table = "version_regimes";
/// Parts of the table of records. A part of the store executes only some
/// hundred transactions per second.
inline constexpr std::uint64_t stream_record_parts = 4;

/// Runs until the io_context stops.
class stream_origin_sync
{
public:
    stream_origin_sync(
        asio::io_context& context, shared_state& state,
        platform::row_store_client& row_store);
    stream_origin_sync(const stream_origin_sync&) = delete;
    stream_origin_sync& operator=(const stream_origin_sync&) = delete;

    void start();

    /// Applies the routes of a configuration. Records the open streams of
    /// paths whose services changed.
    void apply_routes(const serving::configuration& configuration);

private:
    using regime_map =
        std::map<serving::service_id, stream_origin::version_regime>;

    /// The rows of all gateways and services at one time.
    struct snapshot
    {
        stream_origin::origin_map origins;
        regime_map regimes;
        /// Time of the store's clock.
        stream_origin::store_time store_now{};
    };
    /// A read that one or more lookups wait for.
    struct pending_read
    {
        explicit pending_read(asio::io_context& context) : done(context) {}

        /// The streams that are looked up.
        std::map<request_id, stream_origin::stream_target> streams;
        /// Expires when the lookups give up, and is cancelled when the read
        /// has ended.
        asio::steady_timer done;
        /// Unset until the read has succeeded.
        std::optional<snapshot> rows;
        /// Why there are no rows.
        std::string failure = "the records were not read in time";
        /// What agents know of streams without a known origin in the rows.
        /// Unset until they were asked; a lookup may time out before.
        std::optional<noted_streams> noted;
    };

    asio::awaitable<origin_lookup> look_up(
        request_id stream, stream_origin::stream_target target);
    [[nodiscard]] origin_lookup find_origin(
        const pending_read& read, const request_id& stream,
        const stream_origin::stream_target& target) const;
    /// Returns the origin of a stream without a record, if all services that
    /// may have begun it have the same single version.
    [[nodiscard]] origin_lookup find_unrecorded_origin(
        const pending_read& read,
        const stream_origin::stream_target& target) const;
    /// Returns whether the regimes of all services that may have begun a stream
    /// without a record determine its version.
    [[nodiscard]] bool covers_unrecorded(
        const snapshot& rows, const stream_origin::stream_target& target) const;
    /// The version at which the streams without a record of a service began.
    struct unrecorded_version
    {
        /// Unset if it is not known.
        std::optional<serving::software_version> version;
        /// How it is known, for the log.
        std::string_view source;
        /// Time after which the version may be known.
        std::optional<duration> known_in;
    };
    /// @pre read.rows is set
    [[nodiscard]] unrecorded_version find_unrecorded_version(
        const pending_read& read, const serving::service_id& service) const;
    /// Returns a read that began after the call and covers the stream.
    asio::awaitable<std::shared_ptr<const pending_read>> wait_for_read(
        const request_id& stream, const stream_origin::stream_target& target);
    asio::awaitable<void> run_reads();
    /// Asks the agents about the streams whose origin the rows do not contain.
    asio::awaitable<void> ask_agents(pending_read& read);
    asio::awaitable<result<snapshot>> read_snapshot();
    /// Reads the regimes of all services and applies them.
    asio::awaitable<bool> read_regimes();
    /// Also stores the versions of the rows, as conditions of later writes.
    [[nodiscard]] regime_map decode_regimes(const platform::row_set& rows);
    void apply_regimes(const regime_map& read);

    /// Adds the open streams of paths whose services changed to the record.
    void record_moved_streams();
    asio::awaitable<void> write_records();
    /// Returns whether the record contains an addition to the open streams, at
    /// the latest after a time limit, or at once while it cannot be written.
    asio::awaitable<bool> wait_until_recorded(std::uint64_t addition);
    /// Takes over the streams that the previous incarnation recorded.
    asio::awaitable<bool> adopt_own_record();
    asio::awaitable<void> write_record();
    /// Writes the record soon, although no stream was added.
    void rewrite_record();
    [[nodiscard]] stream_origin::origin_map streams_to_record() const;
    [[nodiscard]] duration write_interval() const;

    asio::awaitable<void> follow_regimes();
    /// Adds and removes trackers, and passes the listed versions to them.
    void update_trackers();
    /// Reads the list again where only that is missing to trust a lapsed
    /// version again.
    void confirm_list_if_lapsed();
    /// Returns the regimes that have to be written.
    [[nodiscard]] regime_map due_regimes() const;
    asio::awaitable<void> write_due_regimes();
    asio::awaitable<void> write_regime(
        serving::service_id service, stream_origin::version_regime wanted);
    void set_regime(
        const serving::service_id& service,
        const stream_origin::version_regime& regime, std::string_view cause);
    asio::awaitable<void> sleep_for(duration time);

    asio::io_context& context_;
    shared_state& state_;
    platform::row_store_client& row_store_;
    route_record_sync route_record_sync_;
    /// Cancelled when a stream was added.
    asio::steady_timer record_changed_;
    /// Never expires; cancelled when the record was written.
    asio::steady_timer record_written_;
    /// The part of the table in which this gateway's row lies.
    std::string own_part_;
    /// The read that the next lookups wait for; null if none has to begin.
    std::shared_ptr<pending_read> next_read_;
    bool reading_ = false;
    /// Versions of the regimes' rows as last read.
    std::map<serving::service_id, platform::store_version> regime_rows_;
    mono_time regimes_read_at_;
    /// Time of the store's clock when the regimes were last read.
    stream_origin::store_time regimes_store_time_{};
    /// Additions to the open streams that the record contains.
    std::uint64_t recorded_additions_ = 0;
    /// Whether the last write of the record failed.
    bool record_failed_ = false;
};

} // namespace wagtailseam::gateway

#endif
