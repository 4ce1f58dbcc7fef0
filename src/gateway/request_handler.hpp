// Handles one request of a caller: routing, attempts at upstreams, response.
#ifndef WAGTAILSEAM_GATEWAY_REQUEST_HANDLER_HPP
#define WAGTAILSEAM_GATEWAY_REQUEST_HANDLER_HPP

#include "gateway/dispatch_plan.hpp"
#include "gateway/open_attempt.hpp"
#include "gateway/process_check.hpp"
#include "gateway/request_record.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "platform/request_codec.hpp"
#include "serving/call.hpp"
#include "serving/event_splitter.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;

/// Handles one exchange. Must outlive the coroutine of serve().
class request_handler
{
public:
    request_handler(
        shared_state& state, http::client& upstream_client,
        process_check& processes, http::exchange& exchange);

    asio::awaitable<void> serve();

private:
    /// What to do with the request after an attempt.
    enum class next_step : std::uint8_t
    {
        finished,
        retry,
        give_up,
        /// The successor has accepted the stream and continues it.
        take_over,
    };

    asio::awaitable<void> serve_request();
    /// Ends a request that an exception has left, with a response and a log
    /// line. Its attempts end with it.
    asio::awaitable<void> end_failed_request(std::string detail);
    [[nodiscard]] result<void> accept_request();
    /// Cancels the attempt, so that the caller gets its final response.
    void end_for_drain();
    /// Cancels the attempt and its successor.
    void cancel_attempts();
    [[nodiscard]] result<void> resolve_route();
    asio::awaitable<void> run_attempts();
    asio::awaitable<next_step> run_attempt(serving::chosen_upstream target);
    asio::awaitable<next_step> handle_response(
        const serving::chosen_upstream& target, http::response_stream stream);
    /// Returns nullopt if the body may be forwarded, as far as the head tells.
    /// Otherwise ends the attempt and returns what to do next.
    asio::awaitable<std::optional<next_step>> check_response_head(
        const serving::chosen_upstream& target, http::response_stream& stream);
    /// Records what a response says of its upstream's process.
    void record_statements(
        const serving::chosen_upstream& target,
        const http::response_stream& stream,
        const platform::upstream_response& response);
    /// Returns why an upstream did not execute the request.
    [[nodiscard]] serving::attempt_result classify_refusal(
        const serving::chosen_upstream& target,
        const platform::upstream_response& response) const;
    asio::awaitable<void> begin_response(const http::response& upstream_head);
    asio::awaitable<void> forward_chunk(
        const serving::chosen_upstream& target, std::string_view chunk);
    /// What a body is that ended as its framing demands.
    enum class body_end : std::uint8_t
    {
        complete,
        /// A crash may have ended it.
        unverified,
        cut_off,
    };
    /// Sets `failure_detail_` if the body was cut off.
    asio::awaitable<body_end> classify_body_end(
        const serving::chosen_upstream& target, http::body_framing framing);
    /// Handles the end of a body as its framing demands.
    asio::awaitable<next_step> end_body(
        const serving::chosen_upstream& target, http::body_framing framing);
    /// @pre end is not body_end::cut_off
    asio::awaitable<void> end_response(
        const serving::chosen_upstream& target, body_end end);
    /// Records that an upstream executed the request without a crash.
    void record_completion();
    /// Ends an attempt that may have run although no whole response arrived.
    void end_broken_attempt(const serving::chosen_upstream& target);
    /// Awaits a successor, which may continue the stream.
    asio::awaitable<next_step> handle_broken_response(
        const serving::chosen_upstream& target);
    /// Returns whether another upstream can continue the response. The gateway
    /// forwards only complete events of a stream.
    [[nodiscard]] bool is_resumable_stream() const;
    [[nodiscard]] stream_origin::stream_target target_of_stream() const;
    /// Returns whether the caller resumes a stream that broke off.
    [[nodiscard]] bool is_resumption() const;
    /// Finds the software version that began the stream, and the service that
    /// continues it. Otherwise sets the result code.
    asio::awaitable<bool> find_stream_origin();
    /// Chooses a service of the request's route, since what began the stream
    /// may no longer be allowed there or may be of another route. Applies a
    /// newer configuration if there is one and the request needs it. Sets the
    /// result code if no service may continue the stream.
    asio::awaitable<bool> choose_continuing_service(
        stream_origin::origin begun_by);
    /// Returns the service that began the stream if the route has it, or else
    /// one of the route's that serves the stream's version; nullopt if none
    /// does.
    [[nodiscard]] std::optional<serving::service_id> find_continuing_service(
        const stream_origin::origin& begun_by) const;
    /// Returns the request that brought the stream's first event.
    [[nodiscard]] const request_id& stream_id() const;
    /// Returns whether the software version that began the stream is known, or
    /// no event was forwarded yet.
    [[nodiscard]] bool may_continue_stream() const;
    /// Finds out whether the response is that of the listed process, whose
    /// software version is known. Returns whether its events may be forwarded.
    /// Another process must not continue a stream, and one that it begins must
    /// be recorded as unknown. Reserves the next attempt if the stream is to
    /// begin again.
    asio::awaitable<bool> prepare_stream(
        const serving::chosen_upstream& target,
        const http::response_stream& stream);
    /// Returns whether a stream that an unlisted process began is to begin
    /// again, since nothing was forwarded. Reserves the next attempt.
    asio::awaitable<bool> may_begin_again(
        const serving::chosen_upstream& target);
    /// Returns whether the record says that the stream's version is unknown.
    asio::awaitable<bool> record_unknown_stream(
        const serving::chosen_upstream& target);
    /// Records where the stream began, before its first event is forwarded.
    asio::awaitable<void> record_stream_begin(
        const serving::chosen_upstream& target);
    void record_stream_end();
    /// Returns the id of the last event that the caller has; empty if none.
    [[nodiscard]] const std::string& resume_position() const;
    /// Returns the only software version that may take the request; nullopt:
    /// any.
    [[nodiscard]] std::optional<serving::software_version> required_software()
        const;
    /// Begins the response, or continues it with another upstream's body.
    asio::awaitable<void> begin_body(const http::response_stream& stream);
    /// Returns whether the events received so far may be forwarded. Otherwise
    /// sets `failure_detail_`.
    [[nodiscard]] bool are_events_valid();
    asio::awaitable<next_step> forward_response(
        const serving::chosen_upstream& target, http::response_stream& stream);
    /// Returns the reserved upstream, or chooses one. Returns nullopt and sets
    /// the result code if there is none.
    [[nodiscard]] std::optional<serving::chosen_upstream> take_upstream();
    /// Returns nullopt and sets the result code if there is none.
    [[nodiscard]] std::optional<serving::chosen_upstream> choose_upstream();
    [[nodiscard]] serving::choice select_upstream();
    asio::awaitable<bool> wait_for_upstream();
    /// Returns whether the request may be sent to an upstream, as far as its
    /// deadline and its crash record are concerned. Otherwise sets the result
    /// code. Claims the trial of a suspect request.
    asio::awaitable<bool> may_start_attempt();
    /// Returns whether the request's crash record allows it to run, and begins
    /// the trial of a suspect. Otherwise sets the result code.
    [[nodiscard]] bool check_quarantine();
    /// Returns a content of which the attempt is a trial that may not run yet,
    /// because no gateway or another one claimed it.
    [[nodiscard]] std::optional<quarantine::content_fingerprint>
    find_unclaimed_trial() const;
    /// Claims a trial, or defers it if that fails.
    asio::awaitable<void> claim_trial(quarantine::content_fingerprint suspect);
    /// Waits for a short time until the record of a part is another one than
    /// before its trial was found claimed by another gateway: the trial may
    /// have ended, and the record that tells so may arrive later than the
    /// answer to the claim. Other requests of this gateway do not wait.
    asio::awaitable<void> await_changed_record(
        quarantine::content_fingerprint part, quarantine::crash_record known);
    /// Ends the trial of a suspect.
    void end_trial();
    /// Forgets the claims of the trials. They are released unless their outcome
    /// is unknown: then a crash may become known later.
    void drop_trial_claims(bool outcome_known);
    /// Records that the attempt broke off, and finds out whether its upstream
    /// has crashed. Uses the claims of its trials up.
    asio::awaitable<void> report_broken_attempt();
    /// @return whether it is known why the attempt broke off
    asio::awaitable<bool> explain_broken_attempt(
        const serving::upstream& upstream, bool timed_out);
    asio::awaitable<void> send_local_response(
        unsigned status, result_code code, duration retry_after);
    /// Responds to a request that is not accepted.
    asio::awaitable<void> reject(result_code code);
    asio::awaitable<void> send_final_error();
    /// Returns the time after which the caller should return.
    [[nodiscard]] duration retry_delay();

