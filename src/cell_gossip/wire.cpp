// Conversion between rows and messages.
#include "cell_gossip/wire.hpp"

#include <array>

namespace wagtailseam::cell_gossip
{
namespace
{

constexpr std::size_t load_bytes = 3;

std::string to_bytes(const member_load& load)
{
    const std::array<char, load_bytes> bytes{
        static_cast<char>(load.queued_tokens),
        static_cast<char>(load.prefill_rate),
        static_cast<char>(load.running_requests)};
    return {bytes.data(), bytes.size()};
}

member_load load_at(std::string_view bytes, std::size_t at)
{
    return {
        .queued_tokens = static_cast<std::uint8_t>(bytes[at]),
        .prefill_rate = static_cast<std::uint8_t>(bytes[at + 1]),
        .running_requests = static_cast<std::uint8_t>(bytes[at + 2])};
}

void fill(messages::cell_row& out, const member_row& row)
{
    out.set_member(row.member.value());
    out.set_epoch(row.version.epoch);
    out.set_beat(row.version.heartbeat);
    out.set_incarnation(row.identity.process_incarnation.value());
    out.set_state(static_cast<std::uint32_t>(row.identity.state));
    out.set_weight_version(row.identity.running_version.value());
    out.set_load(to_bytes(row.load));
    out.set_clock_us(row.clock_us);
}

bool well_formed(const messages::cell_row& row)
{
    const auto last = static_cast<std::uint32_t>(member_state::draining);
    return !row.member().empty() && row.load().size() == load_bytes &&
           row.state() <= last;
}

member_row row_of(const messages::cell_row& row)
{
    return {
        .member = upstream_id{row.member()},
        .version = {row.epoch(), row.beat()},
        .identity =
            {.process_incarnation = incarnation{row.incarnation()},
             .state = static_cast<member_state>(row.state()),
             .running_version = weight_version{row.weight_version()}},
        .load = load_at(row.load(), 0),
        .clock_us = row.clock_us()};
}

std::vector<member_row> read_rows(const auto& rows)
{
    std::vector<member_row> read;
    for (const messages::cell_row& row : rows)
    {
        if (well_formed(row))
        {
            read.push_back(row_of(row));
        }
    }
    return read;
}

} // namespace

messages::cell_exchange encode_exchange(const std::vector<member_row>& rows)
{
    messages::cell_exchange exchange;
    for (const member_row& row : rows)
    {
        fill(*exchange.add_rows(), row);
    }
    return exchange;
}

std::vector<member_row> decode_exchange(const messages::cell_exchange& exchange)
{
    return read_rows(exchange.rows());
}

messages::cell_answer make_cell_answer(
    const cell_table& table, fingerprint known, mono_time now)
{
    const std::vector<member_row> rows = table.live_rows(now);
    const fingerprint own = compute_fingerprint(rows);
    messages::cell_answer answer;
    answer.set_fingerprint(own.value());
    for (const member_row& row : rows)
    {
        if (own == known)
        {
            *answer.mutable_loads() += to_bytes(row.load);
        }
        else
        {
            fill(*answer.add_rows(), row);
        }
    }
    return answer;
}

query_answered decode_cell_answer(
    cell_id cell, const messages::cell_answer& answer)
{
    query_answered read{
        .cell = cell,
        .table_fingerprint = fingerprint{answer.fingerprint()},
        .rows = read_rows(answer.rows()),
        .loads = {}};
    const std::string& loads = answer.loads();
    for (std::size_t at = 0; at + load_bytes <= loads.size(); at += load_bytes)
    {
        read.loads.push_back(load_at(loads, at));
    }
    return read;
}

} // namespace wagtailseam::cell_gossip
