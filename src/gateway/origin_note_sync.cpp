// Datagrams between this gateway and the agents about the origins of streams.
#include "gateway/origin_note_sync.hpp"

#include "stream_origin/noted_origins.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstddef>
#include <string>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// Agents send a status at least every 400 ms.
constexpr std::chrono::seconds max_agent_silence{3};
/// Agents answer at once. Several regions are some ten milliseconds apart.
constexpr std::chrono::milliseconds answer_timeout{100};

} // namespace

origin_note_sync::origin_note_sync(
    asio::io_context& context, shared_state& state, peer_directory& peers)
    : context_(context), state_(state), peers_(peers)
{
}

void origin_note_sync::start()
{
    state_.streams.note_origin =
        [this](const auto& stream, const auto& begun_by, const auto& upstream)
    { note(stream, begun_by, upstream); };
    state_.streams.ask_agents = [this](auto streams)
    { return ask(std::move(streams)); };
}

void origin_note_sync::record_agent(
    const upstream_id& upstream, const asio::ip::udp::endpoint& address)
{
    const auto now = monotonic_clock::now();
    agents_.insert_or_assign(
        upstream, agent_contact{.address = address, .heard_at = now});
}

std::vector<asio::ip::udp::endpoint> origin_note_sync::heard_agents()
{
    const auto now = monotonic_clock::now();
    std::erase_if(
        agents_, [&](const auto& entry)
        { return now - entry.second.heard_at >= max_agent_silence; });
    std::vector<asio::ip::udp::endpoint> addresses;
    addresses.reserve(agents_.size());
    for (const auto& [upstream, agent] : agents_)
    {
        addresses.push_back(agent.address);
    }
    return addresses;
}

void origin_note_sync::note(
    const request_id& stream, const stream_origin::origin& begun_by,
    const upstream_id& upstream)
{
    const auto datagram =
        stream_origin::encode(stream_origin::origin_note{stream, begun_by});
    if (datagram.empty())
    {
        return;
    }
    auto others = heard_agents();
    const auto own = agents_.find(upstream);
    if (others.empty())
    {
        // Agents that this gateway has read of may not know it yet.
        const auto listed = peers_.agents();
        others.assign(listed.begin(), listed.end());
    }
    if (own != agents_.end())
    {
        peers_.send(datagram, own->second.address);
        std::erase(others, own->second.address);
    }
    if (!others.empty())
    {
        peers_.send(datagram, others[state_.random.below(others.size())]);
    }
}

asio::awaitable<noted_streams> origin_note_sync::ask(
    std::vector<request_id> streams)
{
    auto agents = peers_.agents();
    const auto heard = heard_agents();
    agents.insert(heard.begin(), heard.end());
    const auto inquiry = std::make_shared<pending_inquiry>(context_);
    inquiry->questions =
        stream_origin::make_questions(streams, state_.random.bits());
    const auto began_at = monotonic_clock::now();
    std::size_t asked = 0;
    for (const auto& question : inquiry->questions)
    {
        asked += question.streams.size();
        inquiries_.insert_or_assign(question.number, inquiry);
        const auto datagram = stream_origin::encode(question);
        for (const auto& agent : agents)
        {
            inquiry->missing.emplace(question.number, agent);
            peers_.send(datagram, agent);
        }
    }
    inquiry->found.is_partial = asked < streams.size();
    if (!inquiry->missing.empty())
    {
        inquiry->done.expires_after(answer_timeout);
        co_await inquiry->done.async_wait(completion);
    }
    for (const auto& question : inquiry->questions)
    {
        inquiries_.erase(question.number);
        inquiry->found.is_partial =
            inquiry->found.is_partial ||
            std::any_of(
                heard.begin(), heard.end(),
                [&](const auto& agent) {
                    return inquiry->missing.contains({question.number, agent});
                });
    }
    telemetry::event("stream_origins_asked")
        .with("streams", streams.size())
        .with("agents", agents.size())
        .with("known", inquiry->found.known.size())
        .with("missing_answers", inquiry->missing.size())
        .with("took_us", (monotonic_clock::now() - began_at).count());
    co_return std::move(inquiry->found);
}

void origin_note_sync::handle_answer(
    std::string_view datagram, const asio::ip::udp::endpoint& sender)
{
    const auto answer = stream_origin::decode_answer(datagram);
    const auto found =
        answer ? inquiries_.find(answer.value().number) : inquiries_.end();
    if (found == inquiries_.end())
    {
        state_.metrics.count("wagtail_agent_datagrams_dropped_total");
        return;
    }
    auto& inquiry = *found->second;
    const auto question = std::find_if(
        inquiry.questions.begin(), inquiry.questions.end(),
        [&](const auto& asked) { return asked.number == found->first; });
    for (const auto& [index, begun_by] : answer.value().known)
    {
        if (index < question->streams.size())
        {
            stream_origin::merge_origin(
                inquiry.found.known, question->streams[index], begun_by);
        }
    }
    inquiry.found.recent.insert(
        answer.value().recent.begin(), answer.value().recent.end());
    inquiry.found.is_partial =
        inquiry.found.is_partial || answer.value().is_partial;
    inquiry.missing.erase({found->first, sender});
    if (inquiry.missing.empty())
    {
        inquiry.done.cancel();
    }
}

} // namespace wagtailseam::gateway
