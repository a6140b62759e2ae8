/**
 * Creates the request of one attempt: its destination, and the headers that are added to those of the
 * caller.
 */

import * as http from "node:http";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as bodies from "./body.ts";
import * as headers from "./headers.ts";
import type * as targetConnections from "./target_connections.ts";
import type * as types from "./types.ts";

const MAX_PORT = 65_535;

/** Where an attempt goes. */
export type CallDestination =
  | { readonly kind: "target"; readonly address: string; readonly id: model.TargetId }
  /** Another VM, with the decisions about the request as a header. */
  | { readonly kind: "peer"; readonly address: string; readonly decisions: string };

/** What a request is created from. */
export interface OutgoingRequestOptions {
  readonly request: types.AcceptedRequest;
  readonly destination: CallDestination;
  readonly body: bodies.RequestBody;
  readonly profile: types.HeaderProfile;
  readonly connections: targetConnections.TargetConnections;
}

/** Creates the request; undefined if the runtime refuses to write it or to connect. */
export function createRequest(options: OutgoingRequestOptions): http.ClientRequest | undefined {
  const { request, destination, connections } = options;
  const { host, port } = kernel.splitAddress(destination.address);
  connections.closeUnusable(host, port, request);
  try {
    return http.request({
      agent: connections,
      host,
      port,
      method: request.method,
      path: request.path,
      headers: createHeaders(options),
      setHost: false,
    });
  } catch {
    return undefined;
  }
}

/** Whether a request can be sent to a destination at all; if not, the fault is in its entry. */
export function isAddressable(destination: CallDestination): boolean {
  const { port } = kernel.splitAddress(destination.address);
  const isPort = Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  return isPort && (destination.kind === "peer" || isHeaderValue(destination.id));
}

function isHeaderValue(text: string): boolean {
  try {
    http.validateHeaderValue("id", text);
    return true;
  } catch {
    return false;
  }
}

function createHeaders({ request, destination, body, profile }: OutgoingRequestOptions): string[] {
  const created = [...request.headers];
  if (destination.kind === "peer") {
    created.push(headers.FORWARDED_HEADER, destination.decisions);
  } else {
    const left = Math.max(1, Math.floor(request.endsAt - kernel.getMonotonicMilliseconds()));
    created.push(profile.deadline, String(left), profile.expectedTarget, destination.id);
    if (request.workspace !== undefined) {
      created.push(profile.workspace, request.workspace);
    }
  }
  created.push(...body.createFramingHeaders());
  return created;
}
