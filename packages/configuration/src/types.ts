/**
 * Public types of the configuration package.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";

/**
 * An immutable configuration: the state after one release note. A request uses the same snapshot
 * from start to end.
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
  /**
   * Returns the route with the longest matching path prefix. Routes for the given host take
   * precedence over routes without a host.
   */
  matchRoute(host: string, path: string): model.Route | undefined;
  /** Lists the targets of a service by identifier, including those that are leaving. */
  listTargets(service: model.ServiceId): readonly model.Target[];
  listServices(): Iterable<model.Service>;
  listWorkspaces(): Iterable<model.Workspace>;
  listRoutes(): Iterable<model.Route>;
  listKeys(): Iterable<model.Key>;
}

/** The change made by one release note or baseline, passed to listeners. */
export interface SnapshotChange {
  readonly previous: Snapshot | undefined;
  readonly current: Snapshot;
  /** Keys that were withdrawn or moved to another workspace. */
  readonly withdrawnKeys: readonly model.KeyDigest[];
}

/** Called after a new configuration comes into force. */
export type SnapshotListener = (change: SnapshotChange) => void;

/** The service that holds the configuration in force. */
export interface ConfigurationService extends kernel.Service {
  /** The configuration in force; undefined before the first. */
  getSnapshot(): Snapshot | undefined;
  /**
   * Whether the VM has verified that its configuration is up to date, as far as the peers and the
   * platform are reachable.
   */
  isReady(): boolean;
  onChange(listener: SnapshotListener): void;
  /** Returns the status for operators. Stand-ins in tests may omit it. */
  getStatus?(): ConfigurationStatus;
}

/** Two different notes that were published under the same number by mistake. */
export interface Fork {
  readonly number: model.NoteNumber;
  /** Digest of the note that this VM applied. */
  readonly inForce: model.NoteDigest;
  /** Digest of the other note, which this VM refuses. */
  readonly refused: model.NoteDigest;
  /** Where the other note was seen: a VM, or `platform`. */
  readonly seenAt: string;
}

/** A note that this VM has refused. */
export interface RefusedNote {
  /** The number under which it was offered. */
  readonly number: number;
  readonly digest: model.NoteDigest;
  /** Formatted diagnostics, one per line, each with its code and position. */
  readonly findings: readonly string[];
}

/** The configuration status of one VM, as reported to operators. */
export interface ConfigurationStatus {
  /** 0 before the first note. */
  readonly number: number;
  readonly digest: model.NoteDigest | null;
  readonly ready: boolean;
  /** The highest note number that a peer or the platform has reported. */
  readonly highestHeard: number;
  /** Whether this VM is elected to read the platform for its data centre. */
  readonly platformReader: boolean;
  /** Time since the last known contact of any VM with the platform; null if none is known. */
  readonly platformContactAgeMilliseconds: number | null;
  readonly forks: readonly Fork[];
  readonly refusedNotes: readonly RefusedNote[];
}

/** A value on the platform and its version. */
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
   * @returns The newer value, or the error `absent` if there was none within the wait.
   */
  watch(
    key: string,
    afterVersion: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<neverthrow.Result<PlatformValue, errors.PlatformError>>;
  close(): Promise<void>;
}

/** The source of a note or a baseline: a VM or the platform. */
export type Origin = "platform" | model.VmId;

/** Outcome of offering a note to the chain. */
export type OfferOutcome =
  /** The note is now in force. */
  | "applied"
  /** The note had been applied before. */
  | "known"
  /** Earlier notes are missing. */
  | "gap"
  /** The note names a predecessor other than the note in force. */
  | "diverged"
  /** A different note with the same number was applied before. */
  | "conflicting"
  /** The note is invalid. */
  | "refused";
