/**
 * Whole declarations of an operator, and the live list of targets beside them.
 */

import type * as model from "@hemlockwalk/model";
import type * as neverthrow from "neverthrow";

/** Version of whole declarations. Versions rise in uneven steps, and a VM may skip some. */
export type DeclarationsVersion = model.Brand<number, "DeclarationsVersion">;

/** Position in the history of the store that publishes declarations and targets. */
export type StoreRevision = model.Brand<number, "StoreRevision">;

/** Bounds on what a caller may send and on how long a connection may idle. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Longest time for the head of a request, in milliseconds. */
  readonly headerMilliseconds: number;
  /** Longest time that a kept connection may idle, in milliseconds. */
  readonly idleMilliseconds: number;
}

/** One service that a route leads to. */
export interface Destination {
  readonly service: model.ServiceId;
  /** Share of the route's requests, against the sum of the weights. */
  readonly weight: number;
}

/** Which requests go where, and what may be done with them. */
export interface DeclaredRoute {
  readonly id: model.RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Time within which an answer has its full value, in milliseconds. */
  readonly objectiveMilliseconds: number;
  /** Longest time that a caller is kept waiting; undefined where only the caller's deadline counts. */
  readonly timeoutMilliseconds: number | undefined;
  /** Most targets that one request may be sent to. */
  readonly attempts: number;
  /** Rank, 0 being the most urgent. */
  readonly priority: number;
  /** Whether the route needs no key. */
  readonly isPublic: boolean;
  readonly destinations: readonly Destination[];
}

/** What the operator declares of a service. */
export interface DeclaredService {
  readonly id: model.ServiceId;
  /** Connections that one target accepts from all VMs together. */
  readonly connectionsPerTarget: number;
}

/** A workspace with its keys and its rate over all VMs. */
export interface DeclaredWorkspace {
  readonly id: model.WorkspaceId;
  readonly keys: readonly string[];
  /** Goes before the route's priority where it is set. */
  readonly priority: number | undefined;
  /** Requests a second over all VMs; undefined for no limit. */
  readonly ratePerSecond: number | undefined;
  readonly burst: number;
}

/** Everything that an operator declares, as one version. */
export interface Declarations {
  readonly version: DeclarationsVersion;
  readonly limits: CallerLimits;
  readonly routes: readonly DeclaredRoute[];
  readonly services: readonly DeclaredService[];
  /** Empty where requests carry no key. */
  readonly workspaces: readonly DeclaredWorkspace[];
}

/** A target as it announced itself. */
export interface TargetEntry {
  readonly id: model.TargetId;
  readonly service: model.ServiceId;
  readonly address: string;
  readonly dataCentre: model.DataCentreId;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** How long it stays slow after its start, in milliseconds from when it was announced. */
  readonly warmUpMilliseconds: number;
  /** Start of its process by its own clock, in Unix milliseconds; undefined if it did not tell. */
  readonly startedAt: number | undefined;
}

/** One change of the list of targets. */
export interface TargetChange {
  readonly id: model.TargetId;
  readonly revision: StoreRevision;
  /** Undefined once the target is gone. */
  readonly entry: TargetEntry | undefined;
}

/** What the store holds or what has changed in it. */
export interface StoreUpdate {
  readonly asOf: StoreRevision;
  /** The latest declarations; undefined when they have not changed. */
  readonly declarations: Declarations | undefined;
  readonly changes: readonly TargetChange[];
}

/** Why the store gave no answer. */
export type StoreFailure =
  /** Not reached, silent, or an answer that cannot be read. */
  | "unavailable"
  /** It turned this VM away. */
  | "rejected"
  /** The history from the given revision on is no longer kept. */
  | "history_lost";

/** The store in which operators and targets publish. This system only reads it. */
export interface PublishedStore {
  /** Reads everything. */
  read(): Promise<neverthrow.Result<StoreUpdate, StoreFailure>>;
  /** Waits for changes after a revision, at most for the given time. */
  watch(
    after: StoreRevision,
    waitMilliseconds: number,
  ): Promise<neverthrow.Result<StoreUpdate, StoreFailure>>;
}
