// One chat completion between its caller and the attempts that run it.
#ifndef WAGTAILSEAM_ENTRY_CHAT_HPP
#define WAGTAILSEAM_ENTRY_CHAT_HPP

#include "caller_http/answer_format.hpp"
#include "caller_http/chat_request.hpp"
#include "entry/request_run.hpp"
#include "http/server.hpp"

namespace wagtailseam::entry
{

/// Answers a chat completion, streamed or whole.
class chat
{
public:
    chat(
        peers& shared, http::exchange& exchange, request_id id,
        configuration::workspace_settings workspace,
        caller_http::chat_request request);

    /// Runs to the end of the answer.
    asio::awaitable<void> run();

private:
    asio::awaitable<void> take_part(std::string text);
    asio::awaitable<void> begin_stream();
    asio::awaitable<void> end_answer(const request_result& ended);
    [[nodiscard]] request_plan plan(const configuration::model_settings& model);
    [[nodiscard]] messages::dispatch make_dispatch(
        const std::string& delivered, std::uint32_t tokens) const;

    peers& shared_;
    http::exchange& exchange_;
    request_id id_;
    configuration::workspace_settings workspace_;
    caller_http::chat_request request_;
    caller_http::answer_identity identity_;
    weight_version version_;
    mono_time began_;
    bool streaming_ = false;
    bool caller_gone_ = false;
    std::string whole_;
};

} // namespace wagtailseam::entry

#endif
