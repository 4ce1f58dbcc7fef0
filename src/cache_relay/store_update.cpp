// A datagram is a type byte followed by a MessagePack array; each salt is sent
// once per datagram.
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

/// First byte of a store update; no other datagram type begins with it.
constexpr char type_byte = 'C';
/// Maximum encoded size in bytes of an update without changes, excluding its
/// strings.
constexpr std::size_t max_header_bytes = 96;
/// Maximum encoded size in bytes of a change, excluding its strings.
constexpr std::size_t max_change_bytes = 24;

/// Content of one datagram.
struct segment
{
    std::uint64_t after = 0;
    std::uint64_t next = 0;
    json salts = json::array();
    json changes = json::array();
    /// Upper bound of the encoded size in bytes.
    std::size_t max_size = max_header_bytes;
};

/// Returns the index of a salt within the segment; adds it if it is new.
std::size_t find_or_add_salt(segment& target, const std::string& salt)
{
    const auto found =
        std::find(target.salts.begin(), target.salts.end(), salt);
    const auto index =
        static_cast<std::size_t>(std::distance(target.salts.begin(), found));
    if (found == target.salts.end())
    {
        target.salts.push_back(salt);
        target.max_size += salt.size() + max_change_bytes;
    }
    return index;
}

void append(segment& target, const serving::cache_change& change)
{
    const auto& part = change.key.part.value();
    const auto salt = find_or_add_salt(target, change.key.salt.value());
    target.changes.push_back(
        json::array({change.number, salt, part, change.tokens.value()}));
    target.max_size += part.size() + max_change_bytes;
}

std::string encode_segment(const store_update& update, const segment& content)
{
    const auto& answer = update.answer;
    const json document = json::array(
        {update.store.value(), update.unreachable, answer.epoch.value(),
         content.after, content.next,
         answer.clock_ms ? json(*answer.clock_ms) : json(), content.salts,
         content.changes});
    std::string datagram(1, type_byte);
    json::to_msgpack(document, datagram);
    return datagram;
}

serving::cache_change decode_change(const json& entry, const json& salts)
{
    const auto salt_index = entry.at(1).get<std::size_t>();
    return {
        .key =
            {serving::cache_salt{salts.at(salt_index).get<std::string>()},
             serving::part_id{entry.at(2).get<std::string>()}},
        .tokens = token_count{entry.at(3).get<std::uint64_t>()},
        .number = entry.at(0).get<std::uint64_t>()};
}

} // namespace

std::vector<std::string> encode(const store_update& update)
{
    const auto& answer = update.answer;
    std::vector<std::string> datagrams;
    segment current{.after = answer.gap ? answer.next_cursor : answer.after};
    current.max_size += update.store.value().size();
    const std::size_t empty_segment_size = current.max_size;
    for (const auto& change : answer.changes)
    {
        if (answer.gap)
        {
            break;
        }
        const std::size_t max_change_size = change.key.part.value().size() +
                                            change.key.salt.value().size() +
                                            2 * max_change_bytes;
        if (current.max_size + max_change_size > max_datagram_bytes &&
            !current.changes.empty())
        {
            current.next = current.changes.back().at(0).get<std::uint64_t>();
            datagrams.push_back(encode_segment(update, current));
            current =
                segment{.after = current.next, .max_size = empty_segment_size};
        }
        append(current, change);
    }
    current.next = answer.next_cursor;
    datagrams.push_back(encode_segment(update, current));
    return datagrams;
}

bool is_store_update(std::string_view datagram) noexcept
{
    return datagram.starts_with(type_byte);
}

result<store_update> decode(std::string_view datagram)
{
    if (!is_store_update(datagram))
    {
        return fail(result_code::malformed_message, "not a store update");
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
                decode_change(change, document.at(6)));
        }
        return update;
    }
    catch (const json::exception& error)
    {
        return fail(result_code::malformed_message, error.what());
    }
}

} // namespace wagtailseam::cache_relay
