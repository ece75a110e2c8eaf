#pragma once

namespace carawaypond {

class AddressBook;
struct AddressAnswer;
struct AddressBookOptions;
struct AddressQuestion;

} // namespace carawaypond
