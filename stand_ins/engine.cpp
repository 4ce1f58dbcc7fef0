// Stand-in of a model engine: chat completions as server-sent events, with a
// prefix cache. The answer follows from the prompt, so that a client can tell
// a whole answer to its own prompt from any other.
#include "control_flags.hpp"
#include "core/digest.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <list>
#include <unordered_map>

ABSL_FLAG(std::string, model, "entitlement-reader", "Model served.");
ABSL_FLAG(std::uint64_t, weight_version, 1, "Version of the weights.");
ABSL_FLAG(int, token_interval_us, 2000, "Time between two tokens.");
ABSL_FLAG(int, prefill_us_per_token, 50, "Time to read a prompt token.");
ABSL_FLAG(int, cache_pieces, 256, "Prefix pieces that the cache holds.");
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

/// The prefix cache: chained digests of pieces, least recently used out first.
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

    /// Returns how many leading pieces are cached, and caches them all.
    std::size_t look_up(const std::string& salt, const std::string& prompt)
    {
        std::size_t hits = 0;
        bool hit = true;
        digest chain = sha256(salt);
        for (std::size_t at = 0; at + piece_bytes <= prompt.size();
             at += piece_bytes)
        {
            chain = sha256(
                std::string(chain.view()) + prompt.substr(at, piece_bytes));
            hit = touch(chain) && hit;
            hits += hit ? 1 : 0;
        }
        return hits;
    }

private:
    bool touch(const digest& piece)
    {
        const auto found = places_.find(piece);
        const bool known = found != places_.end();
        if (known)
        {
            order_.erase(found->second);
        }
        order_.push_front(piece);
        places_[piece] = order_.begin();
        if (order_.size() > capacity_)
        {
            places_.erase(order_.back());
            order_.pop_back();
        }
        return known;
    }

    std::size_t capacity_;
    std::list<digest> order_;
    std::unordered_map<digest, std::list<digest>::iterator> places_;
};

/// A chat completion as asked.
struct completion
{
    std::string prompt;
    std::string salt;
    std::size_t first_token = 0;
    std::size_t tokens = 0;
};

completion read_completion(const json& body)
{
    completion asked;
    const json& messages = body["messages"];
    const bool continues = body.value("continue_final_message", false);
    const std::size_t whole = messages.size() - (continues ? 1 : 0);
    for (std::size_t i = 0; i < whole; ++i)
    {
        asked.prompt += messages[i].value("role", std::string()) + '\n' +
                        messages[i].value("content", std::string()) + '\n';
    }
    if (continues)
    {
        const auto partial = messages.back().value("content", std::string());
        asked.first_token = static_cast<std::size_t>(
            std::count(partial.begin(), partial.end(), ' '));
    }
    asked.salt = body.value("cache_salt", std::string());
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
        const auto path = exchange.asked().path();
        if (path == "/v1/load")
        {
            const json load{
                {"running", running_},
                {"queued", 0},
                {"queued_tokens", queued_tokens_},
                {"prefill_rate",
                 1'000'000 / std::max(1, prefill_us_per_token_)},
                {"model", absl::GetFlag(FLAGS_model)},
                {"weight_version", absl::GetFlag(FLAGS_weight_version)}};
            co_await stand_ins::send_json(exchange, load.dump());
        }
        else if (path == "/control/counts")
        {
            const json counts{
                {"completions", completions_},
                {"prompt_tokens", prompt_tokens_},
                {"computed_tokens", computed_tokens_}};
            co_await stand_ins::send_json(exchange, counts.dump());
        }
        else
        {
            co_await complete(exchange);
        }
    }

private:
    asio::awaitable<void> complete(http::exchange& exchange)
    {
        constexpr unsigned bad_request = 400;
        const json body = json::parse(exchange.asked().body, nullptr, false);
        if (!body.is_object() || !body.contains("messages"))
        {
            co_await stand_ins::send_json(exchange, "{}", bad_request);
            co_return;
        }
        const completion asked = read_completion(body);
        const std::string marker = absl::GetFlag(FLAGS_crash_marker);
        if (!marker.empty() && asked.prompt.find(marker) != std::string::npos)
        {
            std::_Exit(crash_exit_code);
        }
        ++running_;
        ++completions_;
        const std::size_t hits = cache_.look_up(asked.salt, asked.prompt);
        const std::size_t all = asked.prompt.size() / bytes_per_token;
        const std::size_t cached = hits * piece_tokens;
        prompt_tokens_ += all;
        computed_tokens_ += all - cached;
        co_await prefill(all - cached);
        co_await stream(exchange, asked, all, cached);
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
        std::size_t prompt_tokens, std::size_t cached)
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
                {"prompt_tokens_details", {{"cached_tokens", cached}}}};
            co_await exchange.write(
                R"(data: {"choices":[{"delta":{},"finish_reason":"length"}],)"
                R"("usage":)" +
                usage.dump() + "}\n\ndata: [DONE]\n\n");
            co_await exchange.end_stream();
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
    std::size_t running_ = 0;
    std::size_t queued_tokens_ = 0;
    std::uint64_t completions_ = 0;
    std::uint64_t prompt_tokens_ = 0;
    std::uint64_t computed_tokens_ = 0;
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
