// Stand-in of a model engine: chat completions as server-sent events, with a
// prefix cache. The answer follows from the prompt, so that a client can tell
// a whole answer to its own prompt from any other.
#include "control_flags.hpp"
#include "core/digest.hpp"
#include "kept_cache/prefix.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <list>
#include <optional>
#include <unordered_map>

ABSL_FLAG(std::string, model, "entitlement-reader", "Model served.");
ABSL_FLAG(std::uint64_t, weight_version, 1, "Version of the weights.");
ABSL_FLAG(int, token_interval_us, 2000, "Time between two tokens.");
ABSL_FLAG(int, prefill_us_per_token, 50, "Time to read a prompt token.");
ABSL_FLAG(int, cache_pieces, 256, "Prefix pieces that the cache holds.");
ABSL_FLAG(
    int, fail_status, 0, "Answers each completion with this HTTP status.");
ABSL_FLAG(int, burst, 1, "Tokens sent at a time.");
ABSL_FLAG(
    std::string, crash_marker, "", "A prompt with this text ends the process.");

namespace
{

using namespace wagtailseam;
using nlohmann::json;

constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t piece_tokens = 1024;
constexpr std::size_t piece_bytes = piece_tokens * bytes_per_token;
constexpr int crash_exit_code = 42;

/// Bytes of a piece's block: what the true computation would give.
std::string true_block(const digest& piece)
{
    constexpr std::size_t repeats = 256;
    std::string bytes;
    for (std::size_t i = 0; i < repeats; ++i)
    {
        bytes += piece.view();
    }
    return bytes;
}

/// The prefix cache: blocks of pieces, least recently used out first.
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

    struct look_up_result
    {
        std::size_t hits = 0;
        std::size_t imported = 0;
        /// Whether all blocks used hold the true bytes.
        bool sound = true;
    };

    /// Finds the leading pieces that are cached, and computes the others.
    look_up_result look_up(const kept_cache::prefix_chain& chain)
    {
        look_up_result found;
        found.hits = held(chain);
        for (std::size_t i = 0; i < chain.size(); ++i)
        {
            const bool hit = i < found.hits;
            const block used = hit ? blocks_.at(chain[i])
                                   : block{true_block(chain[i]), false, {}};
            found.imported += used.imported ? 1 : 0;
            found.sound = found.sound && used.bytes == true_block(chain[i]);
            put(chain[i], used.bytes, used.imported);
        }
        return found;
    }

    std::size_t held(const kept_cache::prefix_chain& chain) const
    {
        const auto missing = std::find_if_not(
            chain.begin(), chain.end(),
            [this](const digest& id) { return blocks_.contains(id); });
        return static_cast<std::size_t>(missing - chain.begin());
    }

    void put(const digest& id, std::string bytes, bool imported)
    {
        const auto known = blocks_.find(id);
        if (known != blocks_.end())
        {
            order_.erase(known->second.place);
        }
        order_.push_front(id);
        blocks_[id] = block{std::move(bytes), imported, order_.begin()};
        if (order_.size() > capacity_)
        {
            blocks_.erase(order_.back());
            order_.pop_back();
        }
    }

    /// Returns a block's bytes, nothing when it is not cached.
    std::optional<std::string> bytes_of(const digest& id) const
    {
        const auto found = blocks_.find(id);
        return found == blocks_.end() ? std::nullopt
                                      : std::optional(found->second.bytes);
    }

    void clear()
    {
        blocks_.clear();
        order_.clear();
    }

private:
    struct block
    {
        std::string bytes;
        bool imported = false;
        std::list<digest>::iterator place;
    };

    std::size_t capacity_;
    std::list<digest> order_;
    std::unordered_map<digest, block> blocks_;
};

/// A chat completion as asked.
struct completion
{
    std::string prompt;
    kept_cache::prefix_chain pieces;
    std::size_t first_token = 0;
    std::size_t tokens = 0;
};

