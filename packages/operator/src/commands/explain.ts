/**
 * `hemlockctl explain`: shows how a configuration handles a request.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as model from "@hemlockwalk/model";
import * as citty from "citty";
import * as chainFolder from "../chain_folder.ts";
import * as output from "../output.ts";

interface RequestDescription {
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly key: model.KeyDigest | undefined;
}

/** Describes how a configuration handles a request, one property per line. */
export function explainRequest(
  snapshot: configuration.TableSnapshot,
  request: RequestDescription,
): string[] {
  const lines = [`configuration: note ${snapshot.number}`];
  const route = snapshot.matchRoute(request.host, request.path);
  if (route === undefined) {
    return [...lines, "refused: no route matches"];
  }
  const isIdempotent = route.idempotentMethods.includes(request.method);
  lines.push(
    `route: ${route.id} (${route.host ?? "any host"}${route.pathPrefix})`,
    `timeout: ${route.timeoutMilliseconds} ms`,
    `retried: ${isIdempotent ? "yes, the method is idempotent here" : "only if it did not run"}`,
    ...explainService(snapshot, route.service),
  );
  return [...lines, ...explainWorkspace(snapshot, route, request.key)];
}

function explainService(
  snapshot: configuration.TableSnapshot,
  id: model.ServiceId,
): string[] {
  const service = snapshot.findService(id);
  const targets = snapshot.listTargets(id);
  const leaving = targets.filter((target) => target.leaving).length;
  return [
    `service: ${id}, ${targets.length} targets, ${leaving} of them leaving`,
    `slots per target: ${service?.slots}, connections: ${service?.connections}, ` +
    `floor: ${service?.floor}`,
  ];
}

function explainWorkspace(
  snapshot: configuration.TableSnapshot,
  route: model.Route,
  key: model.KeyDigest | undefined,
): string[] {
  if (route.open) {
    return ["workspace: none, the route is open to all", "admitted: yes"];
  }
  if (key === undefined) {
    return ["refused: the route needs a key"];
  }
  const found = snapshot.findKey(key);
  if (found === undefined) {
    return ["refused: the key is unknown or withdrawn"];
  }
  if (route.workspaces !== undefined && !route.workspaces.includes(found.workspace)) {
    return [`workspace: ${found.workspace}`, "refused: the route is not for this workspace"];
  }
  const workspace = snapshot.findWorkspace(found.workspace);
  return [
    `workspace: ${found.workspace}`,
    `rate: ${workspace?.rate} a second, burst: ${workspace?.burst}, for all VMs together`,
    `weight: ${(workspace?.weight ?? 1) * route.weight}`,
    "admitted: yes, within the rate",
  ];
}

function explain(chain: string, request: RequestDescription): void {
  const snapshot = new chainFolder.ChainFolder(chain).load();
  if (snapshot === undefined) {
    const gap = model.createDiagnostic(model.Diagnostics.chainGap, [1]);
    throw output.createFindingsError(chain, [gap]);
  }
  explainRequest(snapshot, request).forEach(output.printLine);
}

export const explainCommand = citty.defineCommand({
  meta: {
    name: "explain",
    description: "Shows how the configuration of a chain handles a request.",
  },
  args: {
    chain: { type: "positional", required: true, description: "Folder of the chain." },
    host: { type: "string", default: "", description: "Host of the request." },
    path: { type: "string", default: "/", description: "Path of the request." },
    method: { type: "string", default: "GET", description: "Method of the request." },
    key: { type: "string", description: "The caller's key." },
    digest: { type: "string", description: "Digest of the caller's key, instead of the key." },
  },
  run: ({ args }) =>
    output.runCommand(() => {
      const { host, path, method, key, digest } = args;
      const keyDigest = key === undefined
        ? digest as model.KeyDigest | undefined
        : model.createKeyDigest(key);
      explain(args.chain, { host, path, method: method.toUpperCase(), key: keyDigest });
    }),
});
