#include "gateway/quota/QuotaCodec.h"

#include "coordination/model/JsonText.h"

namespace carawaypond::gateway {

using nlohmann::json;

namespace {

/// More tokens are never held; larger numbers are malformed.
constexpr std::uint64_t MaxTokens = 1'000'000'000;
constexpr std::uint64_t MaxRetryMs = 3'600'000;

QuotaUse decodeUse(JsonReader &Reader) {
  return {.Workspace = WorkspaceName(Reader.string("workspace")),
          .Held = Reader.integerOr("held", 0, MaxTokens, 0),
          .Returned = Reader.integerOr("returned", 0, MaxTokens, 0),
          .Wanted = Reader.integerOr("wanted", 0, MaxTokens, 0),
          .Waiting = Reader.integerOr("waiting", 0, MaxTokens, 0)};
}

QuotaGrant decodeGrant(JsonReader &Reader) {
  QuotaGrant Grant{.Workspace = WorkspaceName(Reader.string("workspace")),
                   .Tokens = Reader.integerOr("tokens", 0, MaxTokens, 0),
                   .RetryAfter = {}};
  if (Reader.has("retry_after_ms"))
    Grant.RetryAfter = Milliseconds(static_cast<std::int64_t>(
        Reader.integer("retry_after_ms", 0, MaxRetryMs)));
  return Grant;
}

} // namespace

json encodeAllocator(const AllocatorRecord &Record) {
  json Item;
  Item["vm"] = Record.Vm.value();
  Item["life"] = Record.IncarnationNumber.value();
  Item["address"] = Record.Address;
  Item["term"] = Record.Term;
  if (Record.IsSettled)
    Item["settled"] = true;
  if (Record.IsReleased)
    Item["released"] = true;
  if (Record.Era > StoreEra(0))
    Item["era"] = Record.Era.value();
  Item["renewal"] = Record.Renewal;
  return Item;
}

std::optional<AllocatorRecord> decodeAllocator(const json &Item) {
  JsonReader Reader(Item, "");
  AllocatorRecord Record{
      .Vm = VmName(Reader.string("vm")),
      .IncarnationNumber = Incarnation(Reader.integer("life", 0, UINT64_MAX)),
      .Address = Reader.string("address"),
      .Term = Reader.integer("term", 1, UINT64_MAX - 1),
      .IsSettled = Reader.booleanOr("settled", false),
      .IsReleased = Reader.booleanOr("released", false),
      .Era = StoreEra(Reader.integerOr("era", 0, UINT64_MAX, 0)),
      .Renewal = Reader.integerOr("renewal", 0, UINT64_MAX - 1, 0)};
  if (Reader.error())
    return std::nullopt;
  return Record;
}

std::string encodeQuotaCall(const QuotaCall &Call) {
  json Body;
  Body["vm"] = Call.Vm.value();
  Body["life"] = Call.IncarnationNumber.value();
  Body["number"] = Call.Number;
  Body["answered"] = Call.Answered;
  Body["uses"] = json::array();
  for (const QuotaUse &Each : Call.Uses)
    Body["uses"].push_back({{"workspace", Each.Workspace.value()},
                            {"held", Each.Held},
                            {"returned", Each.Returned},
                            {"wanted", Each.Wanted},
                            {"waiting", Each.Waiting}});
  return Body.dump();
}

std::optional<QuotaCall> decodeQuotaCall(std::string_view Text) {
  json Body = parseJsonText(Text);
  JsonReader Reader(Body, "");
  QuotaCall Call{.Vm = VmName(Reader.string("vm")),
                 .IncarnationNumber =
                     Incarnation(Reader.integer("life", 0, UINT64_MAX)),
                 .Number = Reader.integer("number", 1, UINT64_MAX),
                 .Answered = Reader.integerOr("answered", 0, UINT64_MAX, 0),
                 .Uses = {}};
  for (const json &Each : Reader.array("uses")) {
    JsonReader Item(Each, Reader.pathOf("uses"));
    Call.Uses.push_back(decodeUse(Item));
    Reader.adopt(Item);
  }
  if (Reader.error())
    return std::nullopt;
  return Call;
}

std::string encodeQuotaAnswer(const QuotaAnswer &Answer) {
  json Body;
  Body["allocates"] = Answer.IsAllocator;
  Body["holds"] = Answer.IsHolder;
  Body["vm"] = Answer.Vm.value();
  Body["life"] = Answer.IncarnationNumber.value();
  if (Answer.Known)
    Body["allocator"] = encodeAllocator(*Answer.Known);
  Body["grants"] = json::array();
  for (const QuotaGrant &Each : Answer.Grants) {
    json Item;
    Item["workspace"] = Each.Workspace.value();
    Item["tokens"] = Each.Tokens;
    if (Each.RetryAfter)
      Item["retry_after_ms"] = Each.RetryAfter->count();
    Body["grants"].push_back(std::move(Item));
  }
  return Body.dump();
}

std::optional<QuotaAnswer> decodeQuotaAnswer(std::string_view Text) {
  json Body = parseJsonText(Text);
  JsonReader Reader(Body, "");
  QuotaAnswer Answer;
  Answer.IsAllocator = Reader.booleanOr("allocates", false);
  Answer.IsHolder = Reader.booleanOr("holds", false);
  Answer.Vm = VmName(Reader.string("vm"));
  Answer.IncarnationNumber = Incarnation(Reader.integer("life", 0, UINT64_MAX));
  for (const json &Each : Reader.array("grants")) {
    JsonReader Item(Each, Reader.pathOf("grants"));
    Answer.Grants.push_back(decodeGrant(Item));
    Reader.adopt(Item);
  }
  if (Reader.has("allocator"))
    Answer.Known = decodeAllocator(Body["allocator"]);
  if (Reader.error())
    return std::nullopt;
  return Answer;
}

} // namespace carawaypond::gateway
