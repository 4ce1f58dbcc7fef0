// Storage, expiry and lookup of noted streams.
#include "stream_origin/noted_origins.hpp"

namespace wagtailseam::stream_origin
{

void noted_origins::add(const origin_note& note, mono_time now)
{
    expire(now);
    const auto kept_until = now + options_.retention;
    const auto [stored, is_new] =
        origins_.try_emplace(note.stream, noted_origin{note.begun_by, {}});
    if (stored->second.begun_by.version != note.begun_by.version)
    {
        stored->second.begun_by.version.reset();
    }
    stored->second.kept_until = kept_until;
    order_.emplace_back(kept_until, note.stream);
    while (order_.size() > options_.max_streams)
    {
        const auto& [until, stream] = order_.front();
        const auto oldest = origins_.find(stream);
        if (oldest != origins_.end() && oldest->second.kept_until == until)
        {
            origins_.erase(oldest);
        }
        order_.pop_front();
    }
}

origin_answer noted_origins::answer(
    const origin_question& question, mono_time now)
{
    expire(now);
    origin_answer answer{.number = question.number};
    for (std::size_t index = 0; index < question.streams.size(); ++index)
    {
        const auto found = origins_.find(question.streams[index]);
        if (found != origins_.end())
        {
            answer.known.emplace(index, found->second.begun_by);
        }
    }
    for (const auto& [stream, noted] : origins_)
    {
        answer.recent.insert(noted.begun_by);
    }
    return answer;
}

void noted_origins::expire(mono_time now)
{
    while (!order_.empty() && order_.front().first <= now)
    {
        const auto oldest = origins_.find(order_.front().second);
        if (oldest != origins_.end() && oldest->second.kept_until <= now)
        {
            origins_.erase(oldest);
        }
        order_.pop_front();
    }
}

void merge_origin(
    std::unordered_map<request_id, origin>& known, const request_id& stream,
    const origin& begun_by)
{
    const auto [stored, is_new] = known.try_emplace(stream, begun_by);
    if (stored->second.version != begun_by.version)
    {
        stored->second.version.reset();
    }
}

} // namespace wagtailseam::stream_origin
