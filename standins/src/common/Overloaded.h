#pragma once

namespace carawaypond::standins {

/// @brief Joins lambdas into one visitor for std::visit().
template <class... Visitors> struct Overloaded : Visitors... {
  using Visitors::operator()...;
};

} // namespace carawaypond::standins
