#include "gateway/traffic/RequestContent.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <string>

namespace carawaypond::gateway {

namespace {

std::uint64_t hash(std::string_view Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

} // namespace

ContentHash contentOf(const adapter::CallerRequest &Asked) {
  const adapter::ForwardedText &Text = *Asked.Forwarded;
  std::string_view RequestLine(Text.Head);
  RequestLine = RequestLine.substr(0, RequestLine.find("\r\n"));
  std::uint64_t Hash = hash(RequestLine, 0);
  Hash = hash(Asked.Host, Hash);
  Hash = hash(Asked.Workspace, Hash);
  return ContentHash(hash(Text.Body, Hash));
}

RequestHash hashOfRequest(std::string_view RequestId) {
  return RequestHash(static_cast<std::uint32_t>(hash(RequestId, 0)));
}

ReplicaHash hashOfReplica(const ServerName &Replica, std::int64_t StartedAt) {
  std::uint64_t Hash =
      hash(Replica.value(), static_cast<std::uint64_t>(StartedAt));
  return ReplicaHash(static_cast<std::uint32_t>(Hash));
}

} // namespace carawaypond::gateway
