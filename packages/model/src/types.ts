/**
 * Types shared by all packages: branded identifiers and the entities that release notes declare.
 */

/** A value of type `Value` that only its own constructor function may create. */
export type Brand<Value, Name extends string> = Value & { readonly __brand: Name };

/** Identifier of a VM, from its settings. */
export type VmId = Brand<string, "VmId">;
/** Identifier of one life of a VM's process. A replaced VM has another one. */
export type Incarnation = Brand<string, "Incarnation">;
/** Identifier of a data centre. */
export type DataCentreId = Brand<string, "DataCentreId">;
/** Identifier of a workspace. */
export type WorkspaceId = Brand<string, "WorkspaceId">;
/** Identifier of a route. */
export type RouteId = Brand<string, "RouteId">;
/** Identifier of a service. */
export type ServiceId = Brand<string, "ServiceId">;
/** Identifier of a target. */
export type TargetId = Brand<string, "TargetId">;
/** SHA-256 of a caller's key, as 64 lower-case hexadecimal digits. */
export type KeyDigest = Brand<string, "KeyDigest">;
/** Position of a release note in the chain, from 1. */
export type NoteNumber = Brand<number, "NoteNumber">;
/** SHA-256 of a release note's trimmed text, as 64 lower-case hexadecimal digits. */
export type NoteDigest = Brand<string, "NoteDigest">;

/** A tenant with its own keys, rate and burst. */
export interface Workspace {
  readonly id: WorkspaceId;
  /** Requests a second, counted over all VMs together. */
  readonly rate: number;
  /** Requests that may run at once after a quiet time. */
  readonly burst: number;
  /** Share of a full service against other workspaces. */
  readonly weight: number;
}

/** A caller's key. Only its digest is ever published. */
export interface Key {
  readonly digest: KeyDigest;
  readonly workspace: WorkspaceId;
}

/** Which requests go to which service. */
export interface Route {
  readonly id: RouteId;
  /** Host name that the request must carry; absent for any host. */
  readonly host?: string | undefined;
  /** Prefix of whole path segments, such as `/bookings`. */
  readonly pathPrefix: string;
  readonly service: ServiceId;
  /** Open routes need no key and run for no workspace. */
  readonly open: boolean;
  /** Workspaces that may use the route; absent for all. */
  readonly workspaces?: readonly WorkspaceId[] | undefined;
  /** Longest time from the request's arrival to the end of its answer. */
  readonly timeoutMilliseconds: number;
  /** Largest body of a request; absent for the gateway's own limit. */
  readonly bodyLimitBytes?: number | undefined;
  /** Methods whose repetition does no harm on this route. */
  readonly idempotentMethods: readonly string[];
  /** Factor on the weight of a workspace for requests on this route. */
  readonly weight: number;
}

/** How a target tells that it did not run a request. */
export interface NotRunSignal {
  readonly status: number;
  readonly header: string;
  readonly value: string;
}

/** A group of interchangeable targets. */
export interface Service {
  readonly id: ServiceId;
  /** Smallest share (0 to 1) of the targets that ejections must leave in use. */
  readonly floor: number;
  /** Requests that one target runs at once. */
  readonly slots: number;
  /** Connections that one target accepts from all VMs together. */
  readonly connections: number;
  readonly notRunSignal?: NotRunSignal | undefined;
}

/** One back end of a service. */
export interface Target {
  readonly id: TargetId;
  readonly service: ServiceId;
  /** IP number and port, such as `10.0.0.7:8080`. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** A leaving target finishes its requests and gets no new ones. */
  readonly leaving: boolean;
}

/** Where callers put their keys, besides `Authorization: Bearer`. */
export interface KeyPlacement {
  readonly header: string;
  readonly queryParameter?: string | undefined;
  readonly cookie?: string | undefined;
}

/** What holds for the whole fleet. */
export interface FleetDeclaration {
  /** The most VMs that are ever alive at once, replaced ones included. */
  readonly vmLimit: number;
  readonly keyPlacement: KeyPlacement;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
}
