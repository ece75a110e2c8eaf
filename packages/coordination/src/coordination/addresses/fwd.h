#pragma once

namespace carawaypond {

class AddressBook;
struct AddressAnswer;
struct AddressBookOptions;
struct AddressQuestion;
class CallerDirectory;
struct CallerDirectoryOptions;
struct CallerQuestion;

} // namespace carawaypond
