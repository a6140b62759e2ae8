/**
 * Finds the route of a request: among those of its host, the one with the longest matching prefix.
 */

import type * as types from "./types.ts";

/** Routes indexed by host and prefix. A lookup takes one step for each slash of the path. */
export class RouteTable {
  readonly #hosts = new Map<string, Map<string, types.DeclaredRoute>>();

  constructor(routes: readonly types.DeclaredRoute[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.#hosts.get(host) ?? new Map<string, types.DeclaredRoute>();
      prefixes.set(route.pathPrefix, route);
      this.#hosts.set(host, prefixes);
    }
  }

  /** @param path Path of the request without its query. */
  find(host: string, path: string): types.DeclaredRoute | undefined {
    const prefixes = this.#hosts.get(removePort(host).toLowerCase());
    if (prefixes === undefined) {
      return undefined;
    }
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) {
        return route;
      }
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }
}

function removePort(host: string): string {
  const colon = host.lastIndexOf(":");
  return colon < 0 || host.endsWith("]") ? host : host.slice(0, colon);
}
