/**
 * The table of refusals: every error response that the gateway generates itself.
 */

import * as http from "node:http";
import type * as types from "./types.ts";

/** One row of the table. Reasons are stable: they appear in responses and metrics. */
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
  malformedRequest: createRow("malformed_request", 400, "The request is malformed."),
  ambiguousPath: createRow(
    "ambiguous_path",
    400,
    "The path has segments or escapes that servers read differently.",
  ),
  targetTooLong: createRow("target_too_long", 414, "The path and query are too long."),
  headersTooLarge: createRow("headers_too_large", 431, "The request's headers are too large."),
  bodyTooLarge: createRow("body_too_large", 413, "The body is above the route's limit."),
  requestTooSlow: createRow("request_too_slow", 408, "The request did not arrive in time."),
  methodNotSupported: createRow(
    "method_not_supported",
    501,
    "The method CONNECT is not supported.",
  ),
  upgradeNotSupported: createRow(
    "upgrade_not_supported",
    501,
    "Connections are not upgraded to other protocols.",
  ),
  expectationFailed: createRow("expectation_failed", 417, "The expectation is not supported."),
  routeNotFound: createRow("route_not_found", 404, "No route matches the request."),
  keyMissing: createRow("key_missing", 401, "The route needs a key."),
  keyUnknown: createRow("key_unknown", 401, "The key is not valid."),
  keyConflict: createRow("key_conflict", 400, "The request carries more than one key."),
  keyMisplaced: createRow(
    "key_misplaced",
    400,
    "The key stands in a part of the path or query that is forwarded.",
  ),
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
  bodyMemoryFull: createRow("body_memory_full", 503, "This VM holds too many bodies now."),
  connectFailed: createRow("connect_failed", 502, "No connection to a target could be opened."),
  targetShed: createRow("target_shed", 503, "The target said that it did not run the request."),
  targetReset: createRow("target_reset", 502, "The target ended the connection without an answer."),
  answerMalformed: createRow(
    "answer_malformed",
    502,
    "The target's answer has a status that no answer has.",
  ),
  answerUnframed: createRow(
    "answer_unframed",
    502,
    "The target's answer has neither a length nor chunks, so a cut one could not be told.",
  ),
  deadlineExceeded: createRow("deadline_exceeded", 504, "The answer did not come in time."),
  internalError: createRow("internal_error", 500, "The VM failed to handle the request."),
  idempotencyKeyInvalid: createRow(
    "idempotency_key_invalid",
    400,
    "The Idempotency-Key must be one value of 1 to 255 printable characters.",
  ),
  idempotencyBodyTooLarge: createRow(
    "idempotency_body_too_large",
    413,
    "The body is too large for a request with an Idempotency-Key.",
  ),
  idempotencyRunning: createRow(
    "idempotency_running",
    409,
    "A request with this Idempotency-Key is running.",
  ),
  idempotencyUnknown: createRow(
    "idempotency_unknown",
    409,
    "A request with this Idempotency-Key ran or may have run, and its answer is not kept.",
  ),
  idempotencyMismatch: createRow(
    "idempotency_mismatch",
    422,
    "The Idempotency-Key was used for a different request.",
  ),
  idempotencyUnavailable: createRow(
    "idempotency_unavailable",
    503,
    "Too few VMs could be asked about the Idempotency-Key.",
  ),
} as const satisfies Record<string, RefusalRow>;

/** A refusal of one request. */
export interface Refusal {
  readonly row: RefusalRow;
  readonly run: types.RunState;
  readonly retryAfterMilliseconds?: number | undefined;
}

/** Response header that states whether a refused request has run. */
export const RUN_HEADER = "hemlockwalk-run";

/** Creates a refusal of a request that did not run. */
export function createNotRunRefusal(row: RefusalRow, retryAfterMilliseconds?: number): Refusal {
  return { row, run: "no", retryAfterMilliseconds };
}

/** Creates a refusal of a request that ran or may have run. */
export function createUnknownRefusal(row: RefusalRow, retryAfterMilliseconds?: number): Refusal {
  return { row, run: "unknown", retryAfterMilliseconds };
}

/**
 * Answers a request with a refusal as problem details (RFC 9457).
 *
 * @param close Whether to close the connection after the response.
 */
export function sendRefusal(
  response: http.ServerResponse,
  refusal: Refusal,
  close: boolean,
): void {
  const body = createBody(refusal);
  const headers = createHeaders(refusal, body);
  if (close) {
    headers.push("connection", "close");
  }
  response.writeHead(refusal.row.status, headers);
  response.end(response.req.method === "HEAD" ? undefined : body);
}

/** A refusal as a raw HTTP response, for connections whose input could not be parsed. */
export function formatRawRefusal(refusal: Refusal): string {
  const body = createBody(refusal);
  const headers = createHeaders(refusal, body);
  headers.push("connection", "close");
  const { status } = refusal.row;
  let text = `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ""}\r\n`;
  for (let index = 0; index < headers.length; index += 2) {
    text += `${headers[index]}: ${headers[index + 1]}\r\n`;
  }
  return `${text}\r\n${body}`;
}

function createBody({ row, run }: Refusal): string {
  return JSON.stringify({
    type: `urn:hemlockwalk:refusal:${row.reason}`,
    title: row.title,
    status: row.status,
    reason: row.reason,
    run,
  });
}

function createHeaders({ row, run, retryAfterMilliseconds }: Refusal, body: string): string[] {
  const headers = [
    "content-type",
    "application/problem+json",
    "content-length",
    String(Buffer.byteLength(body)),
    "cache-control",
    "no-store",
    RUN_HEADER,
    run,
  ];
  if (row.status === 401) {
    headers.push("www-authenticate", "Bearer");
  }
  if (retryAfterMilliseconds !== undefined) {
    headers.push("retry-after", String(Math.max(1, Math.ceil(retryAfterMilliseconds / 1_000))));
  }
  return headers;
}
