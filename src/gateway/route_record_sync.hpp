// Reads and writes the record of the routes of streams.
#ifndef WAGTAILSEAM_GATEWAY_ROUTE_RECORD_SYNC_HPP
#define WAGTAILSEAM_GATEWAY_ROUTE_RECORD_SYNC_HPP

#include "gateway/shared_state.hpp"
#include "platform/row_store_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;

/// Table with one row, which holds the record.
inline constexpr const char* route_record_table = "stream_routes";
inline constexpr const char* route_record_key = "routes";
/// 65,536 bytes in base64, the limit of the store. A gateway whose record would
/// be larger writes none, and records all its streams.
inline constexpr std::size_t max_route_record_bytes = 49152;

/// Runs until the io_context stops. Not thread-safe.
class route_record_sync
{
public:
    /// @param on_read called after the record was read or written
    route_record_sync(
        asio::io_context& context, shared_state& state,
        platform::row_store_client& row_store, std::function<void()> on_read);
    route_record_sync(const route_record_sync&) = delete;
    route_record_sync& operator=(const route_record_sync&) = delete;

    void start();
    /// Reads the record and applies it to the shared state.
    asio::awaitable<result<void>> read();

private:
    asio::awaitable<void> follow();
    asio::awaitable<void> write_if_due();
    asio::awaitable<void> sleep_for(duration time);

    asio::io_context& context_;
    shared_state& state_;
    platform::row_store_client& row_store_;
    std::function<void()> on_read_;
    /// Version of the row as last read; 0 if it does not exist.
    platform::store_version row_version_;
    /// Time of the store's clock at the last read.
    stream_origin::store_time store_now_{};
};

} // namespace wagtailseam::gateway

#endif