completion read_completion(const json& body)
{
    completion asked;
    std::string rendered;
    const json& messages = body["messages"];
    const bool continues = body.value("continue_final_message", false);
    const std::size_t whole = messages.size() - (continues ? 1 : 0);
    for (std::size_t i = 0; i < whole; ++i)
    {
        const auto role = messages[i].value("role", std::string());
        const auto content = messages[i].value("content", std::string());
        asked.prompt.append(role).append("\n").append(content).append("\n");
        rendered.append("\x1e").append(role).append("\x1f").append(content);
    }
    if (continues)
    {
        const auto partial = messages.back().value("content", std::string());
        asked.first_token = static_cast<std::size_t>(
            std::count(partial.begin(), partial.end(), ' '));
    }
    // The salt is the root of the prefix chain.
    asked.pieces = kept_cache::chain_of(
        digest::from_hex(body.value("cache_salt", std::string())), rendered,
        {.piece_size = byte_count{piece_bytes}});
    asked.tokens = body.value("max_tokens", std::size_t{16});
    return asked;
}

class engine_stand_in
{
public:
    explicit engine_stand_in(boost::asio::io_context& context)
        : context_(context),
          cache_(static_cast<std::size_t>(absl::GetFlag(FLAGS_cache_pieces)))
    {
    }

    asio::awaitable<void> serve(http::exchange& exchange)
    {
        const auto path = exchange.received_request().path();
        if (path == "/v1/load")
        {
            const json load{
                {"running", running_},
                {"queued", 0},
                {"queued_tokens", queued_tokens_},
                {"prefill_rate",
                 1'000'000 / std::max(1, prefill_us_per_token_)},
                {"model", absl::GetFlag(FLAGS_model)},
                {"weight_version", weight_version_}};
            co_await stand_ins::send_json(exchange, load.dump());
        }
        else if (path == "/control/counts")
        {
            const json counts{
                {"completions", completions_},
                {"prompt_tokens", prompt_tokens_},
                {"computed_tokens", computed_tokens_},
                {"unsound", unsound_}};
            co_await stand_ins::send_json(exchange, counts.dump());
        }
        else if (path == "/control/next-version")
        {
            // A swap: blocks of the version before are gone.
            ++weight_version_;
            cache_.clear();
            co_await stand_ins::send_json(exchange, "{}");
        }
        else if (path == "/control/clear-cache")
        {
            cache_.clear();
            co_await stand_ins::send_json(exchange, "{}");
        }
        else if (path.substr(0, kv_routes.size()) == kv_routes)
        {
            co_await serve_blocks(exchange);
        }
        else
        {
            co_await complete(exchange);
        }
    }

private:
    static constexpr std::string_view kv_routes = "/v1/kv/";

    /// Export, import and look-up of blocks: ids in the query or the body.
    asio::awaitable<void> serve_blocks(http::exchange& exchange)
    {
        constexpr unsigned not_found = 404;
        constexpr unsigned conflict = 409;
        constexpr std::size_t digits = 2 * digest::size;
        const http::request& asked = exchange.received_request();
        const std::string_view route = asked.path().substr(kv_routes.size());
        if (route == "held")
        {
            kept_cache::prefix_chain chain;
            std::string_view ids = asked.body;
            for (; ids.size() >= digits; ids.remove_prefix(digits))
            {
                chain.push_back(digest::from_hex(ids.substr(0, digits)));
            }
            const json held{{"pieces", cache_.held(chain)}};
            co_await stand_ins::send_json(exchange, held.dump());
            co_return;
        }
        const std::string version =
            "&version=" + std::to_string(weight_version_);
        const std::size_t at = asked.target.find("id=");
        if (at == std::string::npos || !asked.target.ends_with(version))
        {
            co_await stand_ins::send_json(exchange, "{}", conflict);
            co_return;
        }
        const digest id = digest::from_hex(asked.target.substr(at + 3, digits));
        if (route == "import")
        {
            cache_.put(id, asked.body, true);
            co_await stand_ins::send_json(exchange, "{}");
            co_return;
        }
        http::response answer;
        const auto bytes = cache_.bytes_of(id);
        answer.status = bytes ? answer.status : not_found;
        answer.content_type = "application/octet-stream";
        answer.body = bytes.value_or("");
        (void)co_await exchange.send(std::move(answer));
    }