    [[nodiscard]] http::open_options make_open_options(
        std::shared_ptr<http::cancellation_handle> cancellation);
    [[nodiscard]] bool may_retry() const;
    /// Returns after which silence before the response another upstream is
    /// preferred.
    [[nodiscard]] duration silence_limit(
        const serving::chosen_upstream& target) const;
    /// Observes the silence of the upstream of one attempt.
    struct silence_watch
    {
        explicit silence_watch(const asio::any_io_executor& executor)
            : timer(executor)
        {
        }

        asio::steady_timer timer;
        /// When the silence is long enough to act on it.
        mono_time due;
        bool stopped = false;
    };
    /// Stops its watch at the end of the scope, so that no handler uses the
    /// request afterwards.
    class silence_watch_scope
    {
    public:
        silence_watch_scope(
            const asio::any_io_executor& executor, duration limit)
            : watch_(std::make_shared<silence_watch>(executor))
        {
            watch_->due = monotonic_clock::now() + limit;
        }
        silence_watch_scope(const silence_watch_scope&) = delete;
        silence_watch_scope& operator=(const silence_watch_scope&) = delete;
        ~silence_watch_scope() { stop(); }

        [[nodiscard]] const std::shared_ptr<silence_watch>& watch()
            const noexcept
        {
            return watch_;
        }
        void stop() const
        {
            watch_->stopped = true;
            watch_->timer.cancel();
        }

