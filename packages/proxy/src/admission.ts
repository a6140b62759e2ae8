/**
 * Checks the head of a request: its route, key and rate, against the declarations in force.
 */

import type * as http from "node:http";
import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import type * as budgetTypes from "./budgets.ts";
import * as forwarding from "./forwarding.ts";
import * as headers from "./headers.ts";
import * as refusals from "./refusals.ts";
import type * as contexts from "./request_context.ts";
import type * as log from "./request_log.ts";
import * as limits from "./stop_limit.ts";
import type * as types from "./types.ts";

/** Deadline of a request without a deadline header, unless its route has a timeout. */
const DEFAULT_DEADLINE_MILLISECONDS = 30_000;

/**
 * Time before the caller's deadline at which the final response is sent, to allow for its way back.
 */
const ANSWER_MARGIN_MILLISECONDS = 5;

/**
 * Longest time until the final response, in milliseconds. The request's timers would expire at once
 * with a longer delay, and the same with one that rounding makes longer.
 */
const MAX_ANSWER_MILLISECONDS = forwarding.MAX_LEFT_MILLISECONDS - 1;

/**
 * After this time without a response from the store to any VM, something unknown to this VM may be
 * known to others.
 */
const CONFIRMED_FOR_MILLISECONDS = 3_000;

/** Methods of which the order and the number of their runs make no difference. */
const SAFE_METHODS: ReadonlySet<string | undefined> = new Set(["GET", "HEAD"]);

/**
 * Finds the route of a request of a caller that may be handled at the same time as others of its
 * connection for which there is one (RFC 9112, section 9.3.2). Such a request has no body, so that
 * nothing of it is left to read.
 */
export function findRouteAhead(
  view: declarations.DeclarationView,
  request: http.IncomingMessage,
): declarations.DeclaredRoute | undefined {
  const { headers: fields } = request;
  if (headers.hasTooManyFields(request, false)) {
    // Not all of them are known.
    return undefined;
  }
  const hasBody = fields["transfer-encoding"] !== undefined ||
    (fields["content-length"] ?? "0") !== "0";
  // A caller of HTTP/1.0 cannot get a response in chunks, which keeps the connection open.
  if (!SAFE_METHODS.has(request.method) || request.httpVersion !== "1.1" || hasBody) {
    return undefined;
  }
  const route = fields.expect === undefined ? findRoute(view, request) : undefined;
  return route?.isIdempotent === true && route.mayRunAhead === true ? route : undefined;
}

function findRoute(
  view: declarations.DeclarationView,
  request: headers.RequestHead,
): declarations.DeclaredRoute | undefined {
  const path = request.url ?? "/";
  const query = path.indexOf("?");
  return view.findRoute(request.headers.host ?? "", query < 0 ? path : path.slice(0, query));
}

/** What admission depends on. */
export type AdmissionContext = Pick<
  contexts.RequestContext,
  "profile" | "store" | "getConfirmedAt" | "stop"
>;

/** What the declarations in force give for a request. */
export interface DeclaredRequest {
  readonly view: declarations.DeclarationView;
  readonly route: declarations.DeclaredRoute;
  /** Undefined if the request needs no key. */
  readonly workspace: declarations.DeclaredWorkspace | undefined;
}

/** Accepts a request, or returns why not. A refused request has not run anywhere. */
export async function acceptRequest(
  context: contexts.RequestContext,
  request: headers.RequestHead,
  trace: log.RequestTrace,
): Promise<types.AcceptedRequest | refusals.Refusal> {
  const { budgets, profile } = context;
  const declared = findDeclared(context, request, trace);
  if ("status" in declared) {
    return declared;
  }
  const stopping = findStopRefusal(context, request, trace, declared);
  if (stopping !== undefined) {
    return stopping;
  }
  const { route, workspace } = declared;
  if (workspace !== undefined && !await takeRate(budgets, workspace, route, trace)) {
    const timeLeft = getTimeLeft(request, route, profile);
    const retryAfterSeconds = budgets.takeReturnSeconds(workspace, route.priority, timeLeft);
    trace.add("over_rate", {
      ...budgets.describeRate(workspace),
      priority: route.priority,
      retryAfter: Math.round(retryAfterSeconds * 1_000),
    });
    return createOverRate(retryAfterSeconds);
  }
  return createAccepted(context, request, trace, declared);
}

/** The refusal of a request beyond its workspace's rate. */
export function createOverRate(retryAfterSeconds: number): refusals.Refusal {
  return { status: 429, reason: "over_rate", retryAfterSeconds };
}

/**
 * The refusal of a request that may not begin any more, since this VM stops; undefined if it may.
 * It takes nothing of its workspace's rate.
 */
export function findStopRefusal(
  context: AdmissionContext & limits.StopLimitContext,
  request: headers.RequestHead,
  trace: log.RequestTrace,
  { route }: Pick<DeclaredRequest, "route">,
): refusals.Refusal | undefined {
  const endsAt = trace.arrivedAt + getAnswerTime(request, route, context.profile);
  return limits.mayBegin(context, { route, endsAt, isLate: context.stop.isClosing })
    ? undefined
    : refusals.createStopping();
}

