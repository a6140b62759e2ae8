/**
 * Types shared by the emulator and the experiment tool.
 */

/** A service of a deployment. */
export interface ServicePlan {
  readonly id: string;
  readonly pathPrefix: string;
  readonly targets: number;
  readonly slots: number;
  readonly connections: number;
  readonly floor: number;
  readonly weight: number;
}

/** A workspace of a deployment. */
export interface WorkspacePlan {
  readonly id: string;
  readonly key: string;
  /** Requests per second. */
  readonly rate: number;
  readonly burst: number;
}

/** A user's deployment. */
export interface DeploymentPlan {
  readonly id: string;
  readonly dataCentres: readonly string[];
  readonly region: string;
  /** One-way delay between two data centres. */
  readonly dataCentreDelayMilliseconds: number;
  /** One-way delay between callers and VMs. */
  readonly callerDelayMilliseconds: number;
  readonly services: readonly ServicePlan[];
  readonly workspaces: readonly WorkspacePlan[];
  readonly vms: number;
  readonly vmLimit: number;
  /** Median time that a target takes to run a request. */
  readonly serviceTimeMilliseconds: number;
}

/** A fault of an emulated target. */
export type TargetFault =
  /** Connections are accepted and closed immediately. */
  | { readonly kind: "reset" }
  /** Requests are read and never get a response. */
  | { readonly kind: "hang" }
  | { readonly kind: "slow"; readonly factor: number }
  /** A share (0 to 1) of the requests is run and gets a response with status 500. */
  | { readonly kind: "errors"; readonly share: number }
  /** Connections are closed after half of a response body. */
  | { readonly kind: "truncate" }
  /** All requests fail in the first half of each period. */
  | { readonly kind: "flapping"; readonly periodMilliseconds: number }
  /** Requests on already open connections never get a response, while new connections work. */
  | { readonly kind: "silent_connections" };

/** The outcome of a request for its caller. */
export interface RequestRecord {
  readonly id: number;
  /** Index into the deployment's workspaces. */
  readonly workspace: number;
  /** Index into the deployment's services. */
  readonly service: number;
  readonly idempotent: boolean;
  /** Intended start in milliseconds after the start of the load. */
  readonly startMilliseconds: number;
  /** Time from the intended start to the end of the response. */
  readonly latencyMilliseconds: number;
  /** 0 if the connection failed before a response. */
  readonly status: number;
  /** Reason of a refusal; empty for a response from a target. */
  readonly reason: string;
  /** Value of the `hemlockwalk-run` header of a refusal; empty for a response from a target. */
  readonly run: string;
  /** Whether the complete response was received. */
  readonly complete: boolean;
  /** Whether the response belonged to another request. */
  readonly mixed: boolean;
}

/** A request, or a connection that was closed immediately, that reached an emulated target. */
export interface AttemptRecord {
  readonly target: string;
  /** Milliseconds after the start of the load. */
  readonly startMilliseconds: number;
}

/** A request that an emulated target ran. */
export interface RunRecord {
  /** Identifier of the request. */
  readonly id: number;
  readonly target: string;
  /** Start of the run in milliseconds after the start of the load. */
  readonly startMilliseconds: number;
}
