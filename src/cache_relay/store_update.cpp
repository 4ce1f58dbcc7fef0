// MessagePack by nlohmann/json behind a mark; salts are sent once a datagram.
#include "cache_relay/store_update.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace wagtailseam::cache_relay
{
namespace
{

using nlohmann::json;

/// No other datagram between these processes begins so.
constexpr char mark = 'C';
/// Bytes of a store_update without changes but for its texts, at most.
constexpr std::size_t head_size = 96;
/// Bytes of a change beside its texts, at most.
constexpr std::size_t change_size = 24;

/// The changes of one datagram.
struct segment
{
    std::uint64_t after = 0;
    std::uint64_t next = 0;
    json salts = json::array();
    json changes = json::array();
    std::size_t size = head_size;
};

/// Returns the index of a salt among those of the datagram.
std::size_t index_of(segment& in, const std::string& salt)
{
    const auto known = std::find(in.salts.begin(), in.salts.end(), salt);
    const auto index =
        static_cast<std::size_t>(std::distance(in.salts.begin(), known));
    if (known == in.salts.end())
    {
        in.salts.push_back(salt);
        in.size += salt.size() + change_size;
    }
    return index;
}

void add(segment& to, const serving::cache_change& change)
{
    const auto& part = change.key.part.value();
    const auto salt = index_of(to, change.key.salt.value());
    to.changes.push_back(
        json::array({change.number, salt, part, change.tokens.value()}));
    to.size += part.size() + change_size;
}

std::string write(const store_update& update, const segment& of)
{
    const auto& answer = update.answer;
    const json document = json::array(
        {update.store.value(), update.unreachable, answer.epoch.value(),
         of.after, of.next, answer.clock_ms ? json(*answer.clock_ms) : json(),
         of.salts, of.changes});
    std::string datagram(1, mark);
    json::to_msgpack(document, datagram);
    return datagram;
}

serving::cache_change read_change(const json& from, const json& salts)
{
    const auto salt = from.at(1).get<std::size_t>();
    return {
        .key =
            {serving::cache_salt{salts.at(salt).get<std::string>()},
             serving::part_id{from.at(2).get<std::string>()}},
        .tokens = token_count{from.at(3).get<std::uint64_t>()},
        .number = from.at(0).get<std::uint64_t>()};
}

} // namespace

std::vector<std::string> encode(const store_update& update)
{
    const auto& answer = update.answer;
    std::vector<std::string> datagrams;
    segment open{.after = answer.gap ? answer.next_cursor : answer.after};
    open.size += update.store.value().size();
    const std::size_t empty_size = open.size;
    for (const auto& change : answer.changes)
    {
        if (answer.gap)
        {
            break;
        }
        const std::size_t wanted = change.key.part.value().size() +
                                   change.key.salt.value().size() +
                                   2 * change_size;
        if (open.size + wanted > max_datagram && !open.changes.empty())
        {
            open.next = open.changes.back().at(0).get<std::uint64_t>();
            datagrams.push_back(write(update, open));
            open = segment{.after = open.next, .size = empty_size};
        }
        add(open, change);
    }
    open.next = answer.next_cursor;
    datagrams.push_back(write(update, open));
    return datagrams;
}

bool is_store_update(std::string_view datagram) noexcept
{
    return datagram.starts_with(mark);
}

result<store_update> decode(std::string_view datagram)
{
    if (!is_store_update(datagram))
    {
        return fail(result_code::malformed_message, "no notice of a store");
    }
    const auto document = json::from_msgpack(datagram.substr(1), true, false);
    try
    {
        store_update update;
        update.store = serving::service_id{document.at(0).get<std::string>()};
        update.unreachable = document.at(1).get<bool>();
        update.answer.epoch =
            serving::store_epoch{document.at(2).get<std::uint64_t>()};
        update.answer.after = document.at(3).get<std::uint64_t>();
        update.answer.next_cursor = document.at(4).get<std::uint64_t>();
        if (!document.at(5).is_null())
        {
            update.answer.clock_ms = document.at(5).get<std::int64_t>();
        }
        for (const auto& change : document.at(7))
        {
            update.answer.changes.push_back(
                read_change(change, document.at(6)));
        }
        return update;
    }
    catch (const json::exception& raised)
    {
        return fail(result_code::malformed_message, raised.what());
    }
}

} // namespace wagtailseam::cache_relay
