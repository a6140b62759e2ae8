/**
 * The complete declarations of an operator, and the list of targets, which is separate from them.
 */

import type * as model from "@hemlockwalk/model";
import type * as neverthrow from "neverthrow";

/** Version of the complete declarations. Versions rise in uneven steps; a VM may skip some. */
export type DeclarationsVersion = model.Brand<number, "DeclarationsVersion">;

/**
 * Number of the store's history. It rises by one each time the store is restored from a backup,
 * after which revisions are assigned again.
 */
export type StoreEra = model.Brand<number, "StoreEra">;

/** Number of a change within one era of the store. */
export type StoreRevision = model.Brand<number, "StoreRevision">;

/** Position in the history of the store; `comparePositions` orders positions. */
export interface StorePosition {
  readonly era: StoreEra;
  readonly revision: StoreRevision;
}

/** Limits on the size of requests and on the idle time of connections. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Longest time for the head of a request to arrive, in milliseconds. */
  readonly headerMilliseconds: number;
  /** Longest time for which a keep-alive connection may be idle, in milliseconds. */
  readonly idleMilliseconds: number;
}

/** One service that a route leads to. */
export interface Destination {
  readonly service: model.ServiceId;
  /** Share of the route's requests, relative to the sum of the weights. */
  readonly weight: number;
}

/** Which requests go to which services, and how they may be handled. */
export interface DeclaredRoute {
  readonly id: model.RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /**
   * Whether its safe requests may run ahead of their turn on a connection. Undefined counts as
   * false, since declarations that a VM of an earlier version has decoded do not tell downloads from
   * other idempotent routes.
   */
  readonly mayRunAhead?: boolean | undefined;
  /** Time within which a response has its full value, in milliseconds. */
  readonly objectiveMilliseconds: number;
  /** Time limit of a request; undefined if only the caller's deadline applies. */
  readonly timeoutMilliseconds: number | undefined;
  /** Maximum number of targets to which one request may be sent. */
  readonly attempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether the route needs no key. */
  readonly isPublic: boolean;
  /** Regions outside which a request must not be sent; undefined for no limit. */
  readonly homes?: readonly model.RegionId[] | undefined;
  readonly destinations: readonly Destination[];
}

/** What the operator declares of a service. */
export interface DeclaredService {
  readonly id: model.ServiceId;
  /** Connections that one target accepts from all VMs together. */
  readonly connectionsPerTarget: number;
  /**
   * Requests per second that a target can handle from all VMs together while it warms up; undefined
   * for no limit.
   */
  readonly coldRequestsPerSecond?: number | undefined;
}

/** A workspace with its keys and its rate over all VMs. */
export interface DeclaredWorkspace {
  readonly id: model.WorkspaceId;
  readonly keys: readonly string[];
  /** Takes precedence over the route's priority if it is set. */
  readonly priority: number | undefined;
  /** Requests per second over all VMs; undefined for no limit. */
  readonly ratePerSecond: number | undefined;
  readonly burst: number;
  /** Regions outside which its requests must not be sent; undefined for no limit. */
  readonly homes?: readonly model.RegionId[] | undefined;
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

/** A target as it has announced itself in the store. */
export interface TargetEntry {
  readonly id: model.TargetId;
  readonly service: model.ServiceId;
  readonly address: string;
  readonly dataCentre: model.DataCentreId;
  /** Requests that it can run concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time for which it is slow after a start, in milliseconds from its announcement. */
  readonly warmUpMilliseconds: number;
  /** Start of its process by its own clock, in Unix milliseconds; undefined if not announced. */
  readonly startedAt: number | undefined;
  /** Number of its latest report, which rises within one start of its process. */
  readonly reportNumber: number | undefined;
}

/** One change of the list of targets. */
export interface TargetChange {
  readonly id: model.TargetId;
  readonly position: StorePosition;
  /** Undefined once the target is removed. */
  readonly entry: TargetEntry | undefined;
}

/** One change of the orders to evacuate data centres. */
export interface EvacuationChange {
  readonly dataCentre: model.DataCentreId;
  readonly position: StorePosition;
  /** Whether the data centre is evacuated, or the order has been withdrawn. */
  readonly isEvacuated: boolean;
}

/** The content of the store, or its changes. */
export interface StoreUpdate {
  readonly asOf: StorePosition;
  /** The latest declarations; undefined when they have not changed. */
  readonly declarations: Declarations | undefined;
  readonly changes: readonly TargetChange[];
  /** Changes of the orders to evacuate; of the whole content, all orders in force. */
  readonly evacuations: readonly EvacuationChange[];
}

/** Why a call to the store failed. */
export type StoreFailure =
  /** The store is unreachable, does not respond, or sent a response that cannot be decoded. */
  | "unavailable"
  /** The store refused the call. */
  | "rejected"
  /** The history from the given position on is no longer kept. */
  | "history_lost"
  /** The response states no readable era. */
  | "invalid_era";

/** The store in which operators and targets publish. This system only reads from it. */
export interface PublishedStore {
  /** Reads the whole content. */
  read(): Promise<neverthrow.Result<StoreUpdate, StoreFailure>>;
  /**
   * Waits for changes after a position, at most for the given time. The changes belong to the era
   * of the response, which may be later than that of the position.
   */
  watch(
    after: StorePosition,
    waitMilliseconds: number,
  ): Promise<neverthrow.Result<StoreUpdate, StoreFailure>>;
}
