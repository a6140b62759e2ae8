/**
 * The configuration in force, indexed for the request path.
 */

import type * as model from "@hemlockwalk/model";
import * as compactKeys from "./compact_keys.ts";
import * as references from "./references.ts";
import * as shardedMap from "./sharded_map.ts";
import * as tableView from "./table_view.ts";
import type * as types from "./types.ts";

/** The entities of a configuration by identifier. */
export interface EntityViews {
  readonly workspaces: tableView.TableView<model.WorkspaceId, model.Workspace>;
  readonly keys: tableView.TableView<model.KeyDigest, model.Key>;
  readonly services: tableView.TableView<model.ServiceId, model.Service>;
  readonly targets: tableView.TableView<model.TargetId, model.Target>;
  readonly routes: tableView.TableView<model.RouteId, model.Route>;
}

/** The entities with what the request path looks up besides identifiers. */
export interface SnapshotViews extends EntityViews {
  /** Routes by host and path prefix. */
  readonly places: tableView.TableView<string, model.Route>;
  /** Targets of each service in the order of their identifiers. */
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
    places: createEmptyView(),
    serviceTargets: createEmptyView(),
  };
}

function createEmptyView<Id extends string, Value>(): tableView.TableView<Id, Value> {
  return new tableView.TableView(new shardedMap.ShardedMap<Id, Value>());
}

/** The place of a route in the routing table. */
export function getRoutePlace(host: string | undefined, pathPrefix: string): string {
  return `${host ?? ""}${pathPrefix === "/" ? "" : pathPrefix}`;
}

/** The identity of a configuration: the newest note in it. */
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
   * How often each entity is referred to, in the newest snapshot of these tables. Right only after
   * that snapshot has settled.
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

  /** Moves what the latest note changed into the shared tables, in short steps. */
  *settleInSteps(): Generator<void, void> {
    const { workspaces, keys, services, targets, routes, places, serviceTargets } = this.views;
    yield* workspaces.settleInSteps();
    yield* keys.settleInSteps();
    yield* services.settleInSteps();
    yield* targets.settleInSteps();
    yield* routes.settleInSteps();
    yield* places.settleInSteps();
    yield* serviceTargets.settleInSteps();
    if (this.#pendingReferences !== undefined) {
      yield* this.referenceCounts.addAllInSteps(this.#pendingReferences);
      this.#pendingReferences = undefined;
    }
  }

  /** Number of entities of all kinds. */
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
      const route = this.views.places.get(host + prefix);
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