    private:
        std::shared_ptr<silence_watch> watch_;
    };
    /// Cancels an attempt without a response once the silence is long enough
    /// and another attempt is certain to start. Until then its response is
    /// awaited.
    void watch_silence(
        const std::shared_ptr<silence_watch>& watch,
        const std::shared_ptr<http::cancellation_handle>& attempt);
    /// Records the silence of an upstream, so that other requests avoid it
    /// before the attempt ends.
    void record_silence_when_due(
        const std::shared_ptr<silence_watch>& watch, const upstream_id& id);
    /// Chooses the upstream of another attempt and pays for it, if nothing
    /// prevents that attempt while the current one is in progress.
    [[nodiscard]] bool reserve_next_attempt();
    /// Returns whether the retry budget pays for another attempt, or has done
    /// so.
    [[nodiscard]] bool pay_for_retry();

    /// An attempt to continue a stream whose upstream is silent. The attempt
    /// of that upstream goes on until this one is accepted.
    struct successor_attempt
    {
        successor_attempt(
            const asio::any_io_executor& executor,
            serving::chosen_upstream chosen)
            : target(std::move(chosen)),
              decided(executor, asio::steady_timer::time_point::max())
        {
        }

        serving::chosen_upstream target;
        std::shared_ptr<http::cancellation_handle> cancellation =
            std::make_shared<http::cancellation_handle>();
        /// Expires once the attempt is accepted or has failed.
        asio::steady_timer decided;
        bool is_decided = false;
        /// Whether it is no longer needed.
        bool is_dropped = false;
        /// Set if its upstream has accepted the stream.
        std::optional<http::response_stream> response;
    };
    /// Starts a successor once the gap between events is long enough.
    void watch_event_gap(const std::shared_ptr<silence_watch>& watch);
    /// @pre next_upstream_.has_value()
    void start_successor(const asio::any_io_executor& executor);
    asio::awaitable<void> run_successor(
        std::shared_ptr<successor_attempt> successor);
    /// Returns the response that continues the stream; nullopt if the attempt
    /// has ended without one.
    asio::awaitable<std::optional<http::response_stream>> open_successor(
        successor_attempt& successor);
    void end_unopened_successor(
        const successor_attempt& successor, const error& failure);
    static asio::awaitable<void> wait_until_decided(
        successor_attempt& successor);
    [[nodiscard]] bool has_accepted_successor() const;
    /// Cancels the successor, because the upstream goes on or nobody waits.
    void drop_successor();
    /// Ends the attempt at the silent upstream.
    [[nodiscard]] next_step take_over(
        const serving::chosen_upstream& silent, http::response_stream& stream);
    asio::awaitable<next_step> continue_with_successor();
    void begin_attempt(
        const serving::chosen_upstream& target,
        const planned_dispatch& planned);
    /// Ends the pending prefill of the current attempt, because its response
    /// began or the attempt ended.
    void finish_prefill(bool response_began);
    /// Returns the open attempt at an upstream.
    [[nodiscard]] auto find_open_attempt(const upstream_id& id)
    {
        return std::find_if(
            open_attempts_.begin(), open_attempts_.end(),
            [&](const auto& attempt) { return attempt->upstream() == id; });
    }
    void end_attempt(
        const serving::chosen_upstream& target,
        const serving::attempt_result& outcome);
    [[nodiscard]] next_step handle_open_failure(
        const serving::chosen_upstream& target, const error& failure);

