#include "peer/codec/SubrequestCodec.h"

#include "peer/codec/Bytes.h"

#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace carawaypond::peer {

namespace {

using RequestText = std::shared_ptr<const std::string>;

/// Encoded size of a subrequest without its variable-length fields; includes
/// pointers and padding.
constexpr std::size_t SubrequestOverheadBytes = 160;
constexpr std::size_t RequestOverheadBytes = 16;

/// Distinct request texts of a batch, numbered in order of first use.
struct RequestTable {
  std::vector<const std::string *> Texts;
  std::unordered_map<const std::string *, std::uint32_t> Numbers;
};

RequestTable collectRequests(const std::vector<PeerSubrequest> &Batch) {
  RequestTable Table;
  for (const PeerSubrequest &Subrequest : Batch) {
    const std::string *Text = Subrequest.Request.get();
    auto Number = static_cast<std::uint32_t>(Table.Texts.size());
    if (Table.Numbers.emplace(Text, Number).second)
      Table.Texts.push_back(Text);
  }
  return Table;
}

void writeSubrequest(const PeerSubrequest &Subrequest, std::uint32_t Request,
                     wire::Subrequest::Builder Out) {
  Out.setId(Subrequest.Id.value());
  Out.setQueryId(Subrequest.Query.value());
  Out.setService(toText(Subrequest.Service.value()));
  Out.setCallerClass(toText(Subrequest.Class.value()));
  Out.setShard(Subrequest.Shard.value());
  Out.setRepeatable(Subrequest.Repeatable);
  Out.setVersion(Subrequest.Version.value());
  Out.setLayout(Subrequest.Layout);
  Out.setDeadlineMillis(Subrequest.Deadline.Value);
  Out.setRequest(Request);
  if (Subrequest.Server)
    Out.setServer(toText(Subrequest.Server->value()));
}

PeerSubrequest readSubrequest(wire::Subrequest::Reader In,
                              const RequestText &Request) {
  PeerSubrequest Subrequest{.Id = SubrequestId(In.getId()),
                            .Query = QueryId(In.getQueryId()),
                            .Service = ServiceName(toString(In.getService())),
                            .Class = ClassName(toString(In.getCallerClass())),
                            .Shard = ShardId(In.getShard()),
                            .Version = IndexVersion(In.getVersion()),
                            .Layout = In.getLayout(),
                            .Deadline = WallMillis{In.getDeadlineMillis()},
                            .Repeatable = In.getRepeatable(),
                            .Request = Request,
                            .Server = std::nullopt};
  std::string Server = toString(In.getServer());
  if (!Server.empty())
    Subrequest.Server = ServerName(std::move(Server));
  return Subrequest;
}

std::vector<RequestText> readRequests(wire::Batch::Reader In) {
  std::vector<RequestText> Requests;
  for (capnp::Data::Reader Request : In.getRequests())
    Requests.push_back(std::make_shared<const std::string>(toString(Request)));
  return Requests;
}

} // namespace

void writeBatch(const std::vector<PeerSubrequest> &Batch,
                wire::Batch::Builder Out) {
  RequestTable Table = collectRequests(Batch);
  auto Requests =
      Out.initRequests(static_cast<capnp::uint>(Table.Texts.size()));
  capnp::uint Next = 0;
  for (const std::string *Text : Table.Texts)
    Requests.set(Next++, toData(*Text));

  auto Subrequests =
      Out.initSubrequests(static_cast<capnp::uint>(Batch.size()));
  Next = 0;
  for (const PeerSubrequest &Subrequest : Batch)
    writeSubrequest(Subrequest, Table.Numbers.at(Subrequest.Request.get()),
                    Subrequests[Next++]);
}

Result<std::vector<PeerSubrequest>> readBatch(wire::Batch::Reader In) {
  std::vector<RequestText> Requests = readRequests(In);
  auto Subrequests = In.getSubrequests();
  std::vector<PeerSubrequest> Batch;
  Batch.reserve(Subrequests.size());
  for (wire::Subrequest::Reader Subrequest : Subrequests) {
    std::uint32_t Request = Subrequest.getRequest();
    if (Request >= Requests.size())
      return failure(ErrorCode::Malformed,
                     "subrequest " + std::to_string(Subrequest.getId()) +
                         ": request " + std::to_string(Request) +
                         " is not among the batch's " +
                         std::to_string(Requests.size()));
    Batch.push_back(readSubrequest(Subrequest, Requests[Request]));
  }
  return Batch;
}

std::size_t wireBytes(const std::vector<PeerSubrequest> &Batch) {
  std::size_t Bytes = 0;
  std::unordered_set<const std::string *> Seen;
  for (const PeerSubrequest &Subrequest : Batch) {
    Bytes += SubrequestOverheadBytes;
    Bytes += Subrequest.Service.value().size();
    Bytes += Subrequest.Class.value().size();
    if (Subrequest.Server)
      Bytes += Subrequest.Server->value().size();
    if (Seen.insert(Subrequest.Request.get()).second)
      Bytes += RequestOverheadBytes + Subrequest.Request->size();
  }
  return Bytes;
}

} // namespace carawaypond::peer
