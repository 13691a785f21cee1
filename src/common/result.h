#pragma once

#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

namespace lacewingwharf {

/**
 * The value of an operation or its layer's own error. Reading the wrong side
 * terminates the process; check first. Layers define an error struct with a
 * code (enum class with a table of names) and a detail text.
 */
template<typename Value, typename Error>
using Result = boost::outcome_v2::
  basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace lacewingwharf
