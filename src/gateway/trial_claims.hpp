// Claims trials of requests that may crash upstreams, in the row store.
#ifndef WAGTAILSEAM_GATEWAY_TRIAL_CLAIMS_HPP
#define WAGTAILSEAM_GATEWAY_TRIAL_CLAIMS_HPP

#include "gateway/shared_state.hpp"
#include "platform/row_store_client.hpp"
#include "quarantine/trial_claim.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;

/// Table with one row for each claimed content. The key is its fingerprint.
inline constexpr const char* trial_table = "quarantine_trials";

/// Without the store, no trial can be claimed: each gateway would make its own.
class trial_claims
{
public:
    trial_claims(
        asio::io_context& context, shared_state& state,
        platform::row_store_client& row_store);

    /// Lets the requests of this gateway claim their trials here, and removes
    /// the expired claims of the table.
    void start();

    /// Claims the trial of a content for this gateway.
    /// @return whether this gateway may run the trial now
    asio::awaitable<bool> claim(quarantine::content_fingerprint content);

private:
    struct claim_outcome
    {
        bool claimed = false;
        /// Why not, for the log.
        std::string detail;
    };

    asio::awaitable<claim_outcome> write_claim(std::string key);
    /// @return the claim that stands in the way; nullopt if there is none, also
    ///         after a row that cannot be read was logged
    [[nodiscard]] static std::optional<quarantine::trial_claim> find_holder(
        const platform::write_conflict& conflict);
    asio::awaitable<void> remove_expired();

    asio::io_context& context_;
    shared_state& state_;
    platform::row_store_client& row_store_;
};

} // namespace wagtailseam::gateway

#endif
