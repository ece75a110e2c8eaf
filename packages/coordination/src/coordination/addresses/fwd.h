#pragma once

namespace carawaypond {

class AddressSelector;
struct AddressAnswer;
struct AddressSelectorOptions;
struct AddressQuestion;
class CallerDirectory;
struct CallerDirectoryOptions;
struct CallerQuestion;

} // namespace carawaypond
