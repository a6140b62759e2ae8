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
  /** Requests a second. */
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
  /** Median time that a target needs for a request. */
  readonly serviceTimeMilliseconds: number;
}

/** How an emulated target misbehaves. */
export type TargetFault =
  /** Connections are accepted and closed at once. */
  | { readonly kind: "reset" }
  /** Requests are read and never answered. */
  | { readonly kind: "hang" }
  | { readonly kind: "slow"; readonly factor: number }
  /** A share (0 to 1) of the requests is run and answered with status 500. */
  | { readonly kind: "errors"; readonly share: number }
  /** Answers end after half of their body. */
  | { readonly kind: "truncate" }
  /** Errors for all requests in every other half period. */
  | { readonly kind: "flapping"; readonly periodMilliseconds: number }
  /** Connections that are open go silent for good, while new ones work. */
  | { readonly kind: "silent_connections" };

/** How a request ended for its caller. */
export interface RequestRecord {
  readonly id: number;
  /** Index into the deployment's workspaces. */
  readonly workspace: number;
  /** Index into the deployment's services. */
  readonly service: number;
  readonly idempotent: boolean;
  /** Intended start, milliseconds after the start of the load. */
  readonly startMilliseconds: number;
  /** From the intended start to the end of the answer. */
  readonly latencyMilliseconds: number;
  /** 0 when the connection broke before an answer. */
  readonly status: number;
  /** Reason of a refusal; empty for an answer of a target. */
  readonly reason: string;
  /** Value of the `hemlockwalk-run` header; empty for an answer of a target. */
  readonly run: string;
  /** Whether the whole answer came. */
  readonly complete: boolean;
  /** Whether the answer belonged to another request. */
  readonly mixed: boolean;
}

/** A request, or a connection that was closed at once, that reached an emulated target. */
export interface AttemptRecord {
  readonly target: string;
  /** Milliseconds after the start of the load. */
  readonly startMilliseconds: number;
}

/** What an emulated target saw of a request that it ran. */
export interface RunRecord {
  /** Identifier of the request. */
  readonly id: number;
  readonly target: string;
  /** Arrival, milliseconds after the start of the load. */
  readonly startMilliseconds: number;
}
