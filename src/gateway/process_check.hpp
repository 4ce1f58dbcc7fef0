// Asks an upstream which of its processes runs, if a connection to it may lead
// to another one than the list describes.
#ifndef WAGTAILSEAM_GATEWAY_PROCESS_CHECK_HPP
#define WAGTAILSEAM_GATEWAY_PROCESS_CHECK_HPP

#include "gateway/shared_state.hpp"
#include "http/client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;

/// Not thread-safe. Must outlive its coroutines.
class process_check
{
public:
    process_check(shared_state& state, http::client& upstream_client)
        : state_(state), upstream_client_(upstream_client)
    {
    }

    /// Returns whether a connection that a response was received on leads to
    /// the process that an entry describes. Asks the upstream for its report
    /// unless that is known. An upstream that does not state when its process
    /// started is trusted.
    /// @param entry as it was listed when the request was sent
    /// @param limit false is returned after this time at the latest
    asio::awaitable<bool> leads_to_listed_process(
        serving::upstream entry, mono_time connected_at, duration limit);

    /// Asks the upstream of an entry for its report. Returns whether the
    /// process of the entry answers; an upstream that does not state when its
    /// process started is trusted.
    asio::awaitable<bool> is_running(serving::upstream entry);
    /// Returns whether the upstream states the start of the listed process. One
    /// that makes no statement may be another process.
    asio::awaitable<bool> confirms_process(serving::upstream entry);

    /// Returns whether the successor of a process is listed. Waits for the next
    /// reads of the list.
    asio::awaitable<bool> wait_until_replaced(
        upstream_process process, duration limit);

private:
    /// A report that one or more checks wait for.
    struct pending_report
    {
        explicit pending_report(const asio::any_io_executor& executor)
            : received(executor, asio::steady_timer::time_point::max())
        {
        }

        /// The request was not sent earlier.
        mono_time sent_at;
        /// Never expires; cancelled when the request has ended.
        asio::steady_timer received;
        /// Whether the upstream states no start time.
        bool is_unstated = false;
        bool has_ended = false;
    };

    /// Also sets when the request was sent, as far as that is known.
    asio::awaitable<result<http::response>> receive_report(
        http::address upstream, std::shared_ptr<pending_report> pending);
    asio::awaitable<void> fetch_report(
        serving::upstream entry, std::shared_ptr<pending_report> pending);
    /// Applies the report's start time, 0 if it states none.
    void apply_report(
        const serving::upstream& entry, std::uint64_t started_ms,
        pending_report& pending);

    shared_state& state_;
    http::client& upstream_client_;
    std::map<http::address, std::shared_ptr<pending_report>> pending_;
};

} // namespace wagtailseam::gateway

#endif
