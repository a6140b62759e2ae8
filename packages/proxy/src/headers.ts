/**
 * Filters the headers that are forwarded to a target or returned to the caller.
 */

import type * as http from "node:http";
import type * as types from "./types.ts";

/** Headers that apply to a single connection only (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

const KEY_HEADER = "authorization";

/**
 * Most fields of a head that the runtime hands over. It drops those beyond without notice, and a
 * request without its Content-Length would run without its body.
 */
const MAX_READ_FIELDS = 1_000;

/** Most fields that a VM adds to a head; a target may well read no more than this runtime does. */
const MAX_ADDED_FIELDS = 10;

/** Header with the decisions about a request that one VM passes on to another. */
export const FORWARDED_HEADER = "hemlockwalk-forwarded";

/** Header with the reason for which the VM that a request was passed on to has refused it. */
export const REFUSAL_HEADER = "hemlockwalk-refusal";

/**
 * Header with the number of targets that may have received a request that was passed on, in the
 * refusal of a VM that stops. Earlier versions of the program do not send it.
 */
export const RECEIVED_HEADER = "hemlockwalk-received";

/** What the head of a request consists of. */
export type RequestHead = Pick<
  http.IncomingMessage,
  "headers" | "rawHeaders" | "url" | "method" | "httpVersion"
>;

/** The caller's headers that are sent with every attempt, as names and values in turn. */
export function createForwardedHeaders(
  request: RequestHead,
  profile: types.HeaderProfile,
): string[] {
  const dropped = new Set([
    KEY_HEADER,
    "content-length",
    "expect",
    FORWARDED_HEADER,
    profile.deadline,
    profile.expectedTarget,
    profile.workspace,
    ...listConnectionHeaders(request.headers.connection),
  ]);
  return filterHeaders(request.rawHeaders, dropped);
}

/** The target's headers that are returned to the caller, as names and values in turn. */
export function createAnswerHeaders(answer: http.IncomingMessage): string[] {
  return filterHeaders(
    answer.rawHeaders,
    new Set([REFUSAL_HEADER, RECEIVED_HEADER, ...listConnectionHeaders(answer.headers.connection)]),
  );
}

/** The caller's key; undefined if there is none. */
export function findKey(
  request: RequestHead,
  profile: types.HeaderProfile,
): string | undefined {
  const value = request.headers[KEY_HEADER];
  const space = value?.indexOf(" ") ?? -1;
  if (value === undefined || space < 0) {
    return undefined;
  }
  const isScheme = value.slice(0, space).toLowerCase() === profile.keyScheme.toLowerCase();
  return isScheme ? value.slice(space + 1).trim() : undefined;
}

/** The value of a header that holds a number of milliseconds; undefined for anything else. */
export function parseMilliseconds(value: string | string[] | undefined): number | undefined {
  if (typeof value !== "string" || !/^\d{1,12}$/.test(value)) {
    return undefined;
  }
  return Number(value);
}

/** Size of a request head as the caller has sent it, in bytes, without the separators. */
export function countHeadBytes(request: RequestHead): number {
  let bytes = (request.url ?? "").length;
  for (const text of request.rawHeaders) {
    bytes += text.length;
  }
  return bytes;
}

/**
 * Whether a head has so many fields that some of them may not arrive at its receiver.
 *
 * @param isFromVm Whether another VM has sent it, which has added its own fields.
 */
export function hasTooManyFields(
  { rawHeaders }: Pick<http.IncomingMessage, "rawHeaders">,
  isFromVm: boolean,
): boolean {
  const max = isFromVm ? MAX_READ_FIELDS : MAX_READ_FIELDS - MAX_ADDED_FIELDS;
  return rawHeaders.length / 2 > max;
}

function filterHeaders(raw: readonly string[], dropped: ReadonlySet<string>): string[] {
  const kept: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] ?? "";
    const lowerCase = name.toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(lowerCase) && !dropped.has(lowerCase)) {
      kept.push(name, raw[index + 1] ?? "");
    }
  }
  return kept;
}

function listConnectionHeaders(value: string | undefined): string[] {
  return (value ?? "").split(",").map((name) => name.trim().toLowerCase()).filter((name) =>
    name !== ""
  );
}
