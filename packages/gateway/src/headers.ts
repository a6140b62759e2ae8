/**
 * Selects the headers that are forwarded to a target and those that are returned to the caller.
 */

import type * as http from "node:http";
import type * as undici from "undici";
import * as keys from "./keys.ts";
import type * as types from "./types.ts";

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Headers that are not copied: attempts frame the body anew, and the gateway handles `Expect`. */
const NOT_COPIED_HEADERS = new Set(["content-length", "expect"]);

/** Values of Transfer-Encoding whose final coding delimits the body. */
const CHUNKED_LAST = /(^|,)\s*chunked\s*$/i;

/** Headers in which proxies record the client, host and protocol of a request. */
const FORWARDED_HEADERS = new Set([
  "forwarded",
  "x-forwarded-for",
  "x-forwarded-host",
  "x-forwarded-proto",
  "x-real-ip",
]);

/** Header with the workspace of a request, for the target. */
const WORKSPACE_HEADER = "hemlockwalk-workspace";

/**
 * Header with the milliseconds left for a request. Callers may send it to shorten the route's
 * timeout, and every request to a target carries it.
 */
export const TIMEOUT_HEADER = "hemlockwalk-timeout-milliseconds";

const FORWARDED_FOR_HEADER = "x-forwarded-for";

/** The headers that every attempt forwards, as alternating names and values. */
export function createForwardedHeaders(
  request: http.IncomingMessage,
  accepted: types.AcceptedRequest,
  trustForwardedHeaders: boolean,
): string[] {
  const placement = accepted.snapshot.fleet.keyPlacement;
  const connectionHeaders = listConnectionHeaders(request.headers.connection);
  const forwarded: string[] = [];
  const clientAddresses: string[] = [];
  const { names } = accepted.head;
  for (let index = 0; index < names.length; index++) {
    const name = names[index] ?? "";
    if (
      HOP_BY_HOP_HEADERS.has(name) || NOT_COPIED_HEADERS.has(name) ||
      isConnectionHeader(connectionHeaders, name) || keys.isRemovedHeader(name, placement)
    ) {
      continue;
    }
    const value = request.rawHeaders[index * 2 + 1] ?? "";
    if (FORWARDED_HEADERS.has(name) && (!trustForwardedHeaders || name === FORWARDED_FOR_HEADER)) {
      clientAddresses.push(
        ...(name === FORWARDED_FOR_HEADER && trustForwardedHeaders ? [value] : []),
      );
      continue;
    }
    const kept = removeKey(name, value, accepted);
    if (kept !== undefined) {
      forwarded.push(request.rawHeaders[index * 2] ?? "", kept);
    }
  }
  clientAddresses.push(request.socket.remoteAddress ?? "unknown");
  forwarded.push(FORWARDED_FOR_HEADER, clientAddresses.join(", "));
  if (accepted.workspace !== undefined) {
    forwarded.push(WORKSPACE_HEADER, accepted.workspace.id);
  }
  return forwarded;
}

/** The value without the caller's key; undefined if the whole header must be omitted. */
function removeKey(
  name: string,
  value: string,
  accepted: types.AcceptedRequest,
): string | undefined {
  const placement = accepted.snapshot.fleet.keyPlacement;
  let kept: string | undefined = value;
  if (name === "cookie") {
    kept = keys.removeCookieKey(value, placement.cookie);
  } else if (name === "referer") {
    kept = keys.removeUrlKey(value, placement.queryParameter);
  }
  if (kept === undefined || accepted.key === undefined) {
    return kept;
  }
  // A key must not reach a target through any other header either.
  return keys.containsKey(kept, accepted.key) ? undefined : kept;
}

/** The timeout that the caller sent; undefined if it is missing or invalid. */
export function getCallerTimeoutMilliseconds(request: http.IncomingMessage): number | undefined {
  const value = request.headers[TIMEOUT_HEADER];
  return typeof value === "string" && /^\d{1,9}$/.test(value) ? Number(value) : undefined;
}

/** The headers of a target's response that go to the caller, as alternating names and values. */
export function createAnswerHeaders(rawHeaders: readonly Buffer[]): string[] {
  const names: string[] = [];
  let connection: string | undefined;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]?.toString("latin1").toLowerCase() ?? "";
    names.push(name);
    if (name === "connection") {
      const value = rawHeaders[index + 1]?.toString("latin1") ?? "";
      connection = connection === undefined ? value : `${connection},${value}`;
    }
  }
  const connectionHeaders = listConnectionHeaders(connection);
  const kept: string[] = [];
  for (let index = 0; index < names.length; index++) {
    const name = names[index] ?? "";
    if (
      (name !== "trailer" && HOP_BY_HOP_HEADERS.has(name)) ||
      isConnectionHeader(connectionHeaders, name) || name.startsWith(keys.RESERVED_HEADER_PREFIX)
    ) {
      continue;
    }
    kept.push(name, rawHeaders[index * 2 + 1]?.toString("latin1") ?? "");
  }
  return kept;
}

/** The trailers of a target's response that go to the caller. */
export function createAnswerTrailers(rawTrailers: readonly (string | Buffer)[]): string[][] {
  const kept: string[][] = [];
  for (let index = 0; index < rawTrailers.length; index += 2) {
    const name = String(rawTrailers[index]).toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(name) && !name.startsWith(keys.RESERVED_HEADER_PREFIX)) {
      kept.push([name, String(rawTrailers[index + 1])]);
    }
  }
  return kept;
}

/**
 * Whether a response has a defined length. A response that ends with the close of its connection
 * can't be distinguished from a truncated one: a crashing process closes its connections as well.
 */
export function isAnswerFramed(
  method: string,
  status: number,
  rawHeaders: readonly Buffer[],
): boolean {
  if (method === "HEAD" || status === 204 || status === 304) {
    return true;
  }
  const codings = listAnswerHeaders(rawHeaders, "transfer-encoding");
  // With any other final coding, the body lasts until the close (RFC 9112, section 6.3).
  return codings.length === 0
    ? findAnswerHeader(rawHeaders, "content-length") !== undefined
    : CHUNKED_LAST.test(codings.join(","));
}

/** Finds a header's value in a response's raw headers; the first one if it is repeated. */
export function findAnswerHeader(
  rawHeaders: readonly Buffer[],
  wanted: string,
): string | undefined {
  return listAnswerHeaders(rawHeaders, wanted)[0];
}

function listAnswerHeaders(rawHeaders: readonly Buffer[], wanted: string): string[] {
  const values: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index];
    // Comparing lengths first avoids converting most of the names.
    if (name?.length === wanted.length && name.toString("latin1").toLowerCase() === wanted) {
      values.push(rawHeaders[index + 1]?.toString("latin1") ?? "");
    }
  }
  return values;
}

/** The type of an HTTP method in undici. */
export type Method = undici.Dispatcher.HttpMethod;

function listConnectionHeaders(connection: string | undefined): ReadonlySet<string> | undefined {
  // The usual values list no headers, so no set is built for them.
  if (connection === undefined || connection === "keep-alive" || connection === "close") {
    return undefined;
  }
  return new Set(connection.split(",").map((name) => keys.normalizeName(name.trim())));
}

function isConnectionHeader(listed: ReadonlySet<string> | undefined, name: string): boolean {
  // `Host` identifies the requested resource and is kept even if `Connection` lists it.
  return listed !== undefined && name !== "host" && listed.has(name);
}
