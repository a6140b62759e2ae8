/**
 * Types through which other packages see the configuration.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";

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
  /** What operators are told. Absent in services that stand in for the real one. */
  getStatus?(): ConfigurationStatus;
}

/** Two different notes under one number: an error in publishing. */
export interface Fork {
  readonly number: model.NoteNumber;
  /** Digest of the note that is in force on this VM. */
  readonly inForce: model.NoteDigest;
  /** Digest of the note that is refused here. */
  readonly refused: model.NoteDigest;
  /** Where the other note is: a VM, or `platform`. */
  readonly seenAt: string;
}

/** A note that this VM has refused. */
export interface RefusedNote {
  /** The number under which it was offered. */
  readonly number: number;
  readonly digest: model.NoteDigest;
  /** The findings, one a line, with their numbers and positions. */
  readonly findings: readonly string[];
}

/** What operators are told about the configuration of one VM. */
export interface ConfigurationStatus {
  /** 0 before the first note. */
  readonly number: number;
  readonly digest: model.NoteDigest | null;
  readonly ready: boolean;
  /** The highest number that peers or the platform have told of. */
  readonly highestHeard: number;
  /** Whether this VM is one of those that read the platform for their data centre. */
  readonly platformReader: boolean;
  /** Time since any VM was known to reach the platform; null when none is known. */
  readonly platformContactAgeMilliseconds: number | null;
  readonly forks: readonly Fork[];
  readonly refusedNotes: readonly RefusedNote[];
}

/** A value of the platform with its version. */
export interface PlatformValue {
  readonly version: number;
  readonly text: string;
}

/** Reads and watches the platform's values. */
export interface PlatformReader {
  /** Reads a value. */
  get(
    key: string,
    timeoutMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<neverthrow.Result<PlatformValue, errors.PlatformError>>;
  /**
   * Waits until the value has a version above the given one.
   *
   * @returns The newer value; `absent` when there was none within the wait.
   */
  watch(
    key: string,
    afterVersion: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<neverthrow.Result<PlatformValue, errors.PlatformError>>;
  close(): Promise<void>;
}

/** Where a note or a baseline came from: a VM, or `platform`. */
export type Origin = "platform" | model.VmId;

/** What became of a note that was offered. */
export type OfferOutcome =
  /** It is in force now. */
  | "applied"
  /** It was in force already. */
  | "known"
  /** Notes before it are missing. */
  | "gap"
  /** It names another predecessor than the note in force. */
  | "diverged"
  /** Another note under its number is in force. */
  | "conflicting"
  /** It is wrong in itself. */
  | "refused";
