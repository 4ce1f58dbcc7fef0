// The replying side: several nng contexts receive in parallel, handlers run
// on the process's io_context.
#include "peer/nng_handle.hpp"
#include "peer/peer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <nng/protocol/reqrep0/rep.h>

#include <array>
#include <atomic>
#include <vector>

namespace wagtailseam::peer
{
namespace
{

constexpr std::size_t max_control_bytes = std::size_t{4} * 1024 * 1024;

} // namespace

struct control_server::state : std::enable_shared_from_this<state>
{
    /// One context that receives a request and sends its reply.
    struct lane
    {
        state* owner = nullptr;
        nng_ctx context = NNG_CTX_INITIALIZER;
        nng_aio* operation = nullptr;
        bool sending = false;
    };

    state(
        const asio::any_io_executor& run_on,
        const identity::process_keys& accepted, traffic& counted,
        control_handler handler)
        : executor(run_on), keys(accepted), counts(counted),
          handle(std::move(handler)), socket(nng_rep0_open)
    {
    }

    asio::any_io_executor executor;
    const identity::process_keys& keys;
    traffic& counts;
    control_handler handle;
    nng_socket_handle socket;
    std::array<lane, parallel_requests> lanes{};
    std::atomic<bool> closed{false};

    void start();
    void stop();
    static void completed(void* argument);
    void received(lane& on, const std::string& sealed);
    asio::awaitable<void> answer(lane& on, messages::control_request asked);
    static void receive(lane& on);
    static void send(lane& on, const std::string& sealed);
};

void control_server::state::start()
{
    for (lane& each : lanes)
    {
        each.owner = this;
        check_nng(nng_ctx_open(&each.context, socket.socket()), "nng context");
        check_nng(nng_aio_alloc(&each.operation, completed, &each), "nng aio");
        receive(each);
    }
}

void control_server::state::stop()
{
    closed = true;
    for (lane& each : lanes)
    {
        nng_aio_stop(each.operation);
        nng_ctx_close(each.context);
        nng_aio_free(each.operation);
    }
}

void control_server::state::receive(lane& on)
{
    on.sending = false;
    nng_ctx_recv(on.context, on.operation);
}

void control_server::state::send(lane& on, const std::string& sealed)
{
    nng_msg* message = nullptr;
    check_nng(nng_msg_alloc(&message, 0), "nng message");
    check_nng(
        nng_msg_append(message, sealed.data(), sealed.size()), "nng message");
    nng_aio_set_msg(on.operation, message);
    on.sending = true;
    nng_ctx_send(on.context, on.operation);
}

/// Runs on one of nng's threads.
void control_server::state::completed(void* argument)
{
    lane& on = *static_cast<lane*>(argument);
    state& owner = *on.owner;
    const int status = nng_aio_result(on.operation);
    if (owner.closed || status == NNG_ECLOSED || status == NNG_ECANCELED)
    {
        return;
    }
    if (status != 0)
    {
        if (on.sending)
        {
            nng_msg_free(nng_aio_get_msg(on.operation));
        }
        receive(on);
        return;
    }
    if (on.sending)
    {
        receive(on);
        return;
    }
    nng_msg* const message = nng_aio_get_msg(on.operation);
    std::string sealed(
        static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
    nng_msg_free(message);
    asio::post(
        owner.executor,
        [weak = owner.weak_from_this(), &on, text = std::move(sealed)]
        {
            const auto self = weak.lock();
            if (self && !self->closed)
            {
                self->received(on, text);
            }
        });
}

void control_server::state::received(lane& on, const std::string& sealed)
{
    ++counts.messages_received;
    counts.bytes_received += sealed.size();
    messages::control_request asked;
    const auto opened = open_sealed(keys, sealed, asked);
    if (opened)
    {
        asio::co_spawn(executor, answer(on, std::move(asked)), asio::detached);
        return;
    }
    ++counts.bad_signatures;
    messages::control_reply refusal;
    refusal.set_code(static_cast<std::uint32_t>(opened.error().code));
    send(on, seal(keys, 0, refusal));
}

asio::awaitable<void> control_server::state::answer(
    lane& on, messages::control_request asked)
{
    const auto self = shared_from_this();
    const messages::control_reply reply = co_await handle(std::move(asked));
    if (closed)
    {
        co_return;
    }
    const std::string sealed = seal(keys, 0, reply);
    ++counts.messages_sent;
    counts.bytes_sent += sealed.size();
    send(on, sealed);
}

control_server::control_server(
    const asio::any_io_executor& executor, const http::address& listen,
    const identity::process_keys& keys, traffic& counts, control_handler handle)
    : state_(std::make_shared<state>(executor, keys, counts, std::move(handle)))
{
    const auto socket = state_->socket.socket();
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, max_control_bytes);
    const std::string url = "tcp://" + listen.value();
    check_nng(nng_listen(socket, url.c_str(), nullptr, 0), url.c_str());
    state_->start();
}

control_server::~control_server()
{
    state_->stop();
}

} // namespace wagtailseam::peer
