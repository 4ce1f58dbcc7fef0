// Signed envelopes around control messages.
#include "peer/peer.hpp"

namespace wagtailseam::peer
{

std::string seal(
    const identity::process_keys& keys, std::uint64_t nonce,
    const google::protobuf::MessageLite& message)
{
    messages::envelope wrapped;
    wrapped.set_body(message.SerializeAsString());
    wrapped.set_nonce(nonce);
    wrapped.set_signature(std::string(keys.sign(nonce, wrapped.body()).view()));
    return wrapped.SerializeAsString();
}

result<void> open_sealed(
    const identity::process_keys& keys, std::string_view sealed,
    google::protobuf::MessageLite& message)
{
    messages::envelope wrapped;
    if (!wrapped.ParseFromArray(sealed.data(), static_cast<int>(sealed.size())))
    {
        return fail(result_code::malformed_message, "bad envelope");
    }
    const digest signature = digest::from_bytes(wrapped.signature());
    if (!keys.accepts(wrapped.nonce(), wrapped.body(), signature))
    {
        return fail(result_code::bad_process_signature);
    }
    if (!message.ParseFromString(wrapped.body()))
    {
        return fail(result_code::malformed_message, "bad control message");
    }
    return boost::outcome_v2::success();
}

} // namespace wagtailseam::peer
