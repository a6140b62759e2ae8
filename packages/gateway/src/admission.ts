/**
 * Checks a request's key and route against the current configuration.
 */

import type * as http from "node:http";
import type * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as headers from "./headers.ts";
import * as keys from "./keys.ts";
import * as refusals from "./refusals.ts";
import * as requests from "./requests.ts";
import type * as types from "./types.ts";

type AcceptResult = neverthrow.Result<types.AcceptedRequest, refusals.Refusal>;

/** Largest body if the route declares no limit. */
const DEFAULT_BODY_LIMIT_BYTES = 10 * 1_024 * 1_024;

interface Caller {
  readonly workspace: model.Workspace | undefined;
  readonly keyDigest: model.KeyDigest | undefined;
}

/** Validates a request and finds its route and workspace. A refused request has not run. */
export function acceptRequest(
  snapshot: configuration.Snapshot | undefined,
  request: http.IncomingMessage,
): AcceptResult {
  const arrivedMilliseconds = kernel.getMonotonicMilliseconds();
  const checked = requests.checkRequest(request);
  if (checked.isErr()) {
    return neverthrow.err(checked.error);
  }
  if (isUnsupportedUpgrade(request)) {
    return refuse(refusals.Refusals.upgradeNotSupported);
  }
  if (snapshot === undefined) {
    return refuse(refusals.Refusals.noConfiguration);
  }
  const head = checked.value;
  const found = keys.extractKeys(request, head, snapshot.fleet.keyPlacement);
  if (found.keys.size > 1) {
    return refuse(refusals.Refusals.keyConflict);
  }
  const [key] = found.keys;
  if (key !== undefined && keys.containsKey(found.target, key)) {
    return refuse(refusals.Refusals.keyMisplaced);
  }
  const route = snapshot.matchRoute(head.host, head.routingPath);
  if (route === undefined) {
    return refuse(refusals.Refusals.routeNotFound);
  }
  const bodyLimitBytes = route.bodyLimitBytes ?? DEFAULT_BODY_LIMIT_BYTES;
  if ((head.contentLength ?? 0) > bodyLimitBytes) {
    return refuse(refusals.Refusals.bodyTooLarge);
  }
  const timeout = Math.min(
    route.timeoutMilliseconds,
    headers.getCallerTimeoutMilliseconds(request) ?? Number.POSITIVE_INFINITY,
  );
  return findCaller(snapshot, route, key).map((caller) => ({
    head,
    snapshot,
    route,
    service: kernel.getDefined(snapshot.findService(route.service), "A route has a service."),
    workspace: caller.workspace,
    key,
    keyDigest: caller.keyDigest,
    target: found.target,
    idempotent: route.idempotentMethods.includes(head.method),
    bodyLimitBytes,
    arrivedMilliseconds,
    deadlineMilliseconds: arrivedMilliseconds + timeout,
  }));
}

function findCaller(
  snapshot: configuration.Snapshot,
  route: model.Route,
  key: string | undefined,
): neverthrow.Result<Caller, refusals.Refusal> {
  if (route.open) {
    return neverthrow.ok({ workspace: undefined, keyDigest: undefined });
  }
  if (key === undefined) {
    return refuse(refusals.Refusals.keyMissing);
  }
  const keyDigest = model.createKeyDigest(key);
  const found = snapshot.findKey(keyDigest);
  if (found === undefined) {
    return refuse(refusals.Refusals.keyUnknown);
  }
  if (route.workspaces !== undefined && !route.workspaces.includes(found.workspace)) {
    return refuse(refusals.Refusals.workspaceNotAllowed);
  }
  const workspace = kernel.getDefined(
    snapshot.findWorkspace(found.workspace),
    "A key has a workspace.",
  );
  return neverthrow.ok({ workspace, keyDigest });
}

/**
 * Whether the caller asks for an upgrade to another protocol. An `h2c` upgrade is ignored, as HTTP
 * allows, because common clients offer it with every first request.
 */
function isUnsupportedUpgrade(request: http.IncomingMessage): boolean {
  const { upgrade } = request.headers;
  return upgrade !== undefined && upgrade.toLowerCase() !== "h2c";
}

function refuse(row: refusals.RefusalRow): neverthrow.Err<never, refusals.Refusal> {
  return neverthrow.err(refusals.createNotRunRefusal(row));
}
