// The ids and units that every slice shares.
#ifndef WAGTAILSEAM_CORE_IDS_HPP
#define WAGTAILSEAM_CORE_IDS_HPP

#include "core/strong_type.hpp"

#include <cstdint>

namespace wagtailseam
{

using vm_id = strong_id<struct vm_tag>;
using data_centre_id = strong_id<struct data_centre_tag>;
using workspace_id = strong_id<struct workspace_tag>;
using upstream_id = strong_id<struct upstream_tag>;
using model_id = strong_id<struct model_tag>;
using adapter_id = strong_id<struct adapter_tag>;
using entry_id = strong_id<struct entry_tag>;
using cell_id = strong_id<struct cell_tag, std::uint32_t>;

/// Unique for each request of a caller, chosen by the entry that accepts it.
using request_id = strong_id<struct request_tag>;
/// Counts the attempts of one request from 1.
using attempt_number = strong_id<struct attempt_tag, std::uint32_t>;
/// Names one life of a process; a restart takes a new random one.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;
/// Chosen by the caller; unique within its workspace.
using idempotency_key = strong_id<struct idempotency_key_tag>;
/// Names one run of model weights; blocks never cross it.
using weight_version = strong_id<struct weight_version_tag, std::uint64_t>;
/// Numbers accepted configurations from 1, without gaps; 0 means none.
using config_number = strong_id<struct config_number_tag, std::uint64_t>;
/// Grows with each change of a lease's holder; 0 means none.
using fencing_number = strong_id<struct fencing_number_tag, std::uint64_t>;

using token_count = quantity<struct token_count_tag>;
using byte_count = quantity<struct byte_count_tag>;
/// Bytes a second.
using byte_rate = quantity<struct byte_rate_tag, double>;
/// Tokens a second.
using token_rate = quantity<struct token_rate_tag, double>;

} // namespace wagtailseam

#endif
