// The asking side: one nng socket for each address, one context for each
// request under way.
#include "peer/nng_handle.hpp"
#include "peer/peer.hpp"

#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nng/protocol/reqrep0/req.h>

#include <random>
#include <unordered_map>

namespace wagtailseam::peer
{
namespace
{

constexpr nng_duration reconnect_min_ms = 50;
constexpr nng_duration reconnect_max_ms = 1'000;
/// Beyond any timeout of ours: a lost request is asked again by the caller,
/// which knows whether that is safe, never by nng.
constexpr nng_duration resend_never_ms = 24 * 60 * 60 * 1'000;

using reply_bytes = result<std::string>;
using reply_callback = std::function<void(reply_bytes)>;

/// One request under way: sends, receives, then calls back and ends itself.
class ask_operation
{
public:
    static void run(
        std::shared_ptr<nng_socket_handle> socket, const std::string& sealed,
        duration timeout, reply_callback done)
    {
        auto* const operation =
            new ask_operation(std::move(socket), std::move(done));
        operation->send(sealed, timeout);
    }

private:
    ask_operation(
        std::shared_ptr<nng_socket_handle> socket, reply_callback done)
        : socket_(std::move(socket)), done_(std::move(done))
    {
        check_nng(nng_ctx_open(&context_, socket_->socket()), "nng context");
        nng_ctx_set_ms(context_, NNG_OPT_REQ_RESENDTIME, resend_never_ms);
        check_nng(nng_aio_alloc(&operation_, completed, this), "nng aio");
    }

    void send(const std::string& sealed, duration timeout)
    {
        nng_msg* message = nullptr;
        check_nng(nng_msg_alloc(&message, 0), "nng message");
        check_nng(
            nng_msg_append(message, sealed.data(), sealed.size()),
            "nng message");
        const auto limit =
            std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
        nng_aio_set_timeout(
            operation_, static_cast<nng_duration>(limit.count()));
        nng_aio_set_msg(operation_, message);
        nng_ctx_send(context_, operation_);
    }

    /// Runs on one of nng's threads.
    static void completed(void* argument)
    {
        auto& self = *static_cast<ask_operation*>(argument);
        const int status = nng_aio_result(self.operation_);
        if (status != 0)
        {
            self.failed(status);
            return;
        }
        if (!self.sent_)
        {
            self.sent_ = true;
            nng_ctx_recv(self.context_, self.operation_);
            return;
        }
        nng_msg* const message = nng_aio_get_msg(self.operation_);
        std::string reply(
            static_cast<const char*>(nng_msg_body(message)),
            nng_msg_len(message));
        nng_msg_free(message);
        self.finish(std::move(reply));
    }

    void failed(int status)
    {
        if (!sent_)
        {
            nng_msg_free(nng_aio_get_msg(operation_));
        }
        finish(fail(result_code::upstream_unreachable, nng_strerror(status)));
    }

    void finish(reply_bytes outcome)
    {
        done_(std::move(outcome));
        nng_ctx_close(context_);
        nng_aio_reap(operation_);
        delete this;
    }

    std::shared_ptr<nng_socket_handle> socket_;
    reply_callback done_;
    nng_ctx context_ = NNG_CTX_INITIALIZER;
    nng_aio* operation_ = nullptr;
    bool sent_ = false;
};

} // namespace

struct control_client::state
{
    state(
        const asio::any_io_executor& run_on,
        const identity::process_keys& signing, traffic& counted)
        : executor(run_on), keys(signing), counts(counted),
          nonces(std::random_device{}())
    {
    }

    asio::any_io_executor executor;
    const identity::process_keys& keys;
    traffic& counts;
    std::mt19937_64 nonces;
    std::unordered_map<http::address, std::shared_ptr<nng_socket_handle>>
        sockets;

    std::shared_ptr<nng_socket_handle> socket_to(const http::address& to);
    asio::awaitable<reply_bytes> exchange(
        const http::address& to, const std::string& sealed, duration timeout);
};

std::shared_ptr<nng_socket_handle> control_client::state::socket_to(
    const http::address& to)
{
    auto& socket = sockets[to];
    if (!socket)
    {
        socket = std::make_shared<nng_socket_handle>(nng_req0_open);
        nng_socket_set_ms(
            socket->socket(), NNG_OPT_RECONNMINT, reconnect_min_ms);
        nng_socket_set_ms(
            socket->socket(), NNG_OPT_RECONNMAXT, reconnect_max_ms);
        const std::string url = "tcp://" + to.value();
        check_nng(
            nng_dial(socket->socket(), url.c_str(), nullptr, NNG_FLAG_NONBLOCK),
            url.c_str());
    }
    return socket;
}

asio::awaitable<reply_bytes> control_client::state::exchange(
    const http::address& to, const std::string& sealed, duration timeout)
{
    const auto socket = socket_to(to);
    const auto initiate = [&](auto handler)
    {
        using handler_type = decltype(handler);
        auto shared = std::make_shared<handler_type>(std::move(handler));
        auto work = asio::make_work_guard(executor);
        ask_operation::run(
            socket, sealed, timeout,
            [shared, work, run_on = executor](reply_bytes outcome)
            {
                asio::post(
                    run_on, [shared, work, held = std::move(outcome)]() mutable
                    { (*shared)(std::move(held)); });
            });
    };
    co_return co_await asio::async_initiate<
        const asio::use_awaitable_t<>, void(reply_bytes)>(
        initiate, asio::use_awaitable);
}

control_client::control_client(
    const asio::any_io_executor& executor, const identity::process_keys& keys,
    traffic& counts)
    : state_(std::make_shared<state>(executor, keys, counts))
{
}

control_client::~control_client() = default;

void control_client::forget(const http::address& to)
{
    state_->sockets.erase(to);
}

asio::awaitable<result<messages::control_reply>> control_client::ask(
    http::address to, messages::control_request asked, duration timeout)
{
    const auto self = state_;
    const std::string sealed = seal(self->keys, self->nonces(), asked);
    ++self->counts.messages_sent;
    self->counts.bytes_sent += sealed.size();
    const auto outcome = co_await self->exchange(to, sealed, timeout);
    if (!outcome)
    {
        co_return boost::outcome_v2::failure(outcome.error());
    }
    ++self->counts.messages_received;
    self->counts.bytes_received += outcome.value().size();
    messages::control_reply reply;
    const auto opened = open_sealed(self->keys, outcome.value(), reply);
    if (!opened)
    {
        ++self->counts.bad_signatures;
        co_return boost::outcome_v2::failure(opened.error());
    }
    co_return reply;
}

} // namespace wagtailseam::peer
