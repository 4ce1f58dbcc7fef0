// A visitor for std::visit built from lambdas.
#ifndef WAGTAILSEAM_CORE_OVERLOADED_HPP
#define WAGTAILSEAM_CORE_OVERLOADED_HPP

namespace wagtailseam
{

/// Joins callables into one visitor.
/// @example std::visit(overloaded{[](int) {}, [](double) {}}, value);
template <class... Callables>
struct overloaded : Callables...
{
    using Callables::operator()...;
};

template <class... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

} // namespace wagtailseam

#endif
