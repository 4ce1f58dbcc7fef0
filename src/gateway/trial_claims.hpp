// Claims trials of contents that may crash upstreams, in the row store or,
// while that is absent, among the gateways.
#ifndef WAGTAILSEAM_GATEWAY_TRIAL_CLAIMS_HPP
#define WAGTAILSEAM_GATEWAY_TRIAL_CLAIMS_HPP

#include "gateway/peer_directory.hpp"
#include "gateway/shared_state.hpp"
#include "platform/row_store_client.hpp"
#include "quarantine/peer_trials.hpp"
#include "quarantine/trial_claim.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;

/// Table with one row for each claimed content. The key is its fingerprint.
inline constexpr const char* trial_table = "quarantine_trials";

/// While the store is absent, the gateways agree by datagrams on the trials of
/// prompt parts, which many callers wait for. Whole requests are not tried
/// then.
class trial_claims
{
public:
    trial_claims(
        asio::io_context& context, shared_state& state,
        platform::row_store_client& row_store, const peer_directory& peers);

    /// Lets the requests of this gateway claim their trials here, and removes
    /// the expired claims of the table.
    void start();

    /// Claims the trial of a content for this gateway.
    asio::awaitable<quarantine::claim_outcome> claim(
        quarantine::content_fingerprint content);
    /// Removes a claim of this gateway in the background; nothing if it has
    /// none. A claim that cannot be removed expires.
    void release(const quarantine::content_fingerprint& content);
    /// @pre quarantine::is_trial_announcement(datagram)
    void handle_datagram(std::string_view datagram);

private:
    struct written_claim
    {
        quarantine::claim_outcome outcome =
            quarantine::claim_outcome::unavailable;
        /// Of the row, if it was written.
        platform::store_version version;
        /// Why not, for the log.
        std::string detail;
    };

    asio::awaitable<written_claim> write_claim(
        quarantine::content_fingerprint content);
    /// Removes a claim of this gateway in the background, if it has one.
    void remove_held_claim(const quarantine::content_fingerprint& content);
    /// Claims the trial unless another gateway runs it or goes first.
    /// @return unavailable if the others are unknown, or if it is the trial of
    ///         a whole request
    asio::awaitable<quarantine::claim_outcome> claim_among_peers(
        quarantine::content_fingerprint content);
    /// Removes a claim unless another one has replaced it. @return whether the
    /// store answered; a failure is logged
    asio::awaitable<bool> remove_claim(
        std::string key, platform::store_version expected);
    /// @return the claim that stands in the way; nullopt if there is none, also
    ///         after a row that cannot be read was logged
    [[nodiscard]] static std::optional<quarantine::trial_claim> find_holder(
        const platform::write_conflict& conflict);
    asio::awaitable<void> remove_expired();

    asio::io_context& context_;
    shared_state& state_;
    platform::row_store_client& row_store_;
    const peer_directory& peers_;
    quarantine::peer_trials peer_trials_;
    /// Until then, claims are not written, since the store did not answer.
    mono_time store_absent_until_;
    /// Versions of the rows of this gateway's claims. Those that were not
    /// released have expired or are replaced by the next claim.
    std::map<quarantine::content_fingerprint, platform::store_version> held_;
};

} // namespace wagtailseam::gateway

#endif
