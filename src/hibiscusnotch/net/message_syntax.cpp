#include "hibiscusnotch/net/message_syntax.hpp"

namespace hibiscusnotch::net {

namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

} // namespace

bool
IsValidStatus(int aStatus)
{
  return aStatus >= kMinStatus && aStatus <= kMaxStatus;
}

} // namespace hibiscusnotch::net
