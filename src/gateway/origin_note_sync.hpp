// Notes the origins of streams at agents, and asks the agents about streams
// that the row store does not know.
#ifndef WAGTAILSEAM_GATEWAY_ORIGIN_NOTE_SYNC_HPP
#define WAGTAILSEAM_GATEWAY_ORIGIN_NOTE_SYNC_HPP

#include "gateway/peer_directory.hpp"
#include "gateway/shared_state.hpp"
#include "stream_origin/origin_note.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace wagtailseam::gateway
{

/// Not thread-safe. Runs until the io_context stops.
class origin_note_sync
{
public:
    origin_note_sync(
        asio::io_context& context, shared_state& state, peer_directory& peers);
    origin_note_sync(const origin_note_sync&) = delete;
    origin_note_sync& operator=(const origin_note_sync&) = delete;

    /// Sets the functions of the shared state.
    void start();
    /// Records that the agent beside an upstream has sent a datagram.
    void record_agent(
        const upstream_id& upstream, const asio::ip::udp::endpoint& address);
    /// @pre stream_origin::is_origin_answer(datagram)
    void handle_answer(
        std::string_view datagram, const asio::ip::udp::endpoint& sender);

private:
    struct agent_contact
    {
        asio::ip::udp::endpoint address;
        mono_time heard_at;
    };
    /// Streams that this gateway has asked all agents about.
    struct pending_inquiry
    {
        explicit pending_inquiry(asio::io_context& context) : done(context) {}

        std::vector<stream_origin::origin_question> questions;
        noted_streams found;
        /// Answers that have not arrived: number of the question, and address
        /// of the agent.
        std::set<std::pair<std::uint64_t, asio::ip::udp::endpoint>> missing;
        /// Cancelled when no answer is missing.
        asio::steady_timer done;
    };

    /// Sends a note to the agent beside the upstream and to another one, since
    /// both processes of a VM may end at once.
    void note(
        const request_id& stream, const stream_origin::origin& begun_by,
        const upstream_id& upstream);
    asio::awaitable<noted_streams> ask(std::vector<request_id> streams);
    /// Forgets agents that fell silent. Returns the addresses of the others.
    [[nodiscard]] std::vector<asio::ip::udp::endpoint> heard_agents();

    asio::io_context& context_;
    shared_state& state_;
    peer_directory& peers_;
    /// By the upstream beside which the agent runs.
    std::map<upstream_id, agent_contact> agents_;
    /// By the number of each question.
    std::map<std::uint64_t, std::shared_ptr<pending_inquiry>> inquiries_;
};

} // namespace wagtailseam::gateway

#endif
