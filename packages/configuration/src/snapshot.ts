/**
 * The configuration in force, indexed for the request path.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/** The entities of a configuration by identifier. */
export interface SnapshotTables {
  readonly workspaces: Map<model.WorkspaceId, model.Workspace>;
  readonly keys: Map<model.KeyDigest, model.Key>;
  readonly services: Map<model.ServiceId, model.Service>;
  readonly targets: Map<model.TargetId, model.Target>;
  readonly routes: Map<model.RouteId, model.Route>;
}

/** Creates tables without entities. */
export function createEmptyTables(): SnapshotTables {
  return {
    workspaces: new Map(),
    keys: new Map(),
    services: new Map(),
    targets: new Map(),
    routes: new Map(),
  };
}

/** Copies tables, so that the copy can be changed while the original serves requests. */
export function copyTables(tables: SnapshotTables): SnapshotTables {
  return {
    workspaces: new Map(tables.workspaces),
    keys: new Map(tables.keys),
    services: new Map(tables.services),
    targets: new Map(tables.targets),
    routes: new Map(tables.routes),
  };
}

/** The place of a route in the routing table. */
export function getRoutePlace(host: string | undefined, pathPrefix: string): string {
  return `${host ?? ""}${pathPrefix === "/" ? "" : pathPrefix}`;
}

/** A snapshot over plain tables. */
export class TableSnapshot implements types.Snapshot {
  readonly number: model.NoteNumber;
  readonly digest: model.NoteDigest;
  readonly fleet: model.FleetDeclaration;
  readonly tables: SnapshotTables;
  readonly #routesByPlace = new Map<string, model.Route>();
  readonly #targetsByService = new Map<model.ServiceId, model.Target[]>();

  constructor(
    number: model.NoteNumber,
    digest: model.NoteDigest,
    fleet: model.FleetDeclaration,
    tables: SnapshotTables,
  ) {
    this.number = number;
    this.digest = digest;
    this.fleet = fleet;
    this.tables = tables;
    this.#indexRoutes();
    this.#indexTargets();
  }

  findKey(digest: model.KeyDigest): model.Key | undefined {
    return this.tables.keys.get(digest);
  }

  findWorkspace(id: model.WorkspaceId): model.Workspace | undefined {
    return this.tables.workspaces.get(id);
  }

  findService(id: model.ServiceId): model.Service | undefined {
    return this.tables.services.get(id);
  }

  findRoute(id: model.RouteId): model.Route | undefined {
    return this.tables.routes.get(id);
  }

  findTarget(id: model.TargetId): model.Target | undefined {
    return this.tables.targets.get(id);
  }

  matchRoute(host: string, path: string): model.Route | undefined {
    return this.#matchPath(host, path) ?? this.#matchPath("", path);
  }

  listTargets(service: model.ServiceId): readonly model.Target[] {
    return this.#targetsByService.get(service) ?? [];
  }

  listServices(): Iterable<model.Service> {
    return this.tables.services.values();
  }

  listWorkspaces(): Iterable<model.Workspace> {
    return this.tables.workspaces.values();
  }

  listRoutes(): Iterable<model.Route> {
    return this.tables.routes.values();
  }

  listKeys(): Iterable<model.Key> {
    return this.tables.keys.values();
  }

  #matchPath(host: string, path: string): model.Route | undefined {
    let prefix = path.endsWith("/") ? path.slice(0, -1) : path;
    for (;;) {
      const route = this.#routesByPlace.get(host + prefix);
      if (route !== undefined) {
        return route;
      }
      if (prefix === "") {
        return undefined;
      }
      prefix = prefix.slice(0, prefix.lastIndexOf("/"));
    }
  }

  #indexRoutes(): void {
    for (const route of this.tables.routes.values()) {
      this.#routesByPlace.set(getRoutePlace(route.host, route.pathPrefix), route);
    }
  }

  #indexTargets(): void {
    const targets = [...this.tables.targets.values()];
    targets.sort((left, right) => (left.id < right.id ? -1 : 1));
    for (const target of targets) {
      const list = this.#targetsByService.get(target.service);
      if (list === undefined) {
        this.#targetsByService.set(target.service, [target]);
      } else {
        list.push(target);
      }
    }
    kernel.assert(this.#targetsByService.size <= targets.length, "Each list holds a target.");
  }
}
