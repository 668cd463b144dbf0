// What operators ask of one instance, on the peers' port.
#pragma once

#include <optional>

#include "dispatch.h"
#include "ibisnotch/http.h"

namespace ibisnotch {

// /metrics, /admin/status, /admin/explain?id=ID, /admin/burn, /admin/drain?server=NAME,
// /admin/undrain?server=NAME. Nothing if the path is none of these.
std::optional<HttpResponse> handleOperatorRequest(DispatchServices &services,
                                                  const HttpRequest &request);

} // namespace ibisnotch
