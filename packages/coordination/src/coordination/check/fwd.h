#pragma once

namespace carawaypond {

enum class ConfigField;
enum class ConfigSection;
enum class Severity;
struct ConfigPlace;
struct Finding;
class ChangeText;
class ConfigCheck;
class ConfigDifference;

} // namespace carawaypond