/** Finds the route and the workspace of a request, or returns why it is refused. */
export function findDeclared(
  context: AdmissionContext,
  request: headers.RequestHead,
  trace: log.RequestTrace,
): DeclaredRequest | refusals.Refusal {
  const { profile, store } = context;
  const view = store.current;
  if (view === undefined) {
    return refuseUnknown(context, trace, { status: 503, reason: "no_declarations" });
  }
  if (request.headers.host === undefined && request.httpVersion === "1.1") {
    return { status: 400, reason: "invalid_request" };
  }
  const isTooLarge = headers.hasTooManyFields(request, false) ||
    headers.countHeadBytes(request) > view.declarations.limits.headerBytes;
  if (isTooLarge) {
    return { status: 431, reason: "head_too_large" };
  }
  const route = findRoute(view, request);
  if (route === undefined) {
    return refuseUnknown(context, trace, { status: 404, reason: "unknown_route" });
  }
  let workspace: declarations.DeclaredWorkspace | undefined;
  if (view.requiresKeys && !route.isPublic) {
    const key = headers.findKey(request, profile);
    workspace = key === undefined ? undefined : view.findWorkspace(key);
    if (workspace === undefined) {
      return refuseUnknown(context, trace, { status: 401, reason: "unknown_key" });
    }
  }
  return { view, route, workspace };
}

/** Time that the caller of a request waits, in milliseconds. */
export function getTimeLeft(
  request: headers.RequestHead,
  route: declarations.DeclaredRoute,
  profile: types.HeaderProfile,
): number {
  return headers.parseMilliseconds(request.headers[profile.deadline]) ??
    route.timeoutMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS;
}

/** Time from the arrival of a request to its final response at the latest, in milliseconds. */
function getAnswerTime(
  request: headers.RequestHead,
  route: declarations.DeclaredRoute,
  profile: types.HeaderProfile,
): number {
  const callerDeadline = headers.parseMilliseconds(request.headers[profile.deadline]);
  return Math.min(
    callerDeadline === undefined ? Infinity : callerDeadline - ANSWER_MARGIN_MILLISECONDS,
    route.timeoutMilliseconds ?? Infinity,
    getTimeLeft(request, route, profile),
    MAX_ANSWER_MILLISECONDS,
  );
}

/** Accepts a request that is within its workspace's rate, and draws its service. */
export function createAccepted(
  context: AdmissionContext,
  request: headers.RequestHead,
  trace: log.RequestTrace,
  { view, route, workspace }: DeclaredRequest,
): types.AcceptedRequest {
  const { profile } = context;
  const service = chooseDestination(route.destinations);
  const arrivedAt = trace.arrivedAt;
  const left = getAnswerTime(request, route, profile);
  trace.add("accepted", {
    route: route.id,
    service,
    workspace: workspace?.id,
    version: view.declarations.version,
    left: Math.round(left),
    confirmedAge: Math.round(arrivedAt - context.getConfirmedAt()),
  });
  return {
    id: trace.id,
    route,
    workspace: workspace?.id,
    service,
    priority: workspace?.priority ?? route.priority,
    homes: placement.intersectHomes(route.homes, workspace?.homes),
    arrivedAt,
    endsAt: arrivedAt + left,
    isLate: context.stop.isClosing,
    method: request.method ?? "GET",
    path: request.url ?? "/",
    headers: headers.createForwardedHeaders(request, profile),
  };
}

/**
 * Accepts a request that another VM has passed on, or returns why this VM cannot serve it. That VM
 * has checked its route, key and rate.
 */
export function acceptForwarded(
  context: contexts.RequestContext,
  request: http.IncomingMessage,
  trace: log.RequestTrace,
): types.AcceptedRequest | refusals.Refusal {
  const { forwardedRequests, profile, path, stop } = context;
  if (headers.hasTooManyFields(request, true)) {
    return { status: 431, reason: "head_too_large" };
  }
  if (stop.isStopping) {
    // Other VMs do not know, and would keep it busy until it cuts off the last of their requests.
    return refusals.createStopping();
  }
  if (path.isIsolated) {
    return { status: 503, reason: "isolated" };
  }
  return forwardedRequests.accept(request, trace, profile);
}

async function takeRate(
  budgets: budgetTypes.Budgets,
  workspace: declarations.DeclaredWorkspace,
  route: declarations.DeclaredRoute,
  trace: log.RequestTrace,
): Promise<boolean> {
  const taken = budgets.takeRate(workspace, route.priority);
  if (typeof taken === "boolean") {
    return taken;
  }
  trace.add("waits_for_rate", { workspace: workspace.id });
  return await taken;
}

/**
 * Refuses a request whose route, key or declarations are unknown. A VM that may have missed a
 * version does not claim that something is unknown, but responds that it is unavailable.
 */
function refuseUnknown(
  context: AdmissionContext,
  trace: log.RequestTrace,
  refusal: refusals.Refusal,
): refusals.Refusal {
  const view = context.store.current;
  const age = kernel.getMonotonicMilliseconds() - context.getConfirmedAt();
  trace.add("unknown", {
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

/** Draws one of a route's services at random, by their weights. */
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
