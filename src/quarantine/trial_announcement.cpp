// A datagram is a type byte followed by a MessagePack array of the content, the
// gateway and whether it has claimed the trial.
#include "quarantine/trial_announcement.hpp"

#include <nlohmann/json.hpp>

namespace wagtailseam::quarantine
{
namespace
{

using nlohmann::json;

/// First byte of an announcement; no other datagram type between these
/// processes begins with it.
constexpr char type_byte = 'T';
constexpr std::size_t field_count = 3;

} // namespace

std::string encode_datagram(const trial_announcement& announcement)
{
    std::string datagram(1, type_byte);
    json::to_msgpack(
        json::array(
            {announcement.content.value().hex(), announcement.gateway.value(),
             announcement.stage == trial_stage::claimed}),
        datagram);
    return datagram;
}

bool is_trial_announcement(std::string_view datagram) noexcept
{
    return datagram.starts_with(type_byte);
}

result<trial_announcement> decode_trial_announcement(std::string_view datagram)
{
    if (!is_trial_announcement(datagram))
    {
        return fail(
            result_code::malformed_message,
            "datagram does not contain a trial announcement");
    }
    const auto fields = json::from_msgpack(datagram.substr(1), true, false);
    if (!fields.is_array() || fields.size() != field_count ||
        !fields[0].is_string() || !fields[1].is_string() ||
        !fields[2].is_boolean())
    {
        return fail(
            result_code::malformed_message,
            "trial announcement lacks a content, a gateway or a stage");
    }
    const auto content =
        digest::from_hex(fields[0].get_ref<const std::string&>());
    if (content == digest{})
    {
        return fail(
            result_code::malformed_message,
            "trial announcement names no content: " +
                fields[0].get_ref<const std::string&>());
    }
    return trial_announcement{
        .content = content_fingerprint(content),
        .gateway = vm_id(fields[1].get<std::string>()),
        .stage = fields[2].get<bool>() ? trial_stage::claimed
                                       : trial_stage::intended};
}

} // namespace wagtailseam::quarantine
