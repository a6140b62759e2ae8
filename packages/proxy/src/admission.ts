/**
 * The checks of a request's head: route, key and rate, against the declarations in force.
 */

import type * as http from "node:http";
import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as headers from "./headers.ts";
import * as refusals from "./refusals.ts";
import type * as contexts from "./request_context.ts";
import type * as log from "./request_log.ts";
import type * as types from "./types.ts";

/** A caller that names no deadline is given this time, unless the route has a time-out. */
const DEFAULT_DEADLINE_MILLISECONDS = 30_000;

/** The final answer leaves so long before the caller's deadline, for its way back. */
const ANSWER_MARGIN_MILLISECONDS = 5;

/** Without an answer of the store for so long, what is unknown here may be known elsewhere. */
const CONFIRMED_FOR_MILLISECONDS = 3_000;

/** Accepts a request, or says why not. Nothing has run when it refuses. */
export function acceptRequest(
  context: contexts.RequestContext,
  request: http.IncomingMessage,
  story: log.RequestStory,
): types.AcceptedRequest | refusals.Refusal {
  const { profile, store, budgets: shared } = context;
  const view = store.current;
  if (view === undefined) {
    return refuseUnknown(context, story, { status: 503, reason: "no_declarations" });
  }
  if (headers.countHeadBytes(request) > view.declarations.limits.headerBytes) {
    return { status: 431, reason: "head_too_large" };
  }
  const path = request.url ?? "/";
  const query = path.indexOf("?");
  const route = view.findRoute(
    request.headers.host ?? "",
    query < 0 ? path : path.slice(0, query),
  );
  if (route === undefined) {
    return refuseUnknown(context, story, { status: 404, reason: "unknown_route" });
  }
  let workspace: declarations.DeclaredWorkspace | undefined;
  if (view.hasKeys && !route.isPublic) {
    const key = headers.findKey(request, profile);
    workspace = key === undefined ? undefined : view.findWorkspace(key);
    if (workspace === undefined) {
      return refuseUnknown(context, story, { status: 401, reason: "unknown_key" });
    }
  }
  if (workspace !== undefined && !shared.takeRate(workspace)) {
    story.add("over_rate", shared.describeRate(workspace));
    return {
      status: 429,
      reason: "over_rate",
      retryAfterSeconds: refusals.RETRY_AFTER_SECONDS.overRate,
    };
  }
  const service = chooseDestination(route.destinations);
  const arrivedAt = story.arrivedAt;
  const stated = headers.parseMilliseconds(request.headers[profile.deadline]);
  const left = Math.min(
    stated === undefined ? Infinity : stated - ANSWER_MARGIN_MILLISECONDS,
    route.timeoutMilliseconds ?? Infinity,
    stated ?? route.timeoutMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS,
  );
  story.add("accepted", {
    route: route.id,
    service,
    workspace: workspace?.id,
    version: view.declarations.version,
    left: Math.round(left),
    confirmedAge: Math.round(arrivedAt - context.getConfirmedAt()),
  });
  return {
    id: story.id,
    route,
    workspace,
    service,
    priority: workspace?.priority ?? route.priority,
    arrivedAt,
    endsAt: arrivedAt + left,
    method: request.method ?? "GET",
    path,
    headers: headers.createForwardedHeaders(request, profile),
  };
}

/** A VM that may have missed a version does not say that something is unknown. */
function refuseUnknown(
  context: contexts.RequestContext,
  story: log.RequestStory,
  refusal: refusals.Refusal,
): refusals.Refusal {
  const view = context.store.current;
  const age = kernel.getMonotonicMilliseconds() - context.getConfirmedAt();
  story.add("unknown", {
    finding: refusal.reason,
    version: view?.declarations.version,
    confirmedAge: Number.isFinite(age) ? Math.round(age) : undefined,
  });
  const isCurrent = view !== undefined && age <= CONFIRMED_FOR_MILLISECONDS;
  return isCurrent ? refusal : {
    status: 503,
    reason: "no_declarations",
    retryAfterSeconds: refusals.RETRY_AFTER_SECONDS.noDeclarations,
  };
}

/** Draws one of a route's services by their weights. */
function chooseDestination(destinations: readonly declarations.Destination[]): model.ServiceId {
  const total = destinations.reduce((sum, destination) => sum + destination.weight, 0);
  let left = Math.random() * total;
  for (const destination of destinations) {
    left -= destination.weight;
    if (left < 0) {
      return destination.service;
    }
  }
  return kernel.getDefined(destinations.at(-1), "A route has a destination.").service;
}