    shared_state& state_;
    http::client& upstream_client_;
    process_check& process_check_;
    http::exchange& exchange_;

    accepted_request request_;
    request_record record_;
    /// The current attempt, and its successor if there is one.
    std::vector<std::unique_ptr<open_attempt>> open_attempts_;
    std::set<upstream_id> tried_upstreams_;
    std::uint32_t upstream_waits_ = 0;
    /// How the last attempt ended if a crash of its upstream would explain it.
    struct broken_attempt
    {
        serving::upstream upstream;
        /// The upstream sent nothing, so its port is not probed.
        bool timed_out = false;
    };
    std::optional<broken_attempt> broken_attempt_;
    /// Why the last attempt failed, for its log line.
    std::string failure_detail_;
    /// The contents of which the current attempt is a trial.
    std::vector<quarantine::content_fingerprint> trial_suspects_;
    /// The contents whose trial this request may run.
    std::set<quarantine::content_fingerprint> claimed_trials_;
    bool caller_disconnected_ = false;
    /// Whether this process stops before the attempt is finished.
    bool ended_by_drain_ = false;
    bool response_head_sent_ = false;
    mono_time attempt_began_at_;
    /// The upstream of the next attempt, which the retry budget has paid for.
    /// Set if the current attempt is ended for the silence of its upstream.
    std::optional<serving::chosen_upstream> next_upstream_;
    /// Whether the retry budget has paid for an attempt that has not run.
    bool is_retry_paid_ = false;
    /// Set while an attempt to continue the stream runs, or is accepted.
    std::shared_ptr<successor_attempt> successor_;
    /// Cancelled successors. They use this object until they are decided.
    std::vector<std::shared_ptr<successor_attempt>> dropped_successors_;
    /// No successor starts before this time.
    mono_time next_successor_at_;
    /// Whether the attempt waits for bytes, so that a successor may close it.
    bool is_awaiting_bytes_ = false;
    struct pending_prompt
    {
        upstream_id upstream;
        serving::prompt_load load;
        mono_time dispatched_at;
        duration expected_wait{};
        double slowness = 1;
        std::optional<http::address> main_cache_source;
    };
    /// Records how long the first byte of a response took.
    void record_speed(const pending_prompt& prompt, mono_time first_byte_at);
    /// What began the stream. Only upstreams of this service and version may
    /// continue it. Unset before the first event of a new stream.
    std::optional<stream_origin::origin> stream_origin_;
    /// Time after which an unknown origin may be known. Unset if that is not
    /// foreseeable.
    std::optional<duration> origin_known_in_;
    /// Whether the stream is among the open streams of this gateway.
    bool stream_recorded_ = false;
    /// Set from the dispatch of an attempt until its response begins.
    std::optional<pending_prompt> pending_prompt_;
    /// Whether the upstream's response is a stream of server-sent events.
    bool is_event_stream_ = false;
    /// Bytes of the current upstream's body that the caller got.
    std::uint64_t forwarded_body_bytes_ = 0;
    serving::event_splitter event_splitter_;
    std::shared_ptr<http::cancellation_handle> cancellation_handle_;
};

} // namespace wagtailseam::gateway

#endif
