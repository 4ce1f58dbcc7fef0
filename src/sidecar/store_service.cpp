// Routes of the store role. Each write arrives whole, so that a block is
// pending only while its request is handled.
#include "sidecar/store_service.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace wagtailseam::sidecar
{
namespace
{

using namespace kept_cache;

constexpr std::string_view prefix = "/v1/blocks/";
constexpr unsigned status_refused = 409;

/// Returns the value of a query field, empty when it is absent.
std::string_view query(const http::request& asked, std::string_view name)
{
    std::string_view rest = asked.target;
    const std::size_t mark = rest.find('?');
    rest = mark == std::string_view::npos ? "" : rest.substr(mark + 1);
    while (!rest.empty())
    {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
        {
            return pair.substr(equals + 1);
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

std::uint64_t number(const http::request& asked, std::string_view name)
{
    const std::string_view text = query(asked, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

block_id id(const http::request& asked, std::string_view name)
{
    return digest::from_hex(query(asked, name));
}

template <class T>
const T* find(const std::vector<store_command>& from)
{
    for (const store_command& command : from)
    {
        if (const T* const found = std::get_if<T>(&command))
        {
            return found;
        }
    }
    return nullptr;
}

} // namespace

store_service::store_service(
    block_store_options options, incarnation life, random_source random,
    telemetry::metrics& metrics)
    : life_(life), metrics_(metrics), store_(options, life, random)
{
}

bool store_service::serves(std::string_view path) noexcept
{
    return path.substr(0, prefix.size()) == prefix;
}

http::response store_service::handle(const http::request& asked, mono_time now)
{
    const std::string_view route = asked.path().substr(prefix.size());
    http::response answer;
    if (route == "write")
    {
        answer = write(asked, now);
    }
    else if (route == "open")
    {
        answer = open(asked, now);
    }
    else if (route == "read")
    {
        answer = read(asked, now);
    }
    else if (route == "held")
    {
        answer = held(asked);
    }
    else if (route == "release")
    {
        apply(release_pin{pin_id{number(asked, "pin")}}, now);
    }
    else if (route == "free")
    {
        apply(free_block{id(asked, "id")}, now);
    }
    else
    {
        answer = refuse({call_refused{{}, result_code::unknown_route}});
    }
    publish();
    return answer;
}

void store_service::tick(mono_time now)
{
    apply(store_tick{}, now);
    publish();
}

http::response store_service::write(const http::request& asked, mono_time now)
{
    const auto begun = apply(
        begin_write{
            .scope = scope_tag{number(asked, "scope")},
            .id = id(asked, "id"),
            .parent = id(asked, "parent"),
            .length = byte_count{asked.body.size()},
            .content = id(asked, "content"),
            .recompute_cost =
                duration(static_cast<std::int64_t>(number(asked, "cost_us")))},
        now);
    if (find<write_committed>(begun) != nullptr)
    {
        return {};
    }
    const auto* const accepted = find<write_accepted>(begun);
    if (accepted == nullptr)
    {
        return refuse(begun);
    }
    bytes_[accepted->ref] = asked.body;
    const auto ended = apply(
        finish_write{
            {},
            accepted->ref,
            byte_count{asked.body.size()},
            sha256(asked.body)},
        now);
    return find<write_committed>(ended) != nullptr ? http::response{}
                                                   : refuse(ended);
}

http::response store_service::open(const http::request& asked, mono_time now)
{
    const auto answers = apply(
        open_block{{}, scope_tag{number(asked, "scope")}, id(asked, "id")},
        now);
    const auto* const opened = find<block_opened>(answers);
    if (opened == nullptr)
    {
        return refuse(answers);
    }
    const nlohmann::json body{
        {"store", opened->ref.store.value()},
        {"generation", opened->ref.generation.value()},
        {"pin", opened->pin.value()},
        {"length", opened->length.value()},
        {"content", opened->content.hex()}};
    http::response answer;
    answer.body = body.dump();
    return answer;
}

http::response store_service::read(const http::request& asked, mono_time now)
{
    const block_ref ref{
        incarnation{number(asked, "store")}, id(asked, "id"),
        block_generation{number(asked, "generation")}};
    const pin_id pin{number(asked, "pin")};
    const auto allowed = apply(
        read_chunk{
            {},
            pin,
            ref,
            byte_count{number(asked, "offset")},
            byte_count{number(asked, "length")}},
        now);
    const auto* const chunk = find<chunk_allowed>(allowed);
    if (chunk == nullptr)
    {
        return refuse(allowed);
    }
    http::response answer;
    answer.content_type = "application/octet-stream";
    answer.body =
        bytes_.at(ref).substr(chunk->offset.value(), chunk->length.value());
    const auto ready = apply(chunk_read{{}, pin, ref}, now);
    return find<chunk_ready>(ready) != nullptr ? answer : refuse(ready);
}

http::response store_service::held(const http::request& asked) const
{
    prefix_chain chain;
    constexpr std::size_t digits = 2 * digest::size;
    std::string_view ids = asked.body;
    for (; ids.size() >= digits; ids.remove_prefix(digits))
    {
        chain.push_back(digest::from_hex(ids.substr(0, digits)));
    }
    const nlohmann::json body{
        {"pieces",
         store_.held_pieces(scope_tag{number(asked, "scope")}, chain)}};
    http::response answer;
    answer.body = body.dump();
    return answer;
}

std::vector<store_command> store_service::apply(
    const store_event& what, mono_time now)
{
    auto commands = store_.handle(what, now);
    for (const store_command& command : commands)
    {
        if (const auto* const gone = std::get_if<release_bytes>(&command))
        {
            bytes_.erase(gone->ref);
        }
    }
    return commands;
}

http::response store_service::refuse(const std::vector<store_command>& answers)
{
    const auto* const refusal = find<call_refused>(answers);
    const result_code code =
        refusal != nullptr ? refusal->code : result_code::malformed_message;
    metrics_.count_refusal(code);
    const nlohmann::json body{
        {"code", static_cast<unsigned>(code)}, {"name", name(code)}};
    http::response answer;
    answer.status = status_refused;
    answer.body = body.dump();
    return answer;
}

void store_service::publish()
{
    const auto& counts = store_.counts();
    const auto set = [this](const char* what, std::uint64_t value)
    { metrics_.set_gauge(what, static_cast<double>(value)); };
    set("wagtail_store_blocks", store_.size());
    set("wagtail_store_memory_bytes", store_.used(tier::memory).value());
    set("wagtail_store_committed", counts.committed);
    set("wagtail_store_evicted", counts.evicted);
    set("wagtail_store_opened", counts.opened);
    set("wagtail_store_opened_missing", counts.opened_missing);
    set("wagtail_store_pins_expired", counts.pin_expired);
    set("wagtail_store_full", counts.write_refused_full);
    set("wagtail_store_write_mismatches", counts.write_digest_mismatch);
}

} // namespace wagtailseam::sidecar
