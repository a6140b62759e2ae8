/**
 * Snapshots of the configuration, indexed for lookups on the request path.
 */

import type * as model from "@hemlockwalk/model";
import * as compactKeys from "./compact_keys.ts";
import * as references from "./references.ts";
import * as shardedMap from "./sharded_map.ts";
import * as tableView from "./table_view.ts";
import type * as types from "./types.ts";

/** The entities of a configuration, by identifier. */
export interface EntityViews {
  readonly workspaces: tableView.TableView<model.WorkspaceId, model.Workspace>;
  readonly keys: tableView.TableView<model.KeyDigest, model.Key>;
  readonly services: tableView.TableView<model.ServiceId, model.Service>;
  readonly targets: tableView.TableView<model.TargetId, model.Target>;
  readonly routes: tableView.TableView<model.RouteId, model.Route>;
}

/** The entities and the additional indexes for the request path. */
export interface SnapshotViews extends EntityViews {
  /** Routes by host and path prefix; see `getRoutePrefix`. */
  readonly routesByPrefix: tableView.TableView<string, model.Route>;
  /** Targets of each service, sorted by identifier. */
  readonly serviceTargets: tableView.TableView<model.ServiceId, readonly model.Target[]>;
}

/** Creates views without entities. */
export function createEmptyViews(): SnapshotViews {
  return {
    workspaces: createEmptyView(),
    keys: new tableView.TableView(new compactKeys.CompactKeys()),
    services: createEmptyView(),
    targets: createEmptyView(),
    routes: createEmptyView(),
    routesByPrefix: createEmptyView(),
    serviceTargets: createEmptyView(),
  };
}

function createEmptyView<Id extends string, Value>(): tableView.TableView<Id, Value> {
  return new tableView.TableView(new shardedMap.ShardedMap<Id, Value>());
}

/** Returns the host and path prefix of a route as one string, which identifies it in the index. */
export function getRoutePrefix(host: string | undefined, pathPrefix: string): string {
  return `${host ?? ""}${pathPrefix === "/" ? "" : pathPrefix}`;
}

/** Identifies a configuration by its newest note. */
export interface SnapshotIdentity {
  readonly number: model.NoteNumber;
  readonly digest: model.NoteDigest;
  readonly fleet: model.FleetDeclaration;
}

/** A snapshot over shared tables. */
export class TableSnapshot implements types.Snapshot {
  readonly number: model.NoteNumber;
  readonly digest: model.NoteDigest;
  readonly fleet: model.FleetDeclaration;
  readonly views: SnapshotViews;
  /**
   * The number of references to each entity in the newest snapshot of these tables. The counts are
   * correct only after the pending changes of that snapshot have been merged.
   */
  readonly referenceCounts: references.ReferenceCounts;
  #pendingReferences: references.ReferenceDifferences | undefined;

  constructor(
    identity: SnapshotIdentity,
    views: SnapshotViews,
    referenceCounts: references.ReferenceCounts,
    pendingReferences?: references.ReferenceDifferences,
  ) {
    this.number = identity.number;
    this.digest = identity.digest;
    this.fleet = identity.fleet;
    this.views = views;
    this.referenceCounts = referenceCounts;
    this.#pendingReferences = pendingReferences;
  }

  /** Merges the changes of the latest note into the shared tables, in short steps. */
  *mergePendingInSteps(): Generator<void, void> {
    const {
      workspaces,
      keys,
      services,
      targets,
      routes,
      routesByPrefix,
      serviceTargets,
    } = this.views;
    yield* workspaces.mergePendingInSteps();
    yield* keys.mergePendingInSteps();
    yield* services.mergePendingInSteps();
    yield* targets.mergePendingInSteps();
    yield* routes.mergePendingInSteps();
    yield* routesByPrefix.mergePendingInSteps();
    yield* serviceTargets.mergePendingInSteps();
    if (this.#pendingReferences !== undefined) {
      yield* this.referenceCounts.addAllInSteps(this.#pendingReferences);
      this.#pendingReferences = undefined;
    }
  }

  /** Total number of entities. */
  get size(): number {
    const { workspaces, keys, services, targets, routes } = this.views;
    return workspaces.size + keys.size + services.size + targets.size + routes.size;
  }

  findKey(digest: model.KeyDigest): model.Key | undefined {
    return this.views.keys.get(digest);
  }

  findWorkspace(id: model.WorkspaceId): model.Workspace | undefined {
    return this.views.workspaces.get(id);
  }

  findService(id: model.ServiceId): model.Service | undefined {
    return this.views.services.get(id);
  }

  findRoute(id: model.RouteId): model.Route | undefined {
    return this.views.routes.get(id);
  }

  findTarget(id: model.TargetId): model.Target | undefined {
    return this.views.targets.get(id);
  }

  matchRoute(host: string, path: string): model.Route | undefined {
    return this.#matchPath(host, path) ?? this.#matchPath("", path);
  }

  listTargets(service: model.ServiceId): readonly model.Target[] {
    return this.views.serviceTargets.get(service) ?? [];
  }

  listServices(): Iterable<model.Service> {
    return this.views.services.values();
  }

  listWorkspaces(): Iterable<model.Workspace> {
    return this.views.workspaces.values();
  }

  listRoutes(): Iterable<model.Route> {
    return this.views.routes.values();
  }

  listKeys(): Iterable<model.Key> {
    return this.views.keys.values();
  }

  #matchPath(host: string, path: string): model.Route | undefined {
    let prefix = path.endsWith("/") ? path.slice(0, -1) : path;
    for (;;) {
      const route = this.views.routesByPrefix.get(host + prefix);
      if (route !== undefined) {
        return route;
      }
      if (prefix === "") {
        return undefined;
      }
      prefix = prefix.slice(0, prefix.lastIndexOf("/"));
    }
  }
}
