// The operators' pages of one instance, served on the peers' port.
#pragma once

#include <optional>

#include "dispatch.h"
#include "ibisnotch/http.h"

namespace ibisnotch {

// Handles /metrics, /admin/status, /admin/explain?id=ID, /admin/customers, /admin/burn,
// /admin/parts, /admin/release-part?id=ID, /admin/drain?server=NAME and
// /admin/undrain?server=NAME. Returns std::nullopt for any other path.
std::optional<HttpResponse> handleOperatorRequest(DispatchServices &services,
                                                  const HttpRequest &request);

} // namespace ibisnotch
