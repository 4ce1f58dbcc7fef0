// This sidecar's part in its cell: timers and messages of the gossip core.
#ifndef WAGTAILSEAM_SIDECAR_CELL_MEMBER_HPP
#define WAGTAILSEAM_SIDECAR_CELL_MEMBER_HPP

#include "cell_gossip/gossip_protocol.hpp"
#include "configuration/configuration.hpp"
#include "peer/peer.hpp"
#include "spread/distributor.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>

namespace wagtailseam::sidecar
{

namespace asio = boost::asio;

class cell_member
{
public:
    cell_member(
        asio::io_context& context, peer::control_client& control,
        upstream_id self, incarnation life, std::uint64_t seed);

    /// Takes the members and timing of a configuration in force.
    void configure(
        const configuration::configuration& wanted,
        const spread::distributor& numbers);

    /// Takes what this sidecar says of itself.
    void set_self(
        const cell_gossip::member_identity& identity,
        const cell_gossip::member_load& load);

    /// Answers an exchange or a question. @return false for other messages
    bool answer(
        const messages::control_request& asked, messages::control_reply& reply);

    /// Members that were heard of lately.
    [[nodiscard]] std::size_t live() const;

private:
    void feed(const cell_gossip::gossip_event& event);
    void obey(const cell_gossip::begin_exchange& command);
    void obey(const cell_gossip::reply_to_exchange& command);
    void obey(const cell_gossip::set_gossip_timer& command);
    asio::awaitable<void> exchange(
        http::address to, std::vector<cell_gossip::member_row> rows);

    asio::io_context& context_;
    peer::control_client& control_;
    upstream_id self_;
    incarnation life_;
    random_source random_;
    asio::steady_timer timer_;
    /// Calendar time at the start orders this life after earlier ones.
    std::uint64_t epoch_;
    std::optional<cell_gossip::gossip_protocol> core_;
    std::map<upstream_id, http::address> addresses_;
    const spread::distributor* numbers_ = nullptr;
    cell_gossip::member_identity identity_;
    cell_gossip::member_load load_;
    /// The answer to the exchange being handled; empty between events.
    std::vector<cell_gossip::member_row> answer_;
};

} // namespace wagtailseam::sidecar

#endif
