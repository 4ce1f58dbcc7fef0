// Keeps the directory of upstreams up to date by asking one member of each
// cell.
#ifndef WAGTAILSEAM_ENTRY_CELL_WATCH_HPP
#define WAGTAILSEAM_ENTRY_CELL_WATCH_HPP

#include "cell_gossip/cell_poller.hpp"
#include "entry/peers.hpp"

#include <boost/asio/steady_timer.hpp>

namespace wagtailseam::entry
{

class cell_watch
{
public:
    explicit cell_watch(peers& shared);

    /// Takes the cells and timing of a configuration in force.
    void configure(const configuration::configuration& wanted);

private:
    void feed(const cell_gossip::poller_event& event);
    void obey(const cell_gossip::query_member& command);
    void obey(const cell_gossip::set_poll_timer& command);
    void obey(const cell_gossip::cell_view_changed& command);
    asio::awaitable<void> ask(
        cell_gossip::query_member question, http::address to);

    peers& shared_;
    asio::steady_timer timer_;
    cell_gossip::cell_poller core_;
};

} // namespace wagtailseam::entry

#endif
