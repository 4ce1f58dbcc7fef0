// Runs non-idempotent calls: carries out the commands of their filing cores,
// and sends their writes to the platform's table in common transactions.
#ifndef WAGTAILSEAM_ENTRY_FILING_DESK_HPP
#define WAGTAILSEAM_ENTRY_FILING_DESK_HPP

#include "caller_http/chat_request.hpp"
#include "entry/peers.hpp"
#include "filing/claim_batcher.hpp"
#include "filing/filing_core.hpp"
#include "http/server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>

namespace wagtailseam::entry
{

/// Owned by the entry's app; outlives every filing.
class filing_desk
{
public:
    using write_callback =
        std::function<void(table_service::transaction_result)>;

    explicit filing_desk(peers& shared);

    /// Serves one call of a service that may not be repeated.
    /// @pre the call has an idempotency key
    asio::awaitable<void> serve(
        http::exchange& exchange, request_id id,
        configuration::workspace_settings workspace,
        caller_http::service_call call);

    /// Sends a write together with others; calls back with its own answer.
    void write(
        table_service::row_write write, bool urgent, write_callback callback);

    /// Filings that have not ended; some of them only record an outcome.
    [[nodiscard]] std::size_t active() const noexcept { return active_; }
    void filing_began() noexcept { ++active_; }
    void filing_ended() noexcept { --active_; }

    /// Random for each call.
    [[nodiscard]] filing::claim_nonce next_nonce();

private:
    void feed(const filing::batcher_event& event);
    void obey(const filing::send_transaction& command);
    void obey(const filing::write_answered& command);
    void obey(const filing::set_batch_timer& command);
    asio::awaitable<void> send(filing::send_transaction command);

    peers& shared_;
    filing::claim_batcher batcher_;
    asio::steady_timer timer_;
    /// Writes that wait or are under way.
    std::map<filing::write_ticket, write_callback> callbacks_;
    std::uint64_t last_ticket_ = 0;
    std::size_t active_ = 0;
};

} // namespace wagtailseam::entry

#endif
