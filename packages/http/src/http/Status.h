#pragma once

namespace carawaypond::http {

/// The first status that ends an exchange.
inline constexpr unsigned FirstFinalStatus = 200;

/// @return Whether a response with @p Status is followed by the final one. A
/// change of protocols (101) is not: no request of ours asks for one.
[[nodiscard]] constexpr bool isInterim(unsigned Status) {
  constexpr unsigned Continue = 100;
  constexpr unsigned SwitchingProtocols = 101;
  return Status >= Continue && Status < FirstFinalStatus &&
         Status != SwitchingProtocols;
}

/// @return Whether @p Status ends an exchange. Below, and not interim, is no
/// status that a response to our requests may have.
[[nodiscard]] constexpr bool isFinal(unsigned Status) {
  return Status >= FirstFinalStatus;
}

} // namespace carawaypond::http
