/**
 * Checks a request's line and framing before anything else looks at it.
 *
 * Whatever two parsers could read in two ways is refused: the route must be chosen by the same path
 * that the target sees, and the body must end where the target believes that it ends.
 */

import type * as http from "node:http";
import * as neverthrow from "neverthrow";
import * as keys from "./keys.ts";
import * as refusals from "./refusals.ts";
import type * as types from "./types.ts";

type HeadResult = neverthrow.Result<types.RequestHead, refusals.Refusal>;

/** Longest path and query, in characters. */
const MAXIMUM_TARGET_LENGTH = 8_192;

/** Paths that need no further look: no escape, no empty segment, no segment that starts with a dot. */
const PLAIN_PATH = /^(?:\/[A-Za-z0-9_~!$&'()*+,=:@-][A-Za-z0-9._~!$&'()*+,=:@-]*)*\/?$/;

/** Printable ASCII without a fragment's hash or a backslash. */
const ALLOWED_TARGET = /^[\x21\x22\x24-\x5b\x5d-\x7e]+$/;

/** Escapes of characters that change the structure of a path, once or twice encoded. */
const STRUCTURAL_ESCAPE = /%(?:25)*(?:2f|5c|00|2e%(?:25)*2e)/i;

const HOST = /^(?:[a-z0-9.-]+|\[[0-9a-f:.]+\])(?::\d{1,5})?$/;

const CONTENT_LENGTH = /^\d{1,15}$/;

/** Checks the request line and the headers that frame the request. */
export function checkRequest(request: http.IncomingMessage): HeadResult {
  const target = request.url ?? "";
  if (target.length > MAXIMUM_TARGET_LENGTH) {
    return refuse(refusals.Refusals.targetTooLong);
  }
  if (!target.startsWith("/") || !ALLOWED_TARGET.test(target)) {
    return refuse(refusals.Refusals.malformedRequest);
  }
  const queryStart = target.indexOf("?");
  const path = queryStart === -1 ? target : target.slice(0, queryStart);
  const routingPath = getRoutingPath(path);
  if (routingPath === undefined) {
    return refuse(refusals.Refusals.ambiguousPath);
  }
  const host = getHost(request);
  const names = listNames(request);
  if (host === undefined || !isFramingClear(request, names)) {
    return refuse(refusals.Refusals.malformedRequest);
  }
  return neverthrow.ok({
    method: request.method ?? "GET",
    names,
    host,
    routingPath,
    path,
    query: queryStart === -1 ? undefined : target.slice(queryStart + 1),
    contentLength: getContentLength(request),
  });
}

/** The path as a target sees it; undefined when targets could see different ones. */
function getRoutingPath(path: string): string | undefined {
  if (PLAIN_PATH.test(path)) {
    return path;
  }
  if (STRUCTURAL_ESCAPE.test(path)) {
    return undefined;
  }
  const decoded = decodeStrictly(path);
  if (decoded === undefined || hasControlCharacter(decoded) || decoded.includes("\\")) {
    return undefined;
  }
  return decoded.split("/").slice(1, -1).includes("") || hasDotSegment(decoded)
    ? undefined
    : decoded;
}

function decodeStrictly(path: string): string | undefined {
  try {
    return decodeURIComponent(path);
  } catch {
    return undefined;
  }
}

function hasControlCharacter(text: string): boolean {
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index);
    if (code < 0x20 || code === 0x7f) {
      return true;
    }
  }
  return false;
}

/** Some servers drop what follows a semicolon before they resolve dots, so it is dropped here too. */
function hasDotSegment(path: string): boolean {
  return path.split("/").some((segment) => {
    const name = segment.split(";", 1)[0];
    return name === "." || name === ".." || name === "%2e" || name === "%2E";
  });
}

function getHost(request: http.IncomingMessage): string | undefined {
  const host = request.headers.host;
  if (host === undefined || host === "") {
    // HTTP/1.0 has no host; HTTP/1.1 demands one, so its absence points to a broken sender.
    return request.httpVersion === "1.0" ? "" : undefined;
  }
  const lower = host.toLowerCase();
  if (!HOST.test(lower)) {
    return undefined;
  }
  const name = lower.replace(/:\d+$/, "");
  return name.endsWith(".") ? name.slice(0, -1) : name;
}

/** The names of the headers in the form in which they are compared, in the order of the request. */
function listNames(request: http.IncomingMessage): string[] {
  const names: string[] = [];
  for (let index = 0; index < request.rawHeaders.length; index += 2) {
    names.push(keys.normalizeName(request.rawHeaders[index] ?? ""));
  }
  return names;
}

/** Whether all receivers agree on where the body ends. */
function isFramingClear(request: http.IncomingMessage, names: readonly string[]): boolean {
  let hosts = 0;
  let lengths = 0;
  let encodings = 0;
  for (let index = 0; index < names.length; index++) {
    const value = request.rawHeaders[index * 2 + 1] ?? "";
    switch (names[index]) {
      case "host":
        hosts++;
        break;
      case "content-length":
        lengths++;
        if (!CONTENT_LENGTH.test(value)) {
          return false;
        }
        break;
      case "transfer-encoding":
        encodings++;
        if (value.toLowerCase() !== "chunked") {
          return false;
        }
        break;
    }
  }
  const chunkedAllowed = encodings === 0 || request.httpVersion === "1.1";
  return hosts <= 1 && lengths <= 1 && encodings <= 1 && lengths + encodings <= 1 &&
    chunkedAllowed;
}

function getContentLength(request: http.IncomingMessage): number | undefined {
  if (request.headers["transfer-encoding"] !== undefined) {
    return undefined;
  }
  return Number(request.headers["content-length"] ?? 0);
}

function refuse(row: refusals.RefusalRow): neverthrow.Err<never, refusals.Refusal> {
  return neverthrow.err(refusals.createNotRunRefusal(row));
}
