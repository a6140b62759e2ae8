/**
 * The table of refusals: every answer that the gateway makes itself.
 */

import type * as http from "node:http";
import type * as types from "./types.ts";

/** One row of the table. Reasons are stable; they appear in answers and counters. */
export interface RefusalRow {
  readonly reason: string;
  readonly status: number;
  readonly title: string;
}

function createRow(reason: string, status: number, title: string): RefusalRow {
  return { reason, status, title };
}

export const Refusals = {
  noConfiguration: createRow("no_configuration", 503, "This VM has no configuration yet."),
  stopping: createRow("stopping", 503, "This VM is stopping."),
  malformedRequest: createRow("malformed_request", 400, "The request is malformed."),
  routeNotFound: createRow("route_not_found", 404, "No route matches the request."),
  keyMissing: createRow("key_missing", 401, "The route needs a key."),
  keyUnknown: createRow("key_unknown", 401, "The key is not valid."),
  keyWithdrawn: createRow("key_withdrawn", 401, "The key was withdrawn."),
  workspaceNotAllowed: createRow(
    "workspace_not_allowed",
    403,
    "The workspace may not use this route.",
  ),
  overRate: createRow("over_rate", 429, "The workspace is over its rate."),
  noShare: createRow("no_share", 503, "This VM has no share of the workspace's rate now."),
  queueFull: createRow("queue_full", 503, "Too many requests wait for the service."),
  queueTimeout: createRow("queue_timeout", 503, "No target became free in time."),
  connectFailed: createRow("connect_failed", 502, "No connection to a target could be opened."),
  targetReset: createRow("target_reset", 502, "The target ended the connection without an answer."),
  deadlineExceeded: createRow("deadline_exceeded", 504, "The answer did not come in time."),
} as const satisfies Record<string, RefusalRow>;

/** A refusal of one request. */
export interface Refusal {
  readonly row: RefusalRow;
  readonly run: types.RunState;
  readonly retryAfterMilliseconds?: number | undefined;
}

/** Header that tells whether a refused request has run. */
export const RUN_HEADER = "hemlockwalk-run";

/** Creates a refusal of a request that did not run. */
export function createNotRunRefusal(row: RefusalRow, retryAfterMilliseconds?: number): Refusal {
  return { row, run: "no", retryAfterMilliseconds };
}

/** Answers a request with a refusal as problem details (RFC 9457). */
export function sendRefusal(response: http.ServerResponse, refusal: Refusal): void {
  const { row, run, retryAfterMilliseconds } = refusal;
  const body = JSON.stringify({
    type: `urn:hemlockwalk:refusal:${row.reason}`,
    title: row.title,
    status: row.status,
    reason: row.reason,
    run,
  });
  response.statusCode = row.status;
  response.setHeader("content-type", "application/problem+json");
  response.setHeader("content-length", Buffer.byteLength(body));
  response.setHeader(RUN_HEADER, run);
  if (retryAfterMilliseconds !== undefined) {
    response.setHeader("retry-after", Math.ceil(retryAfterMilliseconds / 1_000));
  }
  response.end(body);
}
