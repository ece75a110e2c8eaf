#include "gateway/peers/ContactCodec.h"

#include <nlohmann/json.hpp>

namespace carawaypond::gateway {

namespace {

/// Ages above 35 years are no ages, and would overflow a TimePoint.
constexpr std::uint64_t MaxAgeMillis = std::uint64_t{1} << 40;
constexpr const char *SinceKey = "store_since_ms";
constexpr const char *UntilKey = "store_until_ms";
constexpr const char *EraKey = "store_era";
constexpr const char *RestoredKey = "store_restored";
constexpr const char *ProofKey = "config_proof_age_ms";

} // namespace

Milliseconds readAge(JsonReader &Reader, std::string_view Key) {
  std::uint64_t Millis = Reader.integerOr(Key, 0, MaxAgeMillis, 0);
  return Milliseconds(static_cast<std::int64_t>(Millis));
}

void addProofAge(nlohmann::json &Body, const std::optional<Milliseconds> &Age) {
  if (Age)
    Body[ProofKey] = Age->count();
}

std::optional<Milliseconds> readProofAge(JsonReader &Reader) {
  if (!Reader.has(ProofKey))
    return std::nullopt;
  return readAge(Reader, ProofKey);
}

void addContact(nlohmann::json &Body,
                const std::optional<ContactAge> &Contact) {
  if (!Contact)
    return;
  Body[SinceKey] = Contact->Since.count();
  Body[UntilKey] = Contact->Until.count();
  if (Contact->Era > StoreEra(0))
    Body[EraKey] = Contact->Era.value();
  if (Contact->FollowsRestore)
    Body[RestoredKey] = true;
}

std::optional<ContactAge> readContact(JsonReader &Reader) {
  if (!Reader.has(SinceKey) || !Reader.has(UntilKey))
    return std::nullopt;
  ContactAge Contact{.Since = readAge(Reader, SinceKey),
                     .Until = readAge(Reader, UntilKey),
                     .Era =
                         StoreEra(Reader.integerOr(EraKey, 0, UINT64_MAX, 0)),
                     .FollowsRestore = Reader.booleanOr(RestoredKey, false)};
  if (Contact.Since < Contact.Until)
    Reader.fail(SinceKey, "must not be less than the last answer's age");
  return Contact;
}

} // namespace carawaypond::gateway
