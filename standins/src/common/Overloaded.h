#pragma once

namespace carawaypond::standins {

/// @brief Combines lambdas into one visitor for std::visit().
template <class... Visitors> struct Overloaded : Visitors... {
  using Visitors::operator()...;
};

template <class... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace carawaypond::standins
