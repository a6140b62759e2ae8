/**
 * Types through which other packages see the configuration.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

/**
 * The configuration in force after one release note. It never changes; a request keeps the snapshot
 * that it began with.
 */
export interface Snapshot {
  readonly number: model.NoteNumber;
  readonly digest: model.NoteDigest;
  readonly fleet: model.FleetDeclaration;
  /** Looks a key up in constant time. */
  findKey(digest: model.KeyDigest): model.Key | undefined;
  findWorkspace(id: model.WorkspaceId): model.Workspace | undefined;
  findService(id: model.ServiceId): model.Service | undefined;
  findRoute(id: model.RouteId): model.Route | undefined;
  findTarget(id: model.TargetId): model.Target | undefined;
  /** The route with the longest matching path prefix; routes with a host go before those without. */
  matchRoute(host: string, path: string): model.Route | undefined;
  /** Targets of a service in the order of their identifiers, leaving ones included. */
  listTargets(service: model.ServiceId): readonly model.Target[];
  listServices(): Iterable<model.Service>;
  listWorkspaces(): Iterable<model.Workspace>;
  listRoutes(): Iterable<model.Route>;
  listKeys(): Iterable<model.Key>;
}

/** Where a release note came from. */
export type NoteSource = "platform" | "peer";

/** What one applied note changed, for services that act on it at once. */
export interface SnapshotChange {
  readonly previous: Snapshot | undefined;
  readonly current: Snapshot;
  /** Keys that stopped working or moved to another workspace. */
  readonly withdrawnKeys: readonly model.KeyDigest[];
}

/** Called after a new configuration has come into force. */
export type SnapshotListener = (change: SnapshotChange) => void;

/** The service that holds the configuration in force. */
export interface ConfigurationService extends kernel.Service {
  /** The configuration in force; undefined before the first. */
  getSnapshot(): Snapshot | undefined;
  /** Whether the VM has made sure, as far as it can reach, that it is not behind. */
  isReady(): boolean;
  onChange(listener: SnapshotListener): void;
}

/** A value of the platform with its version. */
export interface PlatformValue {
  readonly version: number;
  readonly text: string;
}
