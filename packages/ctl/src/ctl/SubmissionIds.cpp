#include "ctl/SubmissionIds.h"

#include <random>
#include <string_view>

namespace carawaypond::ctl {

namespace {

constexpr std::size_t MaxLength = 64;
constexpr std::size_t RandomDigits = 32; // 128 bits
constexpr std::string_view HexDigits = "0123456789abcdef";
constexpr std::string_view Allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                     "abcdefghijklmnopqrstuvwxyz"
                                     "0123456789._-";

} // namespace

bool isValidSubmissionId(const SubmissionId &Id) {
  const std::string &Text = Id.value();
  return !Text.empty() && Text.size() <= MaxLength &&
         Text.find_first_not_of(Allowed) == std::string::npos;
}

SubmissionId makeSubmissionId() {
  std::random_device Source;
  std::uniform_int_distribution<std::size_t> Digit(0, HexDigits.size() - 1);
  std::string Text = "ctl-";
  for (std::size_t I = 0; I < RandomDigits; ++I)
    Text += HexDigits[Digit(Source)];
  return SubmissionId(std::move(Text));
}

} // namespace carawaypond::ctl
