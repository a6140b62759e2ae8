/**
 * Extracts the caller's key from headers, query and cookies, and removes it from what is forwarded.
 */

import type * as http from "node:http";
import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

const BEARER = /^bearer +(\S+) *$/i;
const BASIC = /^basic +(\S+) *$/i;

/** Headers that may carry a key. They are never forwarded, whatever their scheme. */
const CREDENTIAL_HEADERS = new Set(["authorization", "proxy-authorization"]);

/** Prefix of headers that are reserved for hemlockwalk. */
export const RESERVED_HEADER_PREFIX = "hemlockwalk-";

/** The keys in a request, and its path and query without them. */
export interface ExtractedKeys {
  /** The distinct keys. A request with more than one is refused. */
  readonly keys: ReadonlySet<string>;
  /** Path and query without the keys. */
  readonly target: string;
}

/** Extracts keys from the key header, the credentials, the query and the cookies. */
export function extractKeys(
  request: http.IncomingMessage,
  head: types.RequestHead,
  placement: model.KeyPlacement,
): ExtractedKeys {
  const keys = new Set<string>();
  for (let index = 0; index < head.names.length; index++) {
    const name = head.names[index] ?? "";
    const value = request.rawHeaders[index * 2 + 1] ?? "";
    if (name === placement.header) {
      addKey(keys, value.trim());
    } else if (CREDENTIAL_HEADERS.has(name)) {
      addKey(keys, getCredentialKey(value));
    } else if (name === "cookie" && placement.cookie !== undefined) {
      addCookieKeys(keys, value, placement.cookie);
    }
  }
  const query = extractQueryKeys(keys, head.query, placement.queryParameter);
  const target = query === undefined ? head.path : `${head.path}?${query}`;
  return { keys, target };
}

/** The name in lower case, with hyphens for underscores, since some servers treat them alike. */
export function normalizeName(name: string): string {
  const lower = name.toLowerCase();
  return lower.includes("_") ? lower.replaceAll("_", "-") : lower;
}

/** Whether a header with this normalized name may carry a key or a forged identity. */
export function isRemovedHeader(name: string, placement: model.KeyPlacement): boolean {
  return CREDENTIAL_HEADERS.has(name) || name === placement.header ||
    name.startsWith(RESERVED_HEADER_PREFIX);
}

/** Removes the key's cookie from a `Cookie` header; undefined if nothing is left. */
export function removeCookieKey(value: string, cookie: string | undefined): string | undefined {
  if (cookie === undefined) {
    return value;
  }
  const kept = value.split(";").filter((part) => getCookieName(part) !== cookie);
  const joined = kept.join(";").trim();
  return joined === "" ? undefined : joined;
}

/** Whether a text contains the key, literally or percent-encoded. */
export function containsKey(text: string, key: string): boolean {
  return text.includes(key) || (text.includes("%") && decodeLeniently(text).includes(key));
}

/** Removes the key's parameter from a URL such as that of the `Referer` header. */
export function removeUrlKey(url: string, parameter: string | undefined): string {
  const queryStart = url.indexOf("?");
  if (parameter === undefined || queryStart === -1) {
    return url;
  }
  const query = extractQueryKeys(new Set(), url.slice(queryStart + 1), parameter);
  const path = url.slice(0, queryStart);
  return query === undefined ? path : `${path}?${query}`;
}

function addKey(keys: Set<string>, key: string | undefined): void {
  if (key !== undefined && key !== "") {
    keys.add(key);
  }
}

function getCredentialKey(value: string): string | undefined {
  const bearer = BEARER.exec(value)?.[1];
  if (bearer !== undefined) {
    return bearer;
  }
  const basic = BASIC.exec(value)?.[1];
  if (basic === undefined) {
    return undefined;
  }
  // The key is the password, or the user name if the password is empty.
  const pair = Buffer.from(basic, "base64").toString("utf8");
  const colon = pair.indexOf(":");
  const password = colon === -1 ? "" : pair.slice(colon + 1);
  return password === "" ? pair.slice(0, colon === -1 ? undefined : colon) : password;
}

function extractQueryKeys(
  keys: Set<string>,
  query: string | undefined,
  parameter: string | undefined,
): string | undefined {
  if (query === undefined || parameter === undefined) {
    return query;
  }
  const wanted = parameter.toLowerCase();
  let kept: string | undefined;
  // Some servers also accept semicolons as separators. The caller's separators are preserved.
  const parts = query.split(/([&;])/);
  for (let index = 0; index < parts.length; index += 2) {
    const part = parts[index] ?? "";
    const equals = part.indexOf("=");
    const name = equals === -1 ? part : part.slice(0, equals);
    if (decodeLeniently(name).trim().toLowerCase() === wanted) {
      addKey(keys, decodeLeniently(equals === -1 ? "" : part.slice(equals + 1)));
    } else {
      kept = kept === undefined ? part : `${kept}${parts[index - 1] ?? ""}${part}`;
    }
  }
  return kept;
}

function decodeLeniently(text: string): string {
  if (!text.includes("%") && !text.includes("+")) {
    return text;
  }
  return new URLSearchParams(`a=${text.replaceAll("&", "%26")}`).get("a") ?? "";
}

function addCookieKeys(keys: Set<string>, header: string, cookie: string): void {
  for (const part of header.split(";")) {
    if (getCookieName(part) === cookie) {
      const value = part.slice(part.indexOf("=") + 1).trim();
      addKey(keys, value.replace(/^"(.*)"$/, "$1"));
    }
  }
}

function getCookieName(part: string): string {
  return (part.split("=", 1)[0] ?? "").trim();
}
