// Combines lambdas into a visitor for std::visit.
#ifndef WAGTAILSEAM_CORE_OVERLOADED_HPP
#define WAGTAILSEAM_CORE_OVERLOADED_HPP

namespace wagtailseam
{

/// Inherits the call operators of all its callables.
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
