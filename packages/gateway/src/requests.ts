/**
 * Validates the request line and the framing headers before any other processing.
 *
 * Refuses everything that two parsers could interpret differently, to prevent request smuggling.
 * The gateway must choose the route by the path that the target sees, and both must agree on where
 * the body ends.
 */

import type * as http from "node:http";
import * as neverthrow from "neverthrow";
import * as keys from "./keys.ts";
import * as refusals from "./refusals.ts";
import type * as types from "./types.ts";

type HeadResult = neverthrow.Result<types.RequestHead, refusals.Refusal>;

/** Longest path and query, in characters. */
const MAXIMUM_TARGET_LENGTH = 8_192;

/** Paths that need no decoding: no escapes, empty segments or segments with a leading dot. */
const UNESCAPED_PATH = /^(?:\/[A-Za-z0-9_~!$&'()*+,=:@-][A-Za-z0-9._~!$&'()*+,=:@-]*)*\/?$/;

/** Printable ASCII without `#` and backslash. */
const ALLOWED_TARGET = /^[\x21\x22\x24-\x5b\x5d-\x7e]+$/;

/** Escapes of `/`, `\`, NUL and `..`, single or nested: they change the structure of a path. */
const STRUCTURAL_ESCAPE = /%(?:25)*(?:2f|5c|00|2e%(?:25)*2e)/i;

const HOST = /^(?:[a-z0-9.-]+|\[[0-9a-f:.]+\])(?::\d{1,5})?$/;

const CONTENT_LENGTH = /^\d{1,15}$/;

/** Validates the request line and the headers that define the request's framing. */
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
  if (host === undefined || !isFramingUnambiguous(request, names)) {
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

/** The decoded path; undefined if targets could decode it differently. */
function getRoutingPath(path: string): string | undefined {
  if (UNESCAPED_PATH.test(path)) {
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

/** Ignores path parameters after a semicolon: some servers strip them before they resolve dots. */
function hasDotSegment(path: string): boolean {
  return path.split("/").some((segment) => {
    const name = segment.split(";", 1)[0];
    return name === "." || name === ".." || name === "%2e" || name === "%2E";
  });
}

function getHost(request: http.IncomingMessage): string | undefined {
  const host = request.headers.host;
  if (host === undefined || host === "") {
    // The Host header is optional in HTTP/1.0 and required in HTTP/1.1.
    return request.httpVersion === "1.0" ? "" : undefined;
  }
  const lower = host.toLowerCase();
  if (!HOST.test(lower)) {
    return undefined;
  }
  const name = lower.replace(/:\d+$/, "");
  return name.endsWith(".") ? name.slice(0, -1) : name;
}

/** Normalized header names, in the order of the request. */
function listNames(request: http.IncomingMessage): string[] {
  const names: string[] = [];
  for (let index = 0; index < request.rawHeaders.length; index += 2) {
    names.push(keys.normalizeName(request.rawHeaders[index] ?? ""));
  }
  return names;
}

/** Whether all receivers agree on where the body ends. */
function isFramingUnambiguous(request: http.IncomingMessage, names: readonly string[]): boolean {
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