    asio::awaitable<void> complete(http::exchange& exchange)
    {
        constexpr unsigned bad_request = 400;
        const json body =
            json::parse(exchange.received_request().body, nullptr, false);
        if (!body.is_object() || !body.contains("messages"))
        {
            co_await stand_ins::send_json(exchange, "{}", bad_request);
            co_return;
        }
        completion asked = read_completion(body);
        const std::string marker = absl::GetFlag(FLAGS_crash_marker);
        if (!marker.empty() && asked.prompt.find(marker) != std::string::npos)
        {
            std::_Exit(crash_exit_code);
        }
        ++completions_;
        const int fail_status = absl::GetFlag(FLAGS_fail_status);
        if (fail_status != 0)
        {
            co_await stand_ins::send_json(
                exchange, "{}", static_cast<unsigned>(fail_status));
            co_return;
        }
        ++running_;
        const auto found = cache_.look_up(asked.pieces);
        if (!found.sound)
        {
            // An answer computed from wrong bytes is a wrong answer.
            asked.prompt += "wrong";
            ++unsound_;
        }
        const std::size_t all = asked.prompt.size() / bytes_per_token;
        const std::size_t cached = found.hits * piece_tokens;
        prompt_tokens_ += all;
        computed_tokens_ += all - cached;
        co_await prefill(all - cached);
        co_await stream(
            exchange, asked, all, cached, found.imported * piece_tokens);
        --running_;
    }

    asio::awaitable<void> prefill(std::size_t tokens)
    {
        queued_tokens_ += tokens;
        const auto time = std::chrono::microseconds(
            static_cast<std::int64_t>(tokens) * prefill_us_per_token_);
        if (time.count() > 0)
        {
            asio::steady_timer timer(context_, time);
            co_await timer.async_wait(asio::use_awaitable);
        }
        queued_tokens_ -= tokens;
    }

    asio::awaitable<void> stream(
        http::exchange& exchange, const completion& asked,
        std::size_t prompt_tokens, std::size_t cached, std::size_t imported)
    {
        const std::string seed = sha256(asked.prompt).hex();
        http::response head;
        head.content_type = "text/event-stream";
        auto sent = co_await exchange.begin_stream(std::move(head));
        asio::steady_timer timer(context_);
        const auto burst =
            static_cast<std::size_t>(std::max(1, absl::GetFlag(FLAGS_burst)));
        for (std::size_t i = 0; sent && i < asked.tokens; i += burst)
        {
            std::string events;
            const std::size_t last = std::min(i + burst, asked.tokens);
            for (std::size_t token = i; token < last; ++token)
            {
                events += token_event(seed, asked.first_token + token);
            }
            sent = co_await exchange.write(events);
            if (token_interval_us_ > 0)
            {
                timer.expires_after(
                    std::chrono::microseconds(token_interval_us_));
                co_await timer.async_wait(asio::use_awaitable);
            }
        }
        if (sent)
        {
            const json usage{
                {"prompt_tokens", prompt_tokens},
                {"prompt_tokens_details",
                 {{"cached_tokens", cached}, {"imported_tokens", imported}}}};
            (void)co_await exchange.write(
                R"(data: {"choices":[{"delta":{},"finish_reason":"length"}],)"
                R"("usage":)" +
                usage.dump() + "}\n\ndata: [DONE]\n\n");
            (void)co_await exchange.end_stream();
        }
    }

    /// Each token is five hexadecimal digits and a space.
    static std::string token_event(const std::string& seed, std::size_t number)
    {
        constexpr std::size_t digits = 5;
        const std::string text =
            sha256(seed + ":" + std::to_string(number)).hex().substr(0, digits);
        return R"(data: {"choices":[{"index":0,"delta":{"content":")" + text +
               " \"}}]}\n\n";
    }

    boost::asio::io_context& context_;
    prefix_cache cache_;
    int prefill_us_per_token_ = absl::GetFlag(FLAGS_prefill_us_per_token);
    int token_interval_us_ = absl::GetFlag(FLAGS_token_interval_us);
    std::uint64_t weight_version_ = absl::GetFlag(FLAGS_weight_version);
    std::size_t running_ = 0;
    std::size_t queued_tokens_ = 0;
    std::uint64_t completions_ = 0;
    std::uint64_t prompt_tokens_ = 0;
    std::uint64_t computed_tokens_ = 0;
    /// Completions that used a block with wrong bytes.
    std::uint64_t unsound_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context context(1);
    engine_stand_in engine(context);
    return stand_ins::serve(
        context, "engine_stand_in",
        [&engine](http::exchange& exchange) { return engine.serve(exchange); });
}
