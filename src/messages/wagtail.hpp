// Includes the generated protobuf messages with compiler warnings disabled.
#ifndef WAGTAILSEAM_MESSAGES_WAGTAIL_HPP
#define WAGTAILSEAM_MESSAGES_WAGTAIL_HPP

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wconversion"
#pragma GCC diagnostic ignored "-Wsign-conversion"
#pragma GCC diagnostic ignored "-Wold-style-cast"
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wuseless-cast"
#pragma GCC diagnostic ignored "-Wextra-semi"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#include "messages/generated/wagtail.pb.h"
#pragma GCC diagnostic pop

#endif
