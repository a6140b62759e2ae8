/**
 * Types shared by all packages: branded identifiers and the entities that release notes declare.
 */

/** A value of type `Value` that only its own constructor function may create. */
export type Brand<Value, Name extends string> = Value & { readonly __brand: Name };

/** Identifier of a VM, from its settings. */
export type VmId = Brand<string, "VmId">;
/** Identifier of one lifetime of a VM's process. A replaced VM has another one. */
export type Incarnation = Brand<string, "Incarnation">;
/** Identifier of a data centre. */
export type DataCentreId = Brand<string, "DataCentreId">;
/** Identifier of a region, which holds one or more data centres. */
export type RegionId = Brand<string, "RegionId">;
/** Identifier of a workspace. */
export type WorkspaceId = Brand<string, "WorkspaceId">;
/** Identifier of a route. */
export type RouteId = Brand<string, "RouteId">;
/** Identifier of a service. */
export type ServiceId = Brand<string, "ServiceId">;
/** Identifier of a target. */
export type TargetId = Brand<string, "TargetId">;
/** Digest of what a caller's request has in common with its repetitions, as base64url text. */
export type RequestFingerprint = Brand<string, "RequestFingerprint">;
/** SHA-256 of a caller's key, as 64 lower-case hexadecimal digits. */
export type KeyDigest = Brand<string, "KeyDigest">;
/** Position of a release note in the chain, from 1. */
export type NoteNumber = Brand<number, "NoteNumber">;
/** SHA-256 of a release note's trimmed text, as 64 lower-case hexadecimal digits. */
export type NoteDigest = Brand<string, "NoteDigest">;

/** A tenant with its own keys, rate and burst. */
export interface Workspace {
  readonly id: WorkspaceId;
  /** Requests per second, counted over all VMs together. */
  readonly rate: number;
  /** Requests that may start at once after an idle period. */
  readonly burst: number;
  /** Relative share of a service at full capacity, compared with other workspaces. */
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
  /** Whether requests need no key and belong to no workspace. */
  readonly open: boolean;
  /** Workspaces that may use the route; absent for all. */
  readonly workspaces?: readonly WorkspaceId[] | undefined;
  /** Longest time from the request's arrival to the end of its response. */
  readonly timeoutMilliseconds: number;
  /** Largest body of a request; absent for the gateway's default limit. */
  readonly bodyLimitBytes?: number | undefined;
  /** Methods that may be repeated safely on this route. */
  readonly idempotentMethods: readonly string[];
  /** Factor on the weight of a workspace for requests on this route. */
  readonly weight: number;
}

/** Status and header by which a target reports that it did not run a request. */
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
  /** Requests that one target can run concurrently. */
  readonly slots: number;
  /** Connections that one target accepts from all VMs together. */
  readonly connections: number;
  readonly notRunSignal?: NotRunSignal | undefined;
}

/** One back end of a service. */
export interface Target {
  readonly id: TargetId;
  readonly service: ServiceId;
  /** IP address and port, such as `10.0.0.7:8080`. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** Whether the target only finishes its requests and gets no new ones. */
  readonly leaving: boolean;
}

/** Where callers may send their keys, besides `Authorization: Bearer`. */
export interface KeyPlacement {
  readonly header: string;
  readonly queryParameter?: string | undefined;
  readonly cookie?: string | undefined;
}

/** Declarations that apply to the whole fleet. */
export interface FleetDeclaration {
  /** Maximum number of VMs that run at the same time, including replaced ones. */
  readonly vmLimit: number;
  readonly keyPlacement: KeyPlacement;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
}
