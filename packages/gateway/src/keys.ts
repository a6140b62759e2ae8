/**
 * Finds the caller's key in every place where it may travel, and takes it out of what is forwarded.
 */

import type * as http from "node:http";
import type * as model from "@hemlockwalk/model";

const BEARER = /^bearer +(\S+) *$/i;

/** Headers that may carry a key or a caller's claim of identity, and never reach a target. */
const REMOVED_HEADERS = ["authorization", "proxy-authorization"] as const;

/** Prefix of headers that only hemlockwalk itself sets. */
export const OWN_HEADER_PREFIX = "hemlockwalk-";

/** The caller's key and the request's path and query without it. */
export interface KeyFinding {
  readonly key: string | undefined;
  readonly target: string;
}

/** Looks for the key in the header, bearer token, query and cookie, in this order. */
export function findKey(
  request: http.IncomingMessage,
  placement: model.KeyPlacement,
): KeyFinding {
  const fromQuery = takeQueryKey(request.url ?? "/", placement.queryParameter);
  const key = getHeader(request, placement.header) ??
    BEARER.exec(request.headers.authorization ?? "")?.[1] ??
    fromQuery.key ??
    findCookieKey(request.headers.cookie, placement.cookie);
  return { key, target: fromQuery.target };
}

/** Whether a header must not be forwarded since it may carry a key or a forged identity. */
export function isRemovedHeader(name: string, placement: model.KeyPlacement): boolean {
  return (REMOVED_HEADERS as readonly string[]).includes(name) ||
    name === placement.header ||
    name.startsWith(OWN_HEADER_PREFIX);
}

/** Removes the key's cookie from a cookie header; undefined when nothing is left. */
export function removeCookieKey(value: string, cookie: string | undefined): string | undefined {
  if (cookie === undefined) {
    return value;
  }
  const kept = value.split(";").filter((part) => getCookieName(part) !== cookie);
  const joined = kept.join(";").trim();
  return joined === "" ? undefined : joined;
}

function getHeader(request: http.IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function takeQueryKey(url: string, parameter: string | undefined): KeyFinding {
  const queryStart = url.indexOf("?");
  if (parameter === undefined || queryStart === -1) {
    return { key: undefined, target: url };
  }
  const query = new URLSearchParams(url.slice(queryStart + 1));
  const key = query.get(parameter) ?? undefined;
  if (key === undefined) {
    return { key, target: url };
  }
  query.delete(parameter);
  const rest = query.toString();
  const path = url.slice(0, queryStart);
  return { key, target: rest === "" ? path : `${path}?${rest}` };
}

function findCookieKey(
  header: string | undefined,
  cookie: string | undefined,
): string | undefined {
  if (header === undefined || cookie === undefined) {
    return undefined;
  }
  const part = header.split(";").find((candidate) => getCookieName(candidate) === cookie);
  return part?.slice(part.indexOf("=") + 1).trim();
}

function getCookieName(part: string): string {
  return (part.split("=", 1)[0] ?? "").trim();
}
