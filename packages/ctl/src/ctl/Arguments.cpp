#include "ctl/Arguments.h"

#include "ctl/SubmissionIds.h"
#include "ctl/Syntax.h"
#include "http/Endpoint.h"

#include <boost/program_options.hpp>

#include <charconv>
#include <cstdint>

namespace carawaypond::ctl {

namespace po = boost::program_options;

namespace {

using Words = std::vector<std::string>;

auto usageError(std::string Message) {
  return failure(ErrorCode::InvalidInput, std::move(Message));
}

po::options_description describeOptions() {
  po::options_description Options;
  auto Add = Options.add_options();
  Add("help", "");
  Add("json", "");
  Add("operator", po::value<Words>()->composing(), "");
  Add("timeout-ms", po::value<std::string>(), "");
  Add("submission", po::value<std::string>(), "");
  Add("version", po::value<std::string>(), "");
  Add("patch", po::value<std::string>(), "");
  Add("word", po::value<Words>(), "");
  return Options;
}

Result<po::variables_map> readOptions(const Words &Arguments) {
  po::positional_options_description Positions;
  Positions.add("word", -1);
  po::variables_map Values;
  try {
    po::options_description Options = describeOptions();
    po::store(po::command_line_parser(Arguments)
                  .options(Options)
                  .positional(Positions)
                  .run(),
              Values);
  } catch (const po::error &Thrown) {
    return usageError(Thrown.what());
  }
  return Values;
}

/// @return The values of an option that may be repeated.
Words wordsOf(const po::variables_map &Values, const std::string &Option) {
  return Values.contains(Option) ? Values[Option].as<Words>() : Words();
}

/// @brief Reads the value of @p Option as a number above zero.
Result<std::uint64_t> numberOf(const po::variables_map &Values,
                               const std::string &Option) {
  const auto &Text = Values[Option].as<std::string>();
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data(), End, Number);
  if (Code != std::errc() || Stop != End || Number == 0)
    return usageError("--" + Option +
                      " must be a whole number above 0, not \"" + Text + "\"");
  return Number;
}

/// @brief Splits comma lists and checks each address.
Result<Words> operatorsOf(const po::variables_map &Values) {
  Words Operators;
  for (std::string Rest : wordsOf(Values, "operator")) {
    while (!Rest.empty()) {
      std::size_t Comma = std::min(Rest.find(','), Rest.size());
      std::string Address = Rest.substr(0, Comma);
      Rest.erase(0, Comma + 1);
      auto Endpoint = http::parseEndpoint(Address);
      if (!Endpoint)
        return usageError("--operator: " + Endpoint.error().Message);
      Operators.push_back(std::move(Address));
    }
  }
  if (Operators.empty())
    return usageError("--operator ADDRESS is needed");
  return Operators;
}

Result<GlobalOptions> globalsOf(const po::variables_map &Values) {
  GlobalOptions Options;
  auto Operators = operatorsOf(Values);
  if (!Operators)
    return usageError(Operators.error().Message);
  Options.Operators = std::move(Operators.value());
  Options.Json = Values.contains("json");
  if (Values.contains("timeout-ms")) {
    auto Timeout = numberOf(Values, "timeout-ms");
    if (!Timeout)
      return usageError(Timeout.error().Message);
    Options.Timeout = Milliseconds(Timeout.value());
  }
  if (Values.contains("submission")) {
    Options.Submission = SubmissionId(Values["submission"].as<std::string>());
    if (!isValidSubmissionId(Options.Submission))
      return usageError("--submission must be 1 to 64 characters from "
                        "[A-Za-z0-9._-]");
  }
  return Options;
}

/// @brief Takes the command's one or two words off the front of @p Given.
const Syntax *takeCommand(Words &Given) {
  std::string Name;
  for (std::size_t Count = 1; Count <= 2 && Count <= Given.size(); ++Count) {
    Name += (Count == 1 ? "" : " ") + Given[Count - 1];
    const Syntax *Found = findSyntax(Name);
    if (Found == nullptr)
      continue;
    Given.erase(Given.begin(),
                Given.begin() + static_cast<std::ptrdiff_t>(Count));
    return Found;
  }
  return nullptr;
}

/// @return Whether just the options that @p Wanted needs are given.
bool hasOptionsOf(const Syntax &Wanted, const po::variables_map &Values) {
  bool NeedsVersion = Wanted.Options != Needs::Nothing;
  bool NeedsPatch = Wanted.Options == Needs::VersionAndPatch;
  return Values.contains("version") == NeedsVersion &&
         Values.contains("patch") == NeedsPatch;
}

Result<Command> commandOf(const po::variables_map &Values) {
  Operands Given;
  Given.Words = wordsOf(Values, "word");
  if (Given.Words.empty())
    return usageError("a command is needed; see --help");
  std::string First = Given.Words.front();
  const Syntax *Wanted = takeCommand(Given.Words);
  if (!Wanted)
    return usageError("unknown command \"" + First + "\"; see --help");
  if (Given.Words.size() != Wanted->Words || !hasOptionsOf(*Wanted, Values))
    return usageError("usage: carawayctl --operator ADDRESS " + Wanted->Usage);
  if (Values.contains("version")) {
    auto Number = numberOf(Values, "version");
    if (!Number)
      return usageError(Number.error().Message);
    Given.Version = ConfigVersion(Number.value());
  }
  if (Values.contains("patch"))
    Given.Patch = Values["patch"].as<std::string>();
  return Wanted->Make(Given);
}

} // namespace

Result<Invocation> parseArguments(const Words &Arguments) {
  // As the only argument --version asks for the program's own version.
  if (Arguments.size() == 1 && Arguments.front() == "--version")
    return Invocation{.Options = {}, .Wanted = ShowVersion()};
  auto Values = readOptions(Arguments);
  if (!Values)
    return usageError(Values.error().Message);
  if (Values.value().contains("help"))
    return Invocation{.Options = {}, .Wanted = ShowHelp()};
  auto Wanted = commandOf(Values.value());
  if (!Wanted)
    return usageError(Wanted.error().Message);
  auto Options = globalsOf(Values.value());
  if (!Options)
    return usageError(Options.error().Message);
  if (std::holds_alternative<StopVm>(Wanted.value()) &&
      Options.value().Operators.size() != 1)
    return usageError("stop needs exactly one --operator ADDRESS");
  return Invocation{.Options = std::move(Options.value()),
                    .Wanted = std::move(Wanted.value())};
}

} // namespace carawaypond::ctl
