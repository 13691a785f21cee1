#pragma once

#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

namespace lacewingwharf {

/**
 * The value of an operation or the error of its layer. Check which one it holds
 * first: access to the other one terminates the process. Each layer defines an
 * error struct with a code (an enum class with a table of names) and a detail
 * text.
 */
template<typename Value, typename Error>
using Result = boost::outcome_v2::
  basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace lacewingwharf
