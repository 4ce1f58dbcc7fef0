// Wire encoding of membership rows and loads.
#ifndef WAGTAILSEAM_CELL_GOSSIP_WIRE_HPP
#define WAGTAILSEAM_CELL_GOSSIP_WIRE_HPP

#include "cell_gossip/cell_poller.hpp"
#include "cell_gossip/cell_table.hpp"
#include "messages/wagtail.hpp"

#include <vector>

namespace wagtailseam::cell_gossip
{

/// Encodes rows as an exchange message.
[[nodiscard]] messages::cell_exchange encode_exchange(
    const std::vector<member_row>& rows);

/// Decodes the rows of an exchange. Rows without an id, with an unknown state
/// or with a malformed load are skipped.
[[nodiscard]] std::vector<member_row> decode_exchange(
    const messages::cell_exchange& exchange);

/// Builds the answer to a query: only the loads if the known fingerprint is
/// current, else all live rows.
[[nodiscard]] messages::cell_answer make_cell_answer(
    const cell_table& table, fingerprint known_fingerprint, mono_time now);

/// Decodes an answer.
[[nodiscard]] query_answered decode_cell_answer(
    cell_id cell, const messages::cell_answer& answer);

} // namespace wagtailseam::cell_gossip

#endif
