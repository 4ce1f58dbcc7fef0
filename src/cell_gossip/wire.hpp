// Rows and loads as they travel.
#ifndef WAGTAILSEAM_CELL_GOSSIP_WIRE_HPP
#define WAGTAILSEAM_CELL_GOSSIP_WIRE_HPP

#include "cell_gossip/cell_poller.hpp"
#include "cell_gossip/cell_table.hpp"
#include "messages/wagtail.hpp"

#include <vector>

namespace wagtailseam::cell_gossip
{

/// Writes rows into an exchange.
[[nodiscard]] messages::cell_exchange encode_exchange(
    const std::vector<member_row>& rows);

/// Reads rows; those without an id or with a malformed load are left out.
[[nodiscard]] std::vector<member_row> decode_exchange(
    const messages::cell_exchange& exchange);

/// Answers a question from a member's table.
[[nodiscard]] messages::cell_answer make_cell_answer(
    const cell_table& table, fingerprint known, mono_time now);

/// Reads an answer.
[[nodiscard]] query_answered decode_cell_answer(
    cell_id cell, const messages::cell_answer& answer);

} // namespace wagtailseam::cell_gossip

#endif
