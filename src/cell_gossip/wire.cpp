// Conversion between membership rows and wire messages.
#include "cell_gossip/wire.hpp"

#include <array>

namespace wagtailseam::cell_gossip
{
namespace
{

constexpr std::size_t encoded_load_bytes = 3;

std::string encode_load(const member_load& load)
{
    const std::array<char, encoded_load_bytes> bytes{
        static_cast<char>(load.queued_tokens),
        static_cast<char>(load.prefill_rate),
        static_cast<char>(load.running_requests)};
    return {bytes.data(), bytes.size()};
}

member_load decode_load(std::string_view bytes, std::size_t offset)
{
    return {
        .queued_tokens = static_cast<std::uint8_t>(bytes[offset]),
        .prefill_rate = static_cast<std::uint8_t>(bytes[offset + 1]),
        .running_requests = static_cast<std::uint8_t>(bytes[offset + 2])};
}

void encode_row(messages::cell_row& out, const member_row& row)
{
    out.set_member(row.member.value());
    out.set_epoch(row.version.epoch);
    out.set_beat(row.version.heartbeat);
    out.set_incarnation(row.identity.process_incarnation.value());
    out.set_state(static_cast<std::uint32_t>(row.identity.state));
    out.set_weight_version(row.identity.running_version.value());
    out.set_load(encode_load(row.load));
    out.set_clock_us(row.clock_us);
}

bool is_well_formed(const messages::cell_row& row)
{
    const auto last_state = static_cast<std::uint32_t>(member_state::draining);
    return !row.member().empty() && row.load().size() == encoded_load_bytes &&
           row.state() <= last_state;
}

member_row decode_row(const messages::cell_row& row)
{
    return {
        .member = upstream_id{row.member()},
        .version = {row.epoch(), row.beat()},
        .identity =
            {.process_incarnation = incarnation{row.incarnation()},
             .state = static_cast<member_state>(row.state()),
             .running_version = weight_version{row.weight_version()}},
        .load = decode_load(row.load(), 0),
        .clock_us = row.clock_us()};
}

std::vector<member_row> decode_rows(const auto& rows)
{
    std::vector<member_row> decoded;
    for (const messages::cell_row& row : rows)
    {
        if (is_well_formed(row))
        {
            decoded.push_back(decode_row(row));
        }
    }
    return decoded;
}

} // namespace

messages::cell_exchange encode_exchange(const std::vector<member_row>& rows)
{
    messages::cell_exchange exchange;
    for (const member_row& row : rows)
    {
        encode_row(*exchange.add_rows(), row);
    }
    return exchange;
}

std::vector<member_row> decode_exchange(const messages::cell_exchange& exchange)
{
    return decode_rows(exchange.rows());
}

messages::cell_answer make_cell_answer(
    const cell_table& table, fingerprint known_fingerprint, mono_time now)
{
    const std::vector<member_row> rows = table.live_rows(now);
    const fingerprint current = compute_fingerprint(rows);
    messages::cell_answer answer;
    answer.set_fingerprint(current.value());
    for (const member_row& row : rows)
    {
        if (current == known_fingerprint)
        {
            *answer.mutable_loads() += encode_load(row.load);
        }
        else
        {
            encode_row(*answer.add_rows(), row);
        }
    }
    return answer;
}

query_answered decode_cell_answer(
    cell_id cell, const messages::cell_answer& answer)
{
    query_answered decoded{
        .cell = cell,
        .table_fingerprint = fingerprint{answer.fingerprint()},
        .rows = decode_rows(answer.rows()),
        .loads = {}};
    const std::string& loads = answer.loads();
    for (std::size_t offset = 0; offset + encoded_load_bytes <= loads.size();
         offset += encoded_load_bytes)
    {
        decoded.loads.push_back(decode_load(loads, offset));
    }
    return decoded;
}

} // namespace wagtailseam::cell_gossip
