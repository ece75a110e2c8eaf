#pragma once

namespace carawaypond::http {

/// @return Whether a response with @p Status is followed by the final one. A
/// change of protocols (101) is not: no request of ours asks for one.
[[nodiscard]] constexpr bool isInterim(unsigned Status) {
  constexpr unsigned Continue = 100;
  constexpr unsigned SwitchingProtocols = 101;
  constexpr unsigned FirstFinal = 200;
  return Status >= Continue && Status < FirstFinal &&
         Status != SwitchingProtocols;
}

/// @return Whether @p Status ends an exchange. Below, and not interim, is no
/// status that a response to our requests may have.
[[nodiscard]] constexpr bool isFinal(unsigned Status) {
  constexpr unsigned FirstFinal = 200;
  return Status >= FirstFinal;
}

} // namespace carawaypond::http
