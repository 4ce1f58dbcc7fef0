// Finds out whether the configuration in force is the newest one.
#ifndef WAGTAILSEAM_GATEWAY_CONFIGURATION_CHECK_HPP
#define WAGTAILSEAM_GATEWAY_CONFIGURATION_CHECK_HPP

#include "core/clock.hpp"
#include "platform/table_watcher.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;

/// Lets requests wait for a read of the operator's table that began after them.
/// Not thread-safe.
class configuration_check
{
public:
    configuration_check(
        asio::io_context& context, platform::table_watcher& operator_table);
    configuration_check(const configuration_check&) = delete;
    configuration_check& operator=(const configuration_check&) = delete;

    /// Records that the table's rows were delivered. They are applied later.
    void record_delivery() { ++unapplied_deliveries_; }
    /// @param read_began when the read of the applied rows began
    void record_application(mono_time read_began);

    /// Returns once all that was confirmed before the call is in force, at the
    /// latest after a time limit and at once while the store is away.
    asio::awaitable<void> confirm();

private:
    asio::awaitable<void> wait_until(mono_time deadline);

    asio::io_context& context_;
    platform::table_watcher& operator_table_;
    /// Never expires; cancelled when rows were applied.
    asio::steady_timer applied_;
    std::size_t unapplied_deliveries_ = 0;
    /// When the latest read began whose rows, and all earlier ones, are
    /// applied.
    mono_time applied_read_began_;
    mono_time last_request_;
};

} // namespace wagtailseam::gateway

#endif
