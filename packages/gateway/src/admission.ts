/**
 * Checks a request's key and route against the configuration in force.
 */

import type * as http from "node:http";
import type * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as keys from "./keys.ts";
import * as refusals from "./refusals.ts";
import type * as types from "./types.ts";

type AcceptResult = neverthrow.Result<types.AcceptedRequest, refusals.Refusal>;

/** Finds the route and the workspace of a request. Nothing has run when it refuses. */
export function acceptRequest(
  snapshot: configuration.Snapshot | undefined,
  request: http.IncomingMessage,
): AcceptResult {
  if (snapshot === undefined) {
    return refuse(refusals.Refusals.noConfiguration);
  }
  const { key, target } = keys.findKey(request, snapshot.fleet.keyPlacement);
  const host = (request.headers.host ?? "").replace(/:\d+$/, "").toLowerCase();
  const path = target.split("?", 1)[0] ?? "/";
  const route = snapshot.matchRoute(host, path);
  if (route === undefined) {
    return refuse(refusals.Refusals.routeNotFound);
  }
  return findWorkspace(snapshot, route, key).map((workspace) => ({
    snapshot,
    route,
    service: kernel.getDefined(snapshot.findService(route.service), "A route has a service."),
    workspace,
    target,
    idempotent: route.idempotentMethods.includes(request.method ?? ""),
    deadlineMilliseconds: kernel.getMonotonicMilliseconds() + route.timeoutMilliseconds,
  }));
}

function findWorkspace(
  snapshot: configuration.Snapshot,
  route: model.Route,
  key: string | undefined,
): neverthrow.Result<model.Workspace | undefined, refusals.Refusal> {
  if (route.open) {
    return neverthrow.ok(undefined);
  }
  if (key === undefined) {
    return refuse(refusals.Refusals.keyMissing);
  }
  const found = snapshot.findKey(model.createKeyDigest(key));
  if (found === undefined) {
    return refuse(refusals.Refusals.keyUnknown);
  }
  if (route.workspaces !== undefined && !route.workspaces.includes(found.workspace)) {
    return refuse(refusals.Refusals.workspaceNotAllowed);
  }
  const workspace = snapshot.findWorkspace(found.workspace);
  return neverthrow.ok(kernel.getDefined(workspace, "A key has a workspace."));
}

function refuse(row: refusals.RefusalRow): neverthrow.Err<never, refusals.Refusal> {
  return neverthrow.err(refusals.createNotRunRefusal(row));
}
