#pragma once

namespace carawaypond::http {

/// @return Whether the socket is open and has nothing to read: neither data nor
/// the end of the stream.
[[nodiscard]] bool isQuiet(int Socket);

} // namespace carawaypond::http
