#include "ctl/Arguments.h"

#include "ctl/CommandSyntax.h"
#include "ctl/SubmissionIds.h"
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
  Add("against", po::value<std::string>(), "");
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
Words valuesOf(const po::variables_map &Values, const std::string &Option) {
  return Values.contains(Option) ? Values[Option].as<Words>() : Words();
}

/// @brief Parses the value of @p Option as a positive integer.
Result<std::uint64_t> parsePositive(const po::variables_map &Values,
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

/// @brief Splits comma-separated lists and validates each address.
Result<Words> parseOperators(const po::variables_map &Values) {
  Words Operators;
  for (std::string Rest : valuesOf(Values, "operator")) {
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
  return Operators;
}

Result<GlobalOptions> parseGlobalOptions(const po::variables_map &Values) {
  GlobalOptions Options;
  auto Operators = parseOperators(Values);
  if (!Operators)
    return usageError(Operators.error().Message);
  Options.Operators = std::move(Operators.value());
  Options.Json = Values.contains("json");
  if (Values.contains("timeout-ms")) {
    auto Timeout = parsePositive(Values, "timeout-ms");
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

/// @brief Finds the command that the first one or two words of @p Input name,
/// and removes these words.
/// @return The command's syntax, or nullptr if there is no such command.
const CommandSyntax *consumeCommandName(Words &Input) {
  std::string Name;
  for (std::size_t Count = 1; Count <= 2 && Count <= Input.size(); ++Count) {
    Name += (Count == 1 ? "" : " ") + Input[Count - 1];
    const CommandSyntax *Found = findSyntax(Name);
    if (Found == nullptr)
      continue;
    Input.erase(Input.begin(),
                Input.begin() + static_cast<std::ptrdiff_t>(Count));
    return Found;
  }
  return nullptr;
}

/// @return Whether the options that @p Syntax requires are present, and none
/// that it does not accept.
bool hasValidOptions(const CommandSyntax &Syntax,
                     const po::variables_map &Values) {
  bool NeedsVersion = Syntax.Options != RequiredOptions::Nothing;
  bool NeedsPatch = Syntax.Options == RequiredOptions::VersionAndPatch;
  if (Values.contains("against") && !Syntax.IsLocal)
    return false;
  return Values.contains("version") == NeedsVersion &&
         Values.contains("patch") == NeedsPatch;
}

std::string usageOf(const CommandSyntax &Syntax) {
  std::string Usage = "usage: carawayctl ";
  return Usage.append(Syntax.IsLocal ? "" : "--operator ADDRESS ")
      .append(Syntax.Usage);
}

Result<Command> parseCommand(const po::variables_map &Values) {
  Operands Input;
  Input.Words = valuesOf(Values, "word");
  if (Input.Words.empty())
    return usageError("a command is needed; see --help");
  std::string First = Input.Words.front();
  const CommandSyntax *Syntax = consumeCommandName(Input.Words);
  if (!Syntax)
    return usageError("unknown command \"" + First + "\"; see --help");
  if (Input.Words.size() != Syntax->Words || !hasValidOptions(*Syntax, Values))
    return usageError(usageOf(*Syntax));
  if (Values.contains("version")) {
    auto Number = parsePositive(Values, "version");
    if (!Number)
      return usageError(Number.error().Message);
    Input.Version = ConfigVersion(Number.value());
  }
  if (Values.contains("patch"))
    Input.Patch = Values["patch"].as<std::string>();
  if (Values.contains("against"))
    Input.Against = Values["against"].as<std::string>();
  if (Input.Against == "-" && Input.Words[0] == "-")
    return usageError("only one document can come from standard input");
  return Syntax->Make(Input);
}

} // namespace

Result<Invocation> parseArguments(const Words &Arguments) {
  // --version N is an option of some commands; as the only argument --version
  // prints the program's version.
  if (Arguments.size() == 1 && Arguments.front() == "--version")
    return Invocation{.Options = {}, .RequestedCommand = ShowVersion()};
  auto Values = readOptions(Arguments);
  if (!Values)
    return usageError(Values.error().Message);
  if (Values.value().contains("help"))
    return Invocation{.Options = {}, .RequestedCommand = ShowHelp()};
  auto Command = parseCommand(Values.value());
  if (!Command)
    return usageError(Command.error().Message);
  auto Options = parseGlobalOptions(Values.value());
  if (!Options)
    return usageError(Options.error().Message);
  if (!std::holds_alternative<CheckConfig>(Command.value()) &&
      Options.value().Operators.empty())
    return usageError("--operator ADDRESS is needed");
  if (std::holds_alternative<StopVm>(Command.value()) &&
      Options.value().Operators.size() != 1)
    return usageError("stop needs exactly one --operator ADDRESS");
  return Invocation{.Options = std::move(Options.value()),
                    .RequestedCommand = std::move(Command.value())};
}

} // namespace carawaypond::ctl
