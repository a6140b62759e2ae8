/**
 * Which headers go on to a target, and which come back to the caller.
 */

import type * as http from "node:http";
import type * as undici from "undici";
import * as keys from "./keys.ts";
import type * as types from "./types.ts";

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
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

/** Headers that are decided anew for each attempt. */
const REPLACED_HEADERS = new Set(["content-length", "expect"]);

/** Headers in which proxies tell from where a request came. */
const ORIGIN_HEADERS = new Set([
  "forwarded",
  "x-forwarded-for",
  "x-forwarded-host",
  "x-forwarded-proto",
  "x-real-ip",
]);

/** Header that tells a target for which workspace a request runs. */
const WORKSPACE_HEADER = "hemlockwalk-workspace";

/**
 * Header for the milliseconds that are left for a request: from the caller, who may shorten the
 * route's time, and to the target.
 */
export const DEADLINE_HEADER = "hemlockwalk-timeout-milliseconds";

const FORWARDED_FOR_HEADER = "x-forwarded-for";

/** What of a request's headers goes to every attempt, as names and values in turn. */
export function createForwardedHeaders(
  request: http.IncomingMessage,
  accepted: types.AcceptedRequest,
  trustForwardedHeaders: boolean,
): string[] {
  const placement = accepted.snapshot.fleet.keyPlacement;
  const perConnection = listConnectionHeaders(request.headers.connection);
  const forwarded: string[] = [];
  const origins: string[] = [];
  const { names } = accepted.head;
  for (let index = 0; index < names.length; index++) {
    const name = names[index] ?? "";
    if (
      HOP_BY_HOP_HEADERS.has(name) || REPLACED_HEADERS.has(name) ||
      isPerConnection(perConnection, name) || keys.isRemovedHeader(name, placement)
    ) {
      continue;
    }
    const value = request.rawHeaders[index * 2 + 1] ?? "";
    if (ORIGIN_HEADERS.has(name) && (!trustForwardedHeaders || name === FORWARDED_FOR_HEADER)) {
      origins.push(...(name === FORWARDED_FOR_HEADER && trustForwardedHeaders ? [value] : []));
      continue;
    }
    const kept = cleanValue(name, value, accepted);
    if (kept !== undefined) {
      forwarded.push(request.rawHeaders[index * 2] ?? "", kept);
    }
  }
  origins.push(request.socket.remoteAddress ?? "unknown");
  forwarded.push(FORWARDED_FOR_HEADER, origins.join(", "));
  if (accepted.workspace !== undefined) {
    forwarded.push(WORKSPACE_HEADER, accepted.workspace.id);
  }
  return forwarded;
}

/** The value without the caller's key; undefined when the whole header is left out. */
function cleanValue(
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
  // A key that travels where none belongs must not reach a target either.
  return keys.containsKey(kept, accepted.key) ? undefined : kept;
}

/** The milliseconds that the caller allows; undefined when it says nothing usable. */
export function getCallerTimeoutMilliseconds(request: http.IncomingMessage): number | undefined {
  const value = request.headers[DEADLINE_HEADER];
  return typeof value === "string" && /^\d{1,9}$/.test(value) ? Number(value) : undefined;
}

/** Headers of a target's answer that go to the caller, as names and values in turn. */
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
  const perConnection = listConnectionHeaders(connection);
  const kept: string[] = [];
  for (let index = 0; index < names.length; index++) {
    const name = names[index] ?? "";
    if (
      (name !== "trailer" && HOP_BY_HOP_HEADERS.has(name)) ||
      isPerConnection(perConnection, name) || name.startsWith(keys.OWN_HEADER_PREFIX)
    ) {
      continue;
    }
    kept.push(name, rawHeaders[index * 2 + 1]?.toString("latin1") ?? "");
  }
  return kept;
}

/** Trailers of a target's answer that go to the caller. */
export function createAnswerTrailers(rawTrailers: readonly (string | Buffer)[]): string[][] {
  const kept: string[][] = [];
  for (let index = 0; index < rawTrailers.length; index += 2) {
    const name = String(rawTrailers[index]).toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(name) && !name.startsWith(keys.OWN_HEADER_PREFIX)) {
      kept.push([name, String(rawTrailers[index + 1])]);
    }
  }
  return kept;
}

/**
 * Whether an answer says where it ends. One that only ends with its connection can't be told from one
 * that was cut, since a process that dies closes its connections as well.
 */
export function isAnswerFramed(
  method: string,
  status: number,
  rawHeaders: readonly Buffer[],
): boolean {
  return method === "HEAD" || status === 204 || status === 304 ||
    findAnswerHeader(rawHeaders, "content-length") !== undefined ||
    findAnswerHeader(rawHeaders, "transfer-encoding") !== undefined;
}

/** Finds a header's value in an answer's raw headers. */
export function findAnswerHeader(
  rawHeaders: readonly Buffer[],
  wanted: string,
): string | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index];
    // Most names already differ in length, which spares the conversion.
    if (name?.length === wanted.length && name.toString("latin1").toLowerCase() === wanted) {
      return rawHeaders[index + 1]?.toString("latin1");
    }
  }
  return undefined;
}

/** The dispatcher's own type of an HTTP method. */
export type Method = undici.Dispatcher.HttpMethod;

function listConnectionHeaders(connection: string | undefined): ReadonlySet<string> | undefined {
  // The usual values name no header; no set is built for them.
  if (connection === undefined || connection === "keep-alive" || connection === "close") {
    return undefined;
  }
  return new Set(connection.split(",").map((name) => keys.normalizeName(name.trim())));
}

function isPerConnection(listed: ReadonlySet<string> | undefined, name: string): boolean {
  // The host belongs to the request's identity, whatever the caller lists.
  return listed !== undefined && name !== "host" && listed.has(name);
}
